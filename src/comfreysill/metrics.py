"""Metrics of a process in the text form that Prometheus reads."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, float("inf"))


class Metrics:
    """Registry of one process.

    Attributes:
        registry: Registry that is rendered at `/metrics`.
        events: Counter of events by name.
        gauges: Current values by name.
        seconds: Histograms by team and class, by name.
    """

    __slots__ = ("registry", "events", "gauges", "seconds", "role")

    def __init__(self, *, role: str) -> None:
        self.registry = Registry()
        self.role = role
        self.events = Counter("comfreysill_events_total", "Events by name.", registry=self.registry)
        self.gauges = Gauge("comfreysill_state", "Current values by name.", registry=self.registry)
        self.seconds: dict[str, Histogram] = {}


def observe_seconds(metrics: Metrics, name: str, value: float, team: str, task_class: str) -> None:
    """Adds a time in seconds to the histogram of a team and class."""
    observe_labels(metrics, name, value, {"team": team, "class": task_class})


def observe_labels(metrics: Metrics, name: str, value: float, labels: dict[str, str]) -> None:
    """Adds a time in seconds to the histogram of one set of labels."""
    histogram = metrics.seconds.get(name)
    if histogram is None:
        histogram = Histogram(
            f"comfreysill_{name}",
            f"Histogram of {name.replace('_', ' ')} by {' and '.join(labels)}.",
            registry=metrics.registry,
            buckets=_SECONDS,
        )
        metrics.seconds[name] = histogram
    histogram.observe(labels, float(value))


def render_metrics(
    metrics: Metrics, counters: Mapping[str, int], gauges: Mapping[str, float], accept: str
) -> tuple[bytes, dict[str, str]]:
    """Renders all metrics.

    Returns:
        The text and the HTTP headers that describe it.
    """
    for name, value in counters.items():
        metrics.events.set({"event": name, "role": metrics.role}, value)
    for name, value in gauges.items():
        metrics.gauges.set({"name": name, "role": metrics.role}, value)
    return render(metrics.registry, [accept] if accept else [])
