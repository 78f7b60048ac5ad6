"""Point in the change history of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FeedPosition:
    """Position up to which the changes of a table are known.

    Attributes:
        epoch: Epoch of the store in which the version was given out; None if
            the store does not tell it.
        version: Version of the latest transaction that is known.
    """

    epoch: int | None
    version: int
