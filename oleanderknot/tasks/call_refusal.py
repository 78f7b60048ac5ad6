"""Builds refusals of calls as error results."""

from expression import Error
from expression import Result

from oleanderknot import model


def refuse(
    call: model.Call,
    verdict: model.Verdict,
    rule: model.Rule,
    detail: str,
) -> Result[model.Answer, model.Refusal]:
    """Return the refusal of a call as a result; see ``build_refusal``."""
    return Error(model.build_refusal(call, verdict, rule, detail))
