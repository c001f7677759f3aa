"""Starts one process of the system on the platform, in the role that its argument names."""

import comfreysill.early_stop  # noqa: F401, I001
import asyncio
import gc
import os
import signal
import sys
import uuid

from comfreysill.exceptions import ComfreysillError
from comfreysill.platform.settings import InstanceSettings, read_instance_settings
from comfreysill.structured import configure_structured_logging

ROLES = ("entry", "agent")
# No connection of these processes uses TLS; loading the certificates of the machine at import
# would take a tenth of the time that a restart has.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull


def main() -> None:
    """Runs the process until it is asked to stop."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in ROLES:
        print(f"Error: unknown role {role!r}; try one of {', '.join(ROLES)}", file=sys.stderr)
        sys.exit(2)
    try:
        settings = read_instance_settings()
    except ComfreysillError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    configure_structured_logging(settings.name)
    asyncio.run(_run(role, settings))


async def _run(role: str, settings: InstanceSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    lifetime = uuid.uuid4().hex[:8]
    # A role imports only what it needs, as memory and time of start are paid for.
    if role == "entry":
        from comfreysill.gateway.program import run_gateway as run
    else:
        from comfreysill.sidecar.program import run_sidecar as run
    gc.freeze()
    await run(settings, lifetime, stop, reload)
