"""Coverage of the reports of one incarnation of a node."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportCoverage:
    """Reports found in the account for one incarnation of a node.

    Each report is an account batch.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation of the node.
        data_centre: Data centre of the instance.
        period_s: Seconds between two reports.
        first_sequence: Number of the first report expected in the time range.
        last_sequence: Number of the last report found.
        reports_found: Reports found.
        reports_dropped: Reports that the node itself counted as lost.
        last_ended: Wall-clock end of the last report in seconds since 1970.
        final: Whether the last report says that the node stopped as planned.
    """

    instance: str
    incarnation: int
    data_centre: str
    period_s: float
    first_sequence: int
    last_sequence: int = 0
    reports_found: int = 0
    reports_dropped: int = 0
    last_ended: float = 0.0
    final: bool = False

    def count_missing(self) -> int:
        """Return the number of missing reports in the sequence range."""
        return max(
            0,
            self.last_sequence - self.first_sequence + 1 - self.reports_found,
        )
