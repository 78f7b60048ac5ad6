"""Announcement of an upstream."""

from oleanderknot.border import settings


class Announcement(settings.UpstreamSettings):
    """What an upstream posts to its node to be given work."""
