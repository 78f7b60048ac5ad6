"""Metadata of an upstream's response."""

import dataclasses

from oleanderknot.model import call


@dataclasses.dataclass(slots=True, kw_only=True)
class ResponseMetadata:
    """Decoded headers of an upstream's response.

    Attributes:
        request_id: Id of the request that it answers; empty when missing.
        signed: Whether it carries the upstream's proof that the request ran.
        not_run: Whether the upstream says that it did not run the request.
        upstream: Id of the upstream; empty when not given.
        encoded: Whether the body got a content encoding on the way.
        idle_timeout_s: Seconds that the upstream keeps an idle connection;
            None when not given.
        rate: Requests per second that the upstream takes from all nodes
            together; None when it names no limit.
        leaving: Whether the upstream says that it is leaving.
        closing: Whether the upstream closes the connection after the response.
        headers: End-to-end headers that are forwarded unchanged.
    """

    request_id: str
    signed: bool
    not_run: bool
    upstream: str
    encoded: bool
    idle_timeout_s: float | None
    headers: call.Headers
    rate: float | None = None
    leaving: bool = False
    closing: bool = False
