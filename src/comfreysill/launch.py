"""Starts one process of the system on the platform, in the role that its argument names.

Only what opening the ports needs is imported here; the rest is loaded once they are open.
"""

import comfreysill.early_stop  # noqa: F401, I001
import os
import sys

from comfreysill.address import Address
from comfreysill.exceptions import ComfreysillError
from comfreysill.listeners import Listeners, open_listener
from comfreysill.platform.settings import InstanceSettings, read_instance_settings

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
        external = _find_outside(role, settings)
        listeners = Listeners(external=open_listener(external), link=open_listener(settings.link))
    except ComfreysillError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    from comfreysill.process import run_process

    run_process(role, settings, listeners)


def _find_outside(role: str, settings: InstanceSettings) -> Address:
    address = settings.callers if role == "entry" else settings.reports
    if address is None:
        hint = "the deploy file has to say what the role serves"
        raise ComfreysillError(message=f"the settings give the {role} no port", hint=hint)
    return address
