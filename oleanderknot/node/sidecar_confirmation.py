"""Builds the confirmation of heartbeats of a sidecar node."""

import functools
import typing

from oleanderknot.node import sidecar_dialect
from oleanderknot.tasks import start_confirmation
from oleanderknot.tasks import status_check

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_application


def build_confirmation(
    node: 'sidecar_application.SidecarApplication',
) -> start_confirmation.StartConfirmation:
    """Build the task that asks the upstream about its heartbeats."""
    upstream = node.settings.upstream
    host, _, port = upstream.address.rpartition(':')

    def find_path(service: str) -> str | None:
        policy = node.policies.policy
        return policy and policy.probe_paths.get(service, '')

    return start_confirmation.StartConfirmation(
        heartbeat_interval_s=upstream.heartbeat_interval,
        find_path=find_path,
        check=functools.partial(
            status_check.check_status,
            host=host,
            port=int(port),
            parse_headers=sidecar_dialect.DIALECT.parse_response_headers,
        ),
        on_live=node.local_upstream.heartbeats.process_heartbeat,
        count=node.recorder.count,
    )
