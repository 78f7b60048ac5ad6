"""Upstream of a service as a node keeps it between calls."""

import dataclasses

from oleanderknot import model
from oleanderknot.decisions import instance_load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedUpstream:
    """Upstream that takes work, with what rarely changes about it.

    Attributes:
        instance: Name of the instance.
        member: Its membership record.
        load: Its known load.
        local: Whether it is in the data centre of the calling node.
    """

    instance: str
    member: model.Member
    load: instance_load.InstanceLoad
    local: bool
