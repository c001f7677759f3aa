"""HTTP endpoint for metrics of an entry or agent on the platform; observer for histograms."""

import time
from collections.abc import Callable, Mapping
from typing import Any

from comfreysill.metrics import Metrics, observe_labelled_seconds, render_metrics

# Requests within this time get the same page, since rendering takes milliseconds.
PAGE_SECONDS = 1.0


class MetricsPage:
    """The page of metrics that was rendered last.

    Attributes:
        expires_at: Monotonic time in seconds from which it is rendered again.
        headers: Its HTTP headers.
        body: Its text.
    """

    __slots__ = ("expires_at", "headers", "body")

    def __init__(self) -> None:
        self.expires_at = 0.0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""


def build_metrics_app(
    metrics: Metrics,
    get_counters: Callable[[], Mapping[str, int]],
    get_gauges: Callable[[], Mapping[str, float]],
    get_time: Callable[[], float] = time.monotonic,
) -> Callable[..., Any]:
    """Builds the ASGI application that serves the metrics of a process, on any path.

    Args:
        metrics: Metrics of the process.
        get_counters: Returns its counters by name.
        get_gauges: Returns current values by name.
        get_time: Returns the time in seconds on a steady clock.
    """
    page = MetricsPage()

    def update_page() -> None:
        now = get_time()
        if now < page.expires_at:
            return
        page.expires_at = now + PAGE_SECONDS
        page.body, headers = render_metrics(metrics, get_counters(), get_gauges(), "")
        page.headers = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        page.headers.append((b"content-length", str(len(page.body)).encode()))

    async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        update_page()
        await send({"type": "http.response.start", "status": 200, "headers": page.headers})
        await send({"type": "http.response.body", "body": page.body})

    return serve


def build_observer(metrics: Metrics) -> Callable[[str, float, str], None]:
    """Returns a function that records a time in seconds in a histogram, labelled by route."""

    def observe(name: str, value: float, route: str) -> None:
        observe_labelled_seconds(metrics, name, value, {"route": route})

    return observe
