"""Records of soak runs in which a client sends requests without waiting."""

import asyncio

from features.support import soak_records
from soak import pipeline_attempt


class DiscardingWriter:
    """Stands for the writing side of a connection."""

    def write(self, data):
        """Discard data."""

    async def drain(self):
        """Return at once."""


def encode_answer(request_id, headers=''):
    """Encode a complete answer."""
    return (
        'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s-%s\r\n'
        '%sContent-Length: 5\r\n\r\nxxxxx' % (request_id, request_id, headers)
    ).encode()


def play_pipeline(*answers):
    """Send two requests at once and return them with the given answers."""

    async def play():
        reader = asyncio.StreamReader()
        reader.feed_data(b''.join(answers))
        reader.feed_eof()
        requests = [
            soak_records.build_request(
                request_id=request_id, method='GET', status=0
            )
            for request_id in 'ab'
        ]
        await pipeline_attempt.send(requests, reader, DiscardingWriter())
        return requests

    return asyncio.run(play())


def build_pipeline(*answers):
    """Build the record of two requests that were sent at once."""
    sent = play_pipeline(*answers)
    events = [
        soak_records.build_event(request_id=item.request_id, method='GET')
        for item in sent
    ]
    return sent, events


def build_resent(ran_at):
    """Build the record of an unread request that is sent again after 2 s."""
    request = soak_records.build_request(
        unread=True, resent_at=2.0, sent_at=2.0, ended_at=2.5
    )
    return [request], [soak_records.build_event(at=ran_at)]


RECORDS = {
    'an unread request ran before it was sent again': lambda: build_resent(
        1.0
    ),
    'an unread request ran after it was sent again': lambda: build_resent(2.1),
    'pipelined answers came in another order': lambda: build_pipeline(
        encode_answer('b'), encode_answer('a')
    ),
    'a pipelined answer was missing': lambda: build_pipeline(
        encode_answer('a')
    ),
    'pipelined answers came in order': lambda: build_pipeline(
        encode_answer('a'), encode_answer('b')
    ),
}
