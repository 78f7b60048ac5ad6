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
    return [
        ttypes.LoadReport(
            service_name=report.service,
            route=report.route,
            level=report.level,
            in_flight=report.in_flight,
            limit=report.limit,
            notice=translate_notice.notice_to_wire(report.notice),
            excess=report.excess or None,
            own_time=report.own_time_s,
            start=report.start,
        )
        for report in reports
    ]


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
    if None in (
        message.service_name,
        message.route,
        message.level,
        message.in_flight,
        message.limit,
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
