"""The daemon `comfreysilld`."""

import comfreysill.startup_signals  # noqa: F401, I001
import asyncio
import pathlib
import signal
import sys
from typing import Annotated

import cappa

from comfreysill.agent.program import run_agent
from comfreysill.entry.program import run_entry
from comfreysill.exceptions import ComfreysillError
from comfreysill.logs import configure_logging
from comfreysill.settings import Settings, read_settings

PROGRAMS = {"entry": run_entry, "agent": run_agent}


def run_daemon(
    settings: Annotated[pathlib.Path, cappa.Arg(long="--settings", help="Settings file in YAML.")],
) -> None:
    """Run one process of the dispatcher in the role given in its settings."""
    checked = read_settings(settings)
    configure_logging(checked.log_format, checked.log_level)
    asyncio.run(_run(checked))


async def _run(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    program = asyncio.create_task(PROGRAMS[settings.role](settings, stop))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _handle_stop_signal, stop, program)
    await asyncio.gather(program, return_exceptions=stop.is_set())


def _handle_stop_signal(stop: asyncio.Event, program: asyncio.Task) -> None:
    """Starts a graceful shutdown; a second signal stops the process immediately."""
    if stop.is_set():
        program.cancel()
    stop.set()


def main() -> None:
    """Entry point of the program."""
    try:
        cappa.invoke(run_daemon)
    except ComfreysillError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
