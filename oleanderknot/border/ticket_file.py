"""Loads and validates ticket files."""

import pathlib
import typing

import pydantic

from oleanderknot import model
from oleanderknot.border import model_validation
from oleanderknot.border import scopes
from oleanderknot.border import settings
from oleanderknot.border import yaml_document

# A ticket is written in one transaction and its scopes are read with a single
# request, which is limited to 100 keys.
MAX_SCOPES = 50

NonEmptyText = typing.Annotated[
    str, pydantic.StringConstraints(strip_whitespace=True, min_length=1)
]


class TicketFile(settings.Model):
    """Content of a ticket file written by an operator.

    Attributes:
        author: Operator who files the ticket.
        reason: Reason for the ticket as free text.
        scopes: Complete new state by scope name; each state is validated by
            the model of its scope.
    """

    author: NonEmptyText = pydantic.Field(
        max_length=100, description='a name of 1 to 100 characters'
    )
    reason: NonEmptyText = pydantic.Field(
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
    """Load and validate a ticket file.

    Args:
        path: YAML file.
        ticket_id: Unique id for the ticket.
        filed_at: Wall-clock time in seconds since 1970 (UTC).

    Returns:
        The ticket, with number 0 because it has not been filed yet.

    Raises:
        InvalidFileError: The file cannot be read or is invalid; the error
            lists every problem.
    """
    document = yaml_document.load_yaml(path)
    content = model_validation.validate_section(
        TicketFile, document, document.value
    )
    states = validate_scopes(document)
    if document.diagnostics or content is None:
        raise yaml_document.InvalidFileError(document.diagnostics)
    return model.Ticket(
        number=0,
        id=ticket_id,
        author=content.author,
        reason=content.reason,
        filed_at=filed_at,
        scopes=tuple(states),
    )


def validate_scopes(
    document: yaml_document.YamlDocument,
) -> list[model.ScopeState]:
    """Validate all scopes of a file, even if other fields are invalid."""
    states = []
    content = document.value if isinstance(document.value, dict) else {}
    raw_scopes = content.get('scopes')
    for scope, state in (
        raw_scopes if isinstance(raw_scopes, dict) else {}
    ).items():
        path = ('scopes', scope)
        kind = scopes.find_scope_model(scope)
        if kind is None:
            document.add_diagnostic(
                path, 'an unknown scope', scopes.SCOPE_SYNTAX
            )
            continue
        section = model_validation.validate_section(
            kind, document, state, path
        )
        if section is not None:
            policy = scopes.build_policy(scope, section)
            states.append(
                model.ScopeState(scope=scope, number=0, policy=policy)
            )
    return states
