"""Description of a metric."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Metric:
    """What a metric tells; the page of metrics is made of these.

    Attributes:
        name: Name below the prefix of the settings; ``<rule>`` and
            ``<class>`` stand for one metric for each rule or class.
        kind: ``counter`` or ``gauge``.
        unit: What it counts.
        text: One sentence for operators.
    """

    name: str
    kind: str
    unit: str
    text: str
