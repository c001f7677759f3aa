"""HTTP endpoint for metrics of an entry or agent on the platform; observer for histograms."""

from collections.abc import Callable, Mapping
from typing import Any

from comfreysill.metrics import Metrics, observe_labelled_seconds, render_metrics


def build_metrics_app(
    metrics: Metrics,
    get_counters: Callable[[], Mapping[str, int]],
    get_gauges: Callable[[], Mapping[str, float]],
) -> Callable[..., Any]:
    """Builds the ASGI application that serves the metrics of a process, on any path."""

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body, headers = render_metrics(metrics, get_counters(), get_gauges(), "")
        pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        pairs.append((b"content-length", str(len(body)).encode()))
        await send({"type": "http.response.start", "status": 200, "headers": pairs})
        await send({"type": "http.response.body", "body": body})

    return serve


def build_observer(metrics: Metrics) -> Callable[[str, float, str], None]:
    """Returns a function that records a time in seconds in a histogram, labelled by route."""

    def observe(name: str, value: float, route: str) -> None:
        observe_labelled_seconds(metrics, name, value, {"route": route})

    return observe
