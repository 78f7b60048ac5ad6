"""Formats the metrics of a sidecar node for a scrape."""

import collections.abc
import typing

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from oleanderknot import decisions

if typing.TYPE_CHECKING:
    from oleanderknot.node import sidecar_recorder

# Names and descriptions of the histograms by attribute of the recorder.
HISTOGRAMS = {
    'requests': (
        'oleanderknot_request_seconds',
        'Time from a request of this instance to its answer.',
    ),
    'runs': (
        'oleanderknot_run_seconds',
        'Time of a call in the queue and at the own upstream.',
    ),
    'queues': (
        'oleanderknot_queue_seconds',
        'Time in the queue of the calls that had to wait.',
    ),
    'upstreams': (
        'oleanderknot_upstream_seconds',
        'Time from a send to the own upstream to its answer.',
    ),
}


class SidecarMetrics(registry.Collector):
    """Collector of the metrics that a recorder keeps.

    Attributes:
        recorder: Counts and measures of the node.
    """

    def __init__(
        self, *, recorder: 'sidecar_recorder.SidecarRecorder'
    ) -> None:
        self.recorder = recorder

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yield all metrics; called by the metrics library."""
        yield from self.collect_counters()
        for name, read in self.recorder.gauges.items():
            yield core.GaugeMetricFamily(
                'oleanderknot_' + name,
                name.replace('_', ' ').capitalize() + '.',
                value=read(),
            )
        for attribute, (name, description) in HISTOGRAMS.items():
            family = core.HistogramMetricFamily(name, description)
            add_histogram(family, (), getattr(self.recorder, attribute))
            yield family
        stores = core.HistogramMetricFamily(
            'oleanderknot_store_seconds',
            'Time of a call to the store.',
            labels=('call',),
        )
        for call, histogram in self.recorder.stores.items():
            add_histogram(stores, (call,), histogram)
        yield stores

    def collect_counters(self) -> collections.abc.Iterator[core.Metric]:
        """Yield the counters of decisions and of other events."""
        decision_counter = core.CounterMetricFamily(
            'oleanderknot_decisions',
            'Decisions about calls.',
            labels=('rule', 'route', 'verdict'),
        )
        for labels, number in self.recorder.decisions.items():
            decision_counter.add_metric(labels, number)
        yield decision_counter
        events = core.CounterMetricFamily(
            'oleanderknot_events', 'Other events.', labels=('event',)
        )
        for name, number in self.recorder.totals.items():
            events.add_metric((name,), number)
        yield events


def add_histogram(
    family: core.HistogramMetricFamily,
    labels: tuple[str, ...],
    histogram: decisions.Histogram,
) -> None:
    """Add the buckets of a histogram to a metric."""
    family.add_metric(
        labels, histogram.list_buckets(), sum_value=histogram.total
    )


def format_metrics(recorder: 'sidecar_recorder.SidecarRecorder') -> bytes:
    """Return all metrics in the Prometheus text format."""
    metrics = prometheus_client.CollectorRegistry()
    metrics.register(SidecarMetrics(recorder=recorder))
    return prometheus_client.generate_latest(metrics)
