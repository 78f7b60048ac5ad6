"""Bodies that are received within the memory of the node."""

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import buffered_body


class NoMemoryError(Exception):
    """Raised when the node has no memory for the rest of a body."""


async def join_held(
    lease: decisions.MemoryLease, content: bytes, body: model.Body | None
) -> bytes:
    """Return the complete body from its first bytes and the rest.

    Args:
        lease: Lease that is extended with each part. Its owner ends it.
        content: The first bytes.
        body: The rest, if there is any.

    Raises:
        IncompleteBodyError: The body ended before it was complete.
        NoMemoryError: There is not enough memory, or the lease gave way.
    """

    def extend(size: int) -> None:
        # A growing buffer reserves up to an eighth more than it holds.
        if not lease.extend(size + size // 8):
            raise NoMemoryError('the node holds too many bodies')

    if content:
        extend(len(content))
    try:
        content = await buffered_body.join_body(content, body, extend)
    except model.IncompleteBodyError as error:
        if lease.gave_way:
            raise NoMemoryError('the node holds too many bodies') from error
        raise
    if lease.gave_way:
        raise NoMemoryError('the node holds too many bodies')
    if lease.size > len(content):
        lease.resize(len(content))
    return content
