"""States of TCP connections, as the kernel tells them."""

import asyncio
import socket

# States of `struct tcp_info` in which the peer sends nothing more.
ENDED_TCP_STATES = frozenset({7, 8})


def has_ended(transport: asyncio.Transport) -> bool:
    """Returns whether the client has closed its side of a connection that isn't read."""
    connection = transport.get_extra_info("socket")
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED_TCP_STATES
    except (AttributeError, OSError, IndexError):
        return False
