"""Whether a node can decide about a home key."""

from oleanderknot import model
from oleanderknot.decisions import order_key_age
from oleanderknot.decisions import order_key_text


def check_home_key(
    key: model.OrderKey,
    *,
    home: model.NodeIdentity,
    known: bool,
    now: float,
    services: tuple[str, str],
) -> model.Rule | None:
    """Return the rule by which a key cannot be decided here, or None.

    Args:
        key: The key.
        home: Identity of this node.
        known: Whether this node has a record of the key.
        now: Wall-clock time in seconds since 1970 (UTC).
        services: Service of the request, and service of the own upstream;
            empty before the upstream is announced.

    Returns:
        The rule. The key may have run under each of them.
    """
    if (key.instance, key.incarnation) != (home.instance, home.incarnation):
        return model.Rule.KEY_EARLIER_INCARNATION
    if known:
        return None
    if not order_key_age.is_acceptable(key, now):
        return model.Rule.KEY_EXPIRED
    asked, own = services
    if own and asked != own and not order_key_text.is_single_attempt(key):
        return model.Rule.BAD_REQUEST
    return None
