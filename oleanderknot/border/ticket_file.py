"""Reads ticket files."""

import pathlib
import typing

import pydantic

from oleanderknot import model
from oleanderknot.border import model_mistakes
from oleanderknot.border import scopes
from oleanderknot.border import settings
from oleanderknot.border import yaml_lines

# A ticket is written in one transaction and its scopes are read with one
# request of at most 100 keys.
MAX_SCOPES = 50

Text = typing.Annotated[
    str, pydantic.StringConstraints(strip_whitespace=True, min_length=1)
]


class TicketFile(settings.Model):
    """A ticket as an operator writes it.

    Attributes:
        author: Operator who files it.
        reason: Why, in the operator's words.
        scopes: Whole state by scope; each is validated by its own model.
    """

    author: Text = pydantic.Field(
        max_length=100, description='a name of 1 to 100 characters'
    )
    reason: Text = pydantic.Field(
        max_length=2000, description='a text of 1 to 2000 characters'
    )
    scopes: dict[str, typing.Any] = pydantic.Field(
        min_length=1,
        max_length=MAX_SCOPES,
        description='a mapping of 1 to %d scopes' % MAX_SCOPES,
    )


def load_ticket(
    path: pathlib.Path, *, ticket_id: str, filed_at: float
) -> model.Ticket:
    """Read a ticket file.

    Args:
        path: YAML file.
        ticket_id: Unique id for the ticket.
        filed_at: Wall-clock time in seconds since 1970 (UTC).

    Returns:
        The ticket, with number 0 until it is filed.

    Raises:
        MistakesError: The file is wrong; the text names all mistakes.
    """
    text = yaml_lines.load_yaml(path)
    content = model_mistakes.collect(TicketFile, text, text.value)
    states = collect_scopes(text)
    if text.mistakes or content is None:
        raise yaml_lines.MistakesError(text.mistakes)
    return model.Ticket(
        number=0,
        id=ticket_id,
        author=content.author,
        reason=content.reason,
        filed_at=filed_at,
        scopes=tuple(states),
    )


def collect_scopes(text: yaml_lines.YamlText) -> list[model.ScopeState]:
    """Validate all scopes of a file, also when other fields are wrong."""
    states = []
    content = text.value if isinstance(text.value, dict) else {}
    found = content.get('scopes')
    for scope, state in (found if isinstance(found, dict) else {}).items():
        path = ('scopes', scope)
        kind = scopes.find_scope_model(scope)
        if kind is None:
            text.add(path, 'an unknown scope', scopes.SCOPE_FORMS)
            continue
        valid = model_mistakes.collect(kind, text, state, path)
        if valid is not None:
            policy = scopes.build_policy(scope, valid)
            states.append(
                model.ScopeState(scope=scope, number=0, policy=policy)
            )
    return states
