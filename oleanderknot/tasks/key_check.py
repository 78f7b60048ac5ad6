"""Checks the API keys of client requests."""

from oleanderknot import decisions
from oleanderknot import model


def check_key(
    metadata: model.RequestMetadata,
    route: model.Route,
    keys: decisions.KeyTable,
    *,
    is_nested: bool,
    is_orphan: bool,
) -> model.Organisation | model.Refusal | None:
    """Return the organisation of a request, or why it must not run.

    Nested calls carry no key. One of a request that does not run here is
    refused, since nothing tells it from a client request without a key.

    Args:
        metadata: Decoded headers of the request.
        route: Route of the request.
        keys: API keys of the policy in force.
        is_nested: Whether it is a call of a request that runs here.
        is_orphan: Whether it may be a call of a request that no longer runs
            here.

    Returns:
        The organisation that holds the key of the request; None for a nested
        call, and for a request without a known key if the route needs none.
    """
    if is_nested:
        return None
    organisation = keys.find(metadata.key_digest)
    if organisation is not None or route.anonymous:
        return organisation
    if is_orphan:
        rule = model.Rule.UNKNOWN_CHAIN
        detail = 'the request that the call belongs to does not run here'
    else:
        rule = model.Rule.UNKNOWN_KEY
        detail = 'the request carries no API key that the policy knows'
    return model.Refusal(
        verdict=model.Verdict.NOT_RUN, rule=rule, service='', detail=detail
    )
