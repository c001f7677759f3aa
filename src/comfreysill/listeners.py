"""Listening sockets that are opened before the rest of the program is imported.

Importing takes most of the start-up time. Connections made meanwhile wait in the kernel's accept
queue; without a listening socket they would be refused, and callers would have to retry.
"""

import socket

from comfreysill.address import Address
from comfreysill.clock import ClockReading
from comfreysill.exceptions import ComfreysillError

BACKLOG_CONNECTIONS = 1024


class Listeners:
    """Listening sockets of an entry or an agent; they queue connections while it starts.

    Attributes:
        http: Accepts HTTP from the callers of an entry, or from the runner beside an agent.
        link: Accepts connections of other entries and agents (gRPC).
        opened_at: Time before which they weren't open.
    """

    __slots__ = ("http", "link", "opened_at")

    def __init__(
        self, *, http: socket.socket, link: socket.socket, opened_at: ClockReading
    ) -> None:
        self.http = http
        self.link = link
        self.opened_at = opened_at


def open_listener(address: Address) -> socket.socket:
    """Opens a non-blocking IPv4 listening socket whose address can be reused at once.

    Raises:
        ComfreysillError: The socket can't be bound to the address.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        hint = "another process may be using the port, or the address isn't one of this host"
        raise ComfreysillError(message=f"can't bind to {address}: {error}", hint=hint) from error
    listener.listen(BACKLOG_CONNECTIONS)
    return listener
