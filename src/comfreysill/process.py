"""Event loop, signal handlers and logging of an entry or an agent on the platform."""

import asyncio
import functools
import gc
import signal
import uuid

from comfreysill.listeners import Listeners
from comfreysill.platform.settings import InstanceSettings
from comfreysill.polls import PollTimes, build_timed_loop
from comfreysill.structured_logging import configure_structured_logging


def run_process(role: str, settings: InstanceSettings, listeners: Listeners) -> None:
    """Runs an entry or an agent until a stop is requested.

    SIGTERM and SIGINT request a graceful stop, SIGHUP a reload of the settings. Each run of the
    process has an id, its lifetime.

    Args:
        role: `entry` or `agent`.
        settings: Settings of the instance.
        listeners: Listening sockets for HTTP and for links.
    """
    configure_structured_logging(settings.name)
    poll_times = PollTimes()
    # Only an entry asks for the times of its polls.
    loop_factory = functools.partial(build_timed_loop, poll_times) if role == "entry" else None
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(_run(role, settings, listeners, poll_times))


async def _run(
    role: str, settings: InstanceSettings, listeners: Listeners, poll_times: PollTimes
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    lifetime = uuid.uuid4().hex[:8]
    # Each role imports only its own modules, to limit memory and start-up time.
    if role == "entry":
        from comfreysill.gateway.program import run_gateway

        run = run_gateway(settings, listeners, lifetime, stop, reload, poll_times)
    else:
        from comfreysill.sidecar.program import run_sidecar

        run = run_sidecar(settings, listeners, lifetime, stop, reload)
    gc.freeze()
    await run
