"""Steps that test load reports between nodes of two versions."""

from behave import given
from behave import then
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from features.support import known_loads
from oleanderknot import model
from oleanderknot.wire import bad_frame
from oleanderknot.wire import translate_report
from oleanderknot.wire.gen.peer import ttypes


@given('a load report with a time and a start')
def build_report(context):
    """Build a report with all fields."""
    context.report = model.LoadReport(
        service='s',
        route='r',
        level=1.5,
        in_flight=3,
        limit=known_loads.SLOTS,
        own_time_s=0.019,
        start=2**61 + 1,
    )


def encode(struct):
    """Return the bytes of a struct."""
    transport = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocolAccelerated(transport))
    return transport.getvalue()


def decode(kind, content):
    """Return a struct from its bytes."""
    struct = kind()
    transport = TTransport.TMemoryBuffer(content)
    struct.read(TCompactProtocol.TCompactProtocolAccelerated(transport))
    return struct


@then('a message carries the report unchanged')
def check_round_trip(context):
    """Check that no field is lost, by both ways to encode."""
    (struct,) = translate_report.reports_to_wire((context.report,))
    context.content = encode(struct)
    received = decode(ttypes.LoadReport, context.content)
    assert translate_report.reports_from_wire([received]) == (context.report,)
    transport = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocol.TCompactProtocol(transport))
    assert transport.getvalue() == context.content
    slow = ttypes.LoadReport()
    slow.read(
        TCompactProtocol.TCompactProtocol(
            TTransport.TMemoryBuffer(context.content)
        )
    )
    assert slow == received


@then('a node of an earlier version reads the rest of it')
def check_earlier_reader(context):
    """Decode with the fields that an earlier version knows."""

    class EarlierReport(ttypes.LoadReport):
        """Report without the newest fields."""

        thrift_spec = ttypes.LoadReport.thrift_spec[:7]

    received = decode(EarlierReport, context.content)
    assert (received.limit, received.own_time) == (known_loads.SLOTS, None), (
        received
    )


@then('a report without a time and a start is valid')
def check_earlier_writer(context):
    """Translate a report of an earlier version."""
    struct = ttypes.LoadReport(
        service_name='s',
        route='r',
        level=1.5,
        in_flight=3,
        limit=known_loads.SLOTS,
    )
    received = decode(ttypes.LoadReport, encode(struct))
    (found,) = translate_report.reports_from_wire([received])
    assert (found.own_time_s, found.start) == (None, None), found


@then('a report with a time that is no time is not')
def check_bad_times(context):
    """Check that impossible times are refused."""
    for value in (0.0, -1.0, float('nan'), float('inf')):
        (struct,) = translate_report.reports_to_wire((context.report,))
        struct.own_time = value
        try:
            translate_report.reports_from_wire([struct])
        except bad_frame.BadFrame:
            continue
        raise AssertionError('%s was accepted' % value)
