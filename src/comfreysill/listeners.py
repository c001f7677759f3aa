"""Listening sockets that are opened before a program has loaded.

Loading takes longer than everything else at a start. Connections that are made meanwhile wait in
the kernel's queue; they would be refused otherwise, and callers would come back much later.
"""

import socket

from comfreysill.address import Address
from comfreysill.exceptions import ComfreysillError

BACKLOG_CONNECTIONS = 1024


class Listeners:
    """Sockets of a process that others reach while it loads.

    Attributes:
        external: Where an entry takes callers, or an agent the reports of its runner.
        link: Where the other processes of the system connect.
    """

    __slots__ = ("external", "link")

    def __init__(self, *, external: socket.socket, link: socket.socket) -> None:
        self.external = external
        self.link = link


def open_listener(address: Address) -> socket.socket:
    """Opens a listening socket.

    Raises:
        ComfreysillError: The address can't be had.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        hint = "another process may still use the port"
        raise ComfreysillError(message=f"no port {address}: {error}", hint=hint) from error
    listener.listen(BACKLOG_CONNECTIONS)
    return listener
