"""Metrics of a process in the Prometheus text format."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

# Upper bounds of the histogram buckets, in seconds.
_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, float("inf"))


class Metrics:
    """Metrics of one process.

    Attributes:
        registry: Registry that is served at `/metrics`.
        events: Counter of events by name.
        gauges: Current values by name.
        histograms: Histograms of times in seconds, by name.
        role: Role of the process, a label of each counter and gauge.
    """

    __slots__ = ("registry", "events", "gauges", "histograms", "role")

    def __init__(self, *, role: str) -> None:
        self.registry = Registry()
        self.role = role
        self.events = Counter("comfreysill_events_total", "Events by name.", registry=self.registry)
        self.gauges = Gauge("comfreysill_state", "Current values by name.", registry=self.registry)
        self.histograms: dict[str, Histogram] = {}


def observe_seconds(metrics: Metrics, name: str, value: float, team: str, task_class: str) -> None:
    """Records a time in seconds in a histogram, labelled with team and class."""
    observe_labelled_seconds(metrics, name, value, {"team": team, "class": task_class})


def observe_labelled_seconds(
    metrics: Metrics, name: str, value: float, labels: dict[str, str]
) -> None:
    """Records a time in seconds in a histogram, creating the histogram on first use."""
    histogram = metrics.histograms.get(name)
    if histogram is None:
        histogram = Histogram(
            f"comfreysill_{name}",
            f"Histogram of {name.replace('_', ' ')} by {' and '.join(labels)}.",
            registry=metrics.registry,
            buckets=_BUCKETS,
        )
        metrics.histograms[name] = histogram
    histogram.observe(labels, float(value))


def render_metrics(
    metrics: Metrics, counters: Mapping[str, int], gauges: Mapping[str, float], accept: str
) -> tuple[bytes, dict[str, str]]:
    """Renders all metrics.

    Args:
        metrics: The metrics.
        counters: Values of the counters by name.
        gauges: Values of the gauges by name.
        accept: Value of the HTTP header Accept; empty for the text format.

    Returns:
        The response body and its HTTP headers.
    """
    for name, value in counters.items():
        metrics.events.set({"event": name, "role": metrics.role}, value)
    for name, value in gauges.items():
        metrics.gauges.set({"name": name, "role": metrics.role}, value)
    return render(metrics.registry, [accept] if accept else [])
