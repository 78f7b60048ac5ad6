"""Request body with which an upstream registers at its node."""

from oleanderknot.border import settings


class Announcement(settings.UpstreamSettings):
    """Body that an upstream posts to its node to receive requests."""
