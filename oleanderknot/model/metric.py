"""Description of a metric."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Metric:
    """Metadata of a metric, from which the metrics page is generated.

    Attributes:
        name: Name below the prefix of the settings; ``<rule>`` and
            ``<class>`` are placeholders for each rule or class.
        kind: ``counter`` or ``gauge``.
        unit: Unit of the value.
        text: One-sentence description for operators.
    """

    name: str
    kind: str
    unit: str
    text: str
