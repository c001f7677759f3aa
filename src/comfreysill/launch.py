"""Starts an entry or an agent on the platform; the argument is the role.

Only modules that are needed to open the ports are imported here; the others are imported once the
ports are open, so that connections made during the import are queued instead of refused.
"""

import comfreysill.startup_signals  # noqa: F401, I001
import gc
import os
import sys

from comfreysill.clock import read_clocks
from comfreysill.exceptions import ComfreysillError
from comfreysill.listeners import Listeners, open_listener
from comfreysill.platform.settings_file import find_listening_addresses, read_settings_file

ROLES = ("entry", "agent")
# Objects that are created before the garbage collector looks for cycles among them. Almost all
# objects are freed by reference counting; at the default of 700 the search takes more time than it
# saves memory.
GC_THRESHOLD = 20_000

gc.set_threshold(GC_THRESHOLD)
# Entries and agents make no TLS connections. Loading the system's certificates at import would
# take a tenth of the time allowed for a restart.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull


def main() -> None:
    """Reads the settings, opens the ports and runs the process until a stop is requested."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in ROLES:
        print(f"Error: unknown role {role!r}; try one of {', '.join(ROLES)}", file=sys.stderr)
        sys.exit(2)
    try:
        document = read_settings_file()
        http_address, link_address = find_listening_addresses(document, role)
        opened_at = read_clocks()
        listeners = Listeners(
            http=open_listener(http_address),
            link=open_listener(link_address),
            opened_at=opened_at,
        )
        from comfreysill.platform.settings import decode_settings

        settings = decode_settings(document)
    except ComfreysillError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    from comfreysill.process import run_process

    run_process(role, settings, listeners)
