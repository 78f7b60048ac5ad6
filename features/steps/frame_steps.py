"""Steps for the encoding of frames between nodes."""

import dataclasses
import hashlib

from behave import then
from behave import when
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from oleanderknot import model
from oleanderknot import wire
from oleanderknot.wire import translate_report
from oleanderknot.wire.gen.peer import ttypes

SESSION = 2**62 + 12345
NUMBER = 77
DIGEST_CHARACTERS = 16

HEADERS = [(b'host', b'tally'), (b'x-empty', b''), (b'x-bytes', b'\xff\x00')]
NOTICE = model.UpstreamNotice(upstream='tally-1', rate=12.5, leaving=True)
REPORTS = (
    model.LoadReport(
        service='tally',
        route='/tally',
        level=3.25,
        in_flight=17,
        limit=48,
        excess={'acme': 1.5},
        notice=NOTICE,
        own_time_s=0.035,
        start=2**40,
    ),
    model.LoadReport(service='log', route='', level=4.0, in_flight=0, limit=1),
)
CALL = model.Call(
    service='tally',
    method='POST',
    path='/tally/1?x=\u00e9',
    headers=HEADERS,
    request_class=model.RequestClass(2),
    deadline=100.8,
    trace_id='0123456789abcdef' * 2,
    span_id='0123456789abcdef',
    depth=3,
    allowance=2,
    key='key-1',
    idempotent=False,
    sampled=True,
    route='/tally',
    ticket=1234,
    repeat=tuple(model.RepeatKind)[-1],
    notice=NOTICE,
    organisation='acme',
    rank=0.25,
)


def build_open():
    """Build an open message with every field."""
    return wire.open_from_call(
        CALL,
        body=b'body',
        body_complete=True,
        now=100.0,
        unix_time_s=1.5e9,
        clock_s=12.5,
    )


def build_head():
    """Build a head message with every field."""
    return wire.head_from_answer(
        model.Answer(
            status=503,
            headers=HEADERS,
            content=b'x' * 300,
            unspent=2,
            reports=REPORTS,
        )
    )


def build_failure():
    """Build a failure message with every field."""
    return wire.failure_from_refusal(
        model.Refusal(
            verdict=model.Verdict.MAY_HAVE_RUN,
            rule=model.Rule.DEADLINE,
            service='tally',
            detail='late',
            ticket=1234,
            retry_after_ms=250,
            unspent=1,
            reports=REPORTS,
        )
    )


BUILDERS = {
    'open': build_open,
    'head': build_head,
    'failure': build_failure,
    'report': lambda: translate_report.reports_to_wire(REPORTS)[0],
}

PARSERS = {
    'open': lambda message: wire.call_from_open(
        message, now=100.0, find_delay_s=lambda sent: 0.0
    ),
    'head': lambda message: wire.answer_from_head(message, None),
    'report': lambda message: translate_report.reports_from_wire([message]),
}


def encode_generated(frame):
    """Encode a frame by the generated code without the C extension."""
    transport = TTransport.TMemoryBuffer()
    frame.write(TCompactProtocol.TCompactProtocol(transport))
    content = transport.getvalue()
    return len(content).to_bytes(4, 'big') + content


@when('the {name} message with every field is encoded')
def encode_sample(context, name):
    """Build a sample message and encode it in a frame."""
    context.name = name
    context.message = BUILDERS[name]()
    if name in ttypes.Frame.__slots__:
        context.content = wire.Codec().encode_message(
            SESSION, NUMBER, name, context.message
        )


@then('its bytes have the digest {digest}')
def check_digest(context, digest):
    """Compare the bytes with those of the version before."""
    found = hashlib.sha256(context.content).hexdigest()[:DIGEST_CHARACTERS]
    assert found == digest, found


@then('the generated code without its C extension encodes the same bytes')
def check_generated(context):
    """Compare the bytes with those of the generated code."""
    frame = wire.Frame(
        session=SESSION, call=NUMBER, **{context.name: context.message}
    )
    expected = encode_generated(frame)
    assert context.content == expected
    assert wire.Codec().encode(frame) == expected


@when('an empty message of every kind is encoded')
def encode_all_kinds(context):
    """Encode an empty message of each kind that a frame may hold."""
    codec = wire.Codec()
    context.frames = {}
    for field in ttypes.Frame.thrift_spec[3:]:
        name, (message_class, _) = field[2], field[3]
        context.frames[name] = codec.encode_message(
            SESSION, NUMBER, name, message_class()
        )


@then('each is read as a message of its kind alone')
def check_kinds(context):
    """Decode each frame and compare it."""
    assert set(context.frames) == set(ttypes.Frame.__slots__[2:])
    for field in ttypes.Frame.thrift_spec[3:]:
        name, (message_class, _) = field[2], field[3]
        expected = wire.Frame(
            session=SESSION, call=NUMBER, **{name: message_class()}
        )
        content = context.frames[name]
        assert wire.Codec().decode(content[4:]) == expected, name
        assert content == encode_generated(expected), name


@then('it is refused without any one of the fields "{names}"')
def check_required(context, names):
    """Remove one field at a time from the message and parse it."""
    parse = PARSERS[context.name]
    parse(context.message)
    for name in names.split():
        value = getattr(context.message, name)
        setattr(context.message, name, None)
        try:
            parse(context.message)
        except wire.BadFrame:
            pass
        else:
            raise AssertionError('accepted without ' + name)
        setattr(context.message, name, value)


@when('{count:d} frames are received in two parts, cut at every place')
def read_parts(context, count):
    """Read the same bytes with a cut at each place."""
    call = dataclasses.replace(CALL, headers=HEADERS[:1])
    context.messages = [
        wire.open_from_call(
            call,
            body=b'body',
            body_complete=True,
            now=100.0 - index,
            unix_time_s=1.5e9,
            clock_s=12.5,
        )
        for index in range(count)
    ]
    codec = wire.Codec()
    content = b''.join(
        codec.encode_message(SESSION, NUMBER, 'open', message)
        for message in context.messages
    )
    context.reads = []
    for cut in range(len(content) + 1):
        reader = wire.FrameReader(codec=codec)
        frames = list(reader.feed(content[:cut]))
        frames += reader.feed(content[cut:])
        context.reads.append(frames)
        assert not reader.pending


@then('all frames are read in order each time')
def check_reads(context):
    """Compare the messages of each read."""
    assert context.reads
    for frames in context.reads:
        assert [frame.open for frame in frames] == context.messages
