"""Classifies the outcome of a request that an upstream has answered."""

from oleanderknot import model

TOO_MANY_REQUESTS = 429


def classify(
    status: int, truncated_by: model.Rule | None
) -> tuple[model.Rule, model.Verdict, str]:
    """Classify an answer for the account.

    Errors of the upstream get a rule of their own, since the customer did
    not get the catalogue page, pattern or booking that was requested.

    Args:
        status: HTTP status of the upstream's answer.
        truncated_by: The rule that truncated the answer; None if it was sent
            completely.

    Returns:
        Rule, verdict and one English sentence for operators.
    """
    if truncated_by is model.Rule.CALLER_LEFT:
        return truncated_by, model.Verdict.ANSWERED, 'the caller disconnected'
    if truncated_by is not None:
        return (
            truncated_by,
            model.Verdict.MAY_HAVE_RUN,
            'the answer was truncated',
        )
    if status >= 500 or status == TOO_MANY_REQUESTS:
        return (
            model.Rule.UPSTREAM_ERROR,
            model.Verdict.ANSWERED,
            'the upstream answered with status %d' % status,
        )
    return model.Rule.ADMITTED, model.Verdict.ANSWERED, ''
