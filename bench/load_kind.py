"""One kind of request of the load generator."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadKind:
    """A kind of request that the load generator sends.

    Attributes:
        name: Name of the kind.
        method: HTTP method.
        path: Path including the service, such as ``/catalogue/page``.
        share: Relative weight among the kinds of a load.
        deadline_ms: Deadline in the request header; 0 for none.
    """

    name: str
    method: str
    path: str
    share: float = 1.0
    deadline_ms: int = 0
