"""Kind of request that the load generator sends."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadKind:
    """One kind of request.

    Attributes:
        name: Name of the kind.
        method: HTTP method.
        path: Path with the service, such as ``/catalogue/page``.
        share: Weight among the kinds of one load.
        deadline_ms: Deadline that the caller states; 0 for none.
    """

    name: str
    method: str
    path: str
    share: float = 1.0
    deadline_ms: int = 0
