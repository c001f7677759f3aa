"""Listening sockets that are opened before the rest of the program is imported.

Importing is the longest part of a start. Connections made meanwhile wait in the kernel's accept
queue; without a listening socket they would be refused, and callers would retry only much later.
"""

import socket

from comfreysill.address import Address
from comfreysill.exceptions import ComfreysillError

BACKLOG_CONNECTIONS = 1024


class Listeners:
    """Listening sockets of a process; they queue connections while it starts.

    Attributes:
        http: For callers of an entry, or for the reports of an agent's runner.
        link: For the other processes of the system.
    """

    __slots__ = ("http", "link")

    def __init__(self, *, http: socket.socket, link: socket.socket) -> None:
        self.http = http
        self.link = link


def open_listener(address: Address) -> socket.socket:
    """Opens a listening socket.

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
        hint = "another process may still be using the port"
        raise ComfreysillError(message=f"can't bind to {address}: {error}", hint=hint) from error
    listener.listen(BACKLOG_CONNECTIONS)
    return listener
