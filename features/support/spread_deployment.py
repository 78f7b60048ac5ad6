"""Deployment that the test of even load plays."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpreadDeployment:
    """Nodes that call the upstreams of one service.

    Attributes:
        nodes: Nodes that make calls.
        upstreams: Upstreams of the service.
        slots: Slots of each upstream.
        speeds: Speed factors, given to the upstreams in turn.
        data_centres: Nodes and upstreams are placed in them in turn.
        hop_s: One-way delay in seconds between data centres.
        call_s: Mean service time of a call in seconds at speed 1.
        load: Share of the capacity of all upstreams that is demanded.
        report_interval_s: Time in seconds for which a node notes no further
            report of an upstream; the age of reports grows with it.
        calls: Number of calls that are played.
        seed: Seed of arrivals, service times and choices.
    """

    nodes: int
    upstreams: int
    slots: int
    speeds: tuple[float, ...] = (1.0,)
    data_centres: int = 3
    hop_s: float = 0.0005
    call_s: float = 0.019
    load: float = 0.8
    report_interval_s: float = 0.0
    calls: int = 20000
    seed: int = 1
