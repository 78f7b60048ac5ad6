"""Order in which the holders of memory give way."""

import enum


class HolderKind(enum.IntEnum):
    """What a holder of memory holds; lower ones give way first.

    Attributes:
        CLIENT: A connection of a client: bodies, responses, queued requests.
            It gives way only while the client transfers slowly.
        KEPT: Results kept in case another node asks for them again.
        PEER: A response that is being sent to another node. It gives way
            only while that node takes it slowly.
        RESPONSE: A response that is being received. It gives way to smaller
            holders.
        RUNNING: A body of a call that runs. It never gives way.
    """

    CLIENT = 0
    KEPT = 1
    PEER = 2
    RESPONSE = 3
    RUNNING = 4
