"""A small crowd of clients that keep no limits, all of one form.

A crowd is bounded in connections, bytes and time. Its members read nothing. It keeps its
connections open until it is closed.
"""

import asyncio
import socket
import time

from standins.hostile_forms import Form

CONNECT_TIMEOUT_SECONDS = 2.0


class Crowd:
    """Connections of one form to one address.

    Attributes:
        address: Address they connect to, `host:port`.
        form: What they send.
        connections: Number of members, each with one connection at a time.
        attempts: Maximum number of connections of each member, one after another.
        max_bytes: Maximum number of bytes that each member sends, over all of its connections.
        ends_at: Monotonic time in seconds from which they send nothing more.
        pieces: Number of pieces that were built for all members so far.
        sockets: Open connections.
        sent: Number of bytes that all members have sent.
        closed: Number of connections that the process has closed or refused.
    """

    __slots__ = (
        "address",
        "form",
        "connections",
        "attempts",
        "max_bytes",
        "ends_at",
        "pieces",
        "sockets",
        "sent",
        "closed",
    )

    def __init__(
        self,
        *,
        address: str,
        form: Form,
        connections: int,
        attempts: int,
        max_bytes: int,
        seconds: float,
    ) -> None:
        self.address = address
        self.form = form
        self.connections = connections
        self.attempts = attempts
        self.max_bytes = max_bytes
        self.ends_at = time.monotonic() + seconds
        self.pieces = 0
        self.sockets: set[socket.socket] = set()
        self.sent = 0
        self.closed = 0


async def send_all(crowd: Crowd) -> None:
    """Lets all members send until their bounds are reached; their last connections stay open."""
    members = [_send_as_member(crowd) for _ in range(crowd.connections)]
    await asyncio.gather(*members)


def close_crowd(crowd: Crowd) -> None:
    """Closes all connections of a crowd."""
    for connection in crowd.sockets:
        connection.close()
    crowd.sockets.clear()


async def _send_as_member(crowd: Crowd) -> None:
    left = crowd.max_bytes
    for _ in range(crowd.attempts):
        connection = await _connect(crowd)
        if connection is not None:
            left = await _send_on(crowd, connection, left)
        if connection in crowd.sockets or left <= 0 or time.monotonic() >= crowd.ends_at:
            return


async def _connect(crowd: Crowd) -> socket.socket | None:
    host, _, port = crowd.address.partition(":")
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    crowd.sockets.add(connection)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    except (OSError, TimeoutError):
        _drop(crowd, connection)
        return None
    return connection


async def _send_on(crowd: Crowd, connection: socket.socket, left: int) -> int:
    """Sends until the process closes the connection or a bound is reached.

    Returns:
        The number of bytes that the member may send on further connections.
    """
    loop = asyncio.get_running_loop()
    piece = crowd.form.opening or _build_piece(crowd)
    try:
        async with asyncio.timeout_at(loop.time() + crowd.ends_at - time.monotonic()):
            while left > 0 and piece:
                await loop.sock_sendall(connection, piece)
                left -= len(piece)
                crowd.sent += len(piece)
                piece = _build_piece(crowd)
                # Lets the other members have their turns; a send that doesn't block doesn't.
                await asyncio.sleep(0)
    except TimeoutError:
        pass
    except OSError:
        _drop(crowd, connection)
    return left


def _build_piece(crowd: Crowd) -> bytes:
    crowd.pieces += 1
    return crowd.form.build_piece(crowd.pieces)


def _drop(crowd: Crowd, connection: socket.socket) -> None:
    crowd.sockets.discard(connection)
    connection.close()
    crowd.closed += 1
