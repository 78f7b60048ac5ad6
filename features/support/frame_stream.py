"""Starts the parser of frames and translates their messages."""

import collections.abc

from features.support import parsed_stream
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import handshake

IDENTITY = model.NodeIdentity(instance='a1', incarnation=1, data_centre='a')


def translate_gossip(message: wire.Gossip) -> object:
    """Translate a gossip message."""
    return (
        [wire.member_from_wire(item) for item in message.changes or ()],
        wire.hashes_from_wire(message.hashes).keys(),
        [wire.version_from_wire(item) for item in message.versions or ()],
        message.policy and wire.digest_from_wire(message.policy),
    )


def translate_policy(message: wire.PolicySync) -> object:
    """Translate a message about policies."""
    return (
        [wire.scope_from_wire(item) for item in message.scopes or ()],
        wire.digest_from_wire(message.digest),
    )


TRANSLATIONS: dict[str, collections.abc.Callable[..., object]] = {
    'hello': lambda message: handshake.check_hello(IDENTITY, message),
    'open': lambda message: wire.call_from_open(
        message, now=0.0, find_delay_s=lambda opened: 0.0
    ),
    'head': lambda message: wire.answer_from_head(message, None),
    'failure': wire.refusal_from_failure,
    'key_state': wire.parse_key_state,
    'gossip': translate_gossip,
    'policy_sync': translate_policy,
    'quota_request': wire.quota_request_from_wire,
    'quota_grant': wire.quota_grant_from_wire,
}


def open_frames() -> parsed_stream.ParsedStream:
    """Start the parser of frames between nodes."""
    reader = wire.FrameReader(codec=wire.Codec())

    def feed(data: bytes) -> None:
        for frame in reader.feed(data):
            for name, translate in TRANSLATIONS.items():
                message = getattr(frame, name)
                if message is not None:
                    stream.results.append(translate(message))

    stream = parsed_stream.ParsedStream(feed=feed, finish=lambda: None)
    return stream
