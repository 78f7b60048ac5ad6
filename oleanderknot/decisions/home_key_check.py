"""Validation of an order key at its home node."""

from oleanderknot import model
from oleanderknot.decisions import order_key_age
from oleanderknot.decisions import order_key_format


def check_home_key(
    key: model.OrderKey,
    *,
    home: model.NodeIdentity,
    has_record: bool,
    now: float,
    services: tuple[str, str],
) -> model.Rule | None:
    """Return the rule that prevents this node from deciding about a key.

    Args:
        key: The key.
        home: Identity of this node.
        has_record: Whether this node has a record of the key.
        now: Wall-clock time in seconds since 1970 (UTC).
        services: Service of the request, and service of the local upstream.
            The latter is empty until the upstream is announced.

    Returns:
        The rule, or None when this node can decide. With any of the rules
        the order may already have run.
    """
    if (key.instance, key.incarnation) != (home.instance, home.incarnation):
        return model.Rule.KEY_EARLIER_INCARNATION
    if has_record:
        return None
    if not order_key_age.has_valid_age(key, now):
        return model.Rule.KEY_EXPIRED
    requested, local = services
    if (
        local
        and requested != local
        and not order_key_format.is_single_attempt(key)
    ):
        return model.Rule.BAD_REQUEST
    return None
