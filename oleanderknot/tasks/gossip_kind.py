"""Kinds of membership messages."""

import enum


class GossipKind(enum.IntEnum):
    """Kind of a membership message; see ``wire/peer.thrift``."""

    PROBE = 0
    ANSWER = 1
    INDIRECT = 2
    PUSH = 3
    VERSIONS = 4
    RECORDS = 5
