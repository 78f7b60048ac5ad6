"""Converts load reports to and from thrift structs."""

import math

from oleanderknot import model
from oleanderknot.wire import bad_frame
from oleanderknot.wire import translate_notice
from oleanderknot.wire.gen.peer import ttypes

# Bounds that no node exceeds; a larger report is refused as malformed.
MAX_EXCESS_ORGANISATIONS = 64
MAX_EXCESS = 1e6


def reports_to_wire(
    reports: tuple[model.LoadReport, ...],
) -> list[ttypes.LoadReport]:
    """Convert load reports to thrift structs."""
    return [report_to_wire(report) for report in reports]


def report_to_wire(report: model.LoadReport) -> ttypes.LoadReport:
    """Convert a load report to its thrift struct."""
    # Keyword arguments become a dictionary first, which takes nearly twice the
    # instructions.
    message = ttypes.LoadReport()
    message.service_name = report.service
    message.route = report.route
    message.level = report.level
    message.in_flight = report.in_flight
    message.limit = report.limit
    message.notice = translate_notice.notice_to_wire(report.notice)
    message.excess = report.excess or None
    message.own_time = report.own_time_s
    message.start = report.start
    return message


def reports_from_wire(
    reports: list[ttypes.LoadReport] | None,
) -> tuple[model.LoadReport, ...]:
    """Convert thrift structs to load reports, and validate them.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    if not reports:
        return ()
    return tuple([report_from_wire(report) for report in reports])


def report_from_wire(message: ttypes.LoadReport) -> model.LoadReport:
    """Convert a thrift struct to a load report; see ``reports_from_wire``."""
    if (
        message.service_name is None
        or message.route is None
        or message.level is None
        or message.in_flight is None
        or message.limit is None
    ):
        raise bad_frame.BadFrame('load report with a missing field')
    if not 0 <= message.level < math.inf:
        raise bad_frame.BadFrame('load report with an invalid level')
    if message.excess and (
        len(message.excess) > MAX_EXCESS_ORGANISATIONS
        or not all(
            1 <= factor <= MAX_EXCESS for factor in message.excess.values()
        )
    ):
        raise bad_frame.BadFrame('load report with an invalid excess')
    if message.own_time is not None and not 0 < message.own_time < math.inf:
        raise bad_frame.BadFrame('load report with an invalid time')
    return model.LoadReport(
        service=message.service_name,
        route=message.route,
        level=message.level,
        in_flight=message.in_flight,
        limit=message.limit,
        notice=translate_notice.notice_from_wire(message.notice),
        excess=message.excess,
        own_time_s=message.own_time,
        start=message.start,
    )
