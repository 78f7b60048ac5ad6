"""Decides whether a feed of changes goes on without a gap."""

from oleanderknot import model


def is_continuous(position: model.FeedPosition, batch: model.RowBatch) -> bool:
    """Return whether a response holds all changes since a position.

    A store that returned from a copy gives out versions again. Once these have
    passed the position, only the epoch shows that the changes up to it are
    others than the known ones.

    Args:
        position: Position that the feed was asked to go on from.
        batch: Response of the feed.
    """
    return batch.epoch == position.epoch and batch.version >= position.version
