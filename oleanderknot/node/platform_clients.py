"""Builds clients of platform services from the settings of a node."""

from oleanderknot import border
from oleanderknot import platform


def build_table_client(
    settings: border.NodeSettings, timeout_s: float = 0.0
) -> platform.TableClient | None:
    """Build a client of the table service.

    Args:
        settings: Settings of the node.
        timeout_s: Lower bound in seconds on the configured timeout.

    Returns:
        The client; None when no table service is configured.
    """
    host = settings.listen.host
    if not settings.platform.table_url:
        return None
    return platform.TableClient(
        url=settings.platform.table_url,
        timeout_s=max(timeout_s, settings.platform.timeout_ms / 1000),
        local_host=None if host.is_unspecified else str(host),
    )


def build_object_client(
    settings: border.NodeSettings,
) -> platform.ObjectClient | None:
    """Build a client of the object store.

    Args:
        settings: Settings of the node.

    Returns:
        The client; None when no object store is configured.
    """
    host = settings.listen.host
    if not settings.platform.object_url:
        return None
    return platform.ObjectClient(
        url=settings.platform.object_url,
        timeout_s=settings.platform.timeout_ms / 1000,
        local_host=None if host.is_unspecified else str(host),
    )
