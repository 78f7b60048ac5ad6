"""Validation of an order key at its home node."""

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
    """Return the rule that prevents this node from deciding about a key.

    Args:
        key: The key.
        home: Identity of this node.
        known: Whether this node has a record of the key.
        now: Wall-clock time in seconds since 1970 (UTC).
        services: Service of the request, and service of the local upstream.
            The latter is empty until the upstream is announced.

    Returns:
        The rule, or None when this node can decide. With any of the rules
        the order may already have run.
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
