"""Clients that keep no limits: what each form of them sends, and a small crowd of one form.

A crowd is bounded in connections, bytes and time, and sends the same pieces of memory again and
again. Its members read nothing. It keeps its connections open until it is closed.
"""

import asyncio
import socket
import time

from standins.platform_deployment import ROUTE_HOST, ROUTE_PREFIX

PIECE_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 2.0
JOB_PATH = f"{ROUTE_PREFIX}{'c' * 16}"
HOST_LINE = f"Host: {ROUTE_HOST}\r\n"
GET_START = f"GET {ROUTE_PREFIX} HTTP/1.1\r\n".encode()
GET_HEAD = GET_START + HOST_LINE.encode()
POST_HEAD = f"POST {JOB_PATH} HTTP/1.1\r\n{HOST_LINE}".encode()
CHUNKED_HEAD = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKED_END = b"2\r\n{}\r\n0\r\n"
LONG_LINE = b"X-Long: " + b"a" * 8_182 + b"\r\n"
SHORT_LINE = b"a:b\r\n"
CHUNK = b"ffff\r\n" + b"a" * 0xFFFF + b"\r\n"


class Form:
    """What a client sends.

    Attributes:
        opening: Sent once on each connection.
        piece: Sent again and again after it; empty if nothing follows.
    """

    __slots__ = ("opening", "piece")

    def __init__(self, *, opening: bytes = b"", piece: bytes = b"") -> None:
        self.opening = opening
        self.piece = piece * max(1, PIECE_BYTES // len(piece)) if piece else b""


FORMS = {
    "header without end": Form(opening=GET_HEAD + b"X-Long: ", piece=b"a"),
    "URL without end": Form(opening=f"GET {ROUTE_PREFIX}".encode(), piece=b"a"),
    "head of long lines": Form(opening=GET_HEAD, piece=LONG_LINE),
    "head of short lines": Form(opening=GET_HEAD, piece=SHORT_LINE),
    "empty lines": Form(piece=b"\r\n"),
    "trailers of long lines": Form(opening=CHUNKED_HEAD + CHUNKED_END, piece=LONG_LINE),
    "trailers of short lines": Form(opening=CHUNKED_HEAD + CHUNKED_END, piece=SHORT_LINE),
    "chunk extension without end": Form(opening=CHUNKED_HEAD + b"2;", piece=b"a"),
    "requests ahead with Host": Form(piece=GET_HEAD + b"\r\n"),
    "requests ahead without Host": Form(piece=GET_START + b"\r\n"),
    "endless body": Form(opening=CHUNKED_HEAD, piece=CHUNK),
    "nothing": Form(),
    "half a head": Form(opening=GET_HEAD),
}


class Crowd:
    """Connections of one form to one address.

    Attributes:
        address: Address they connect to, `host:port`.
        form: What they send.
        connections: Number of members, each with one connection at a time.
        attempts: Maximum number of connections of each member, one after another.
        max_bytes: Maximum number of bytes that each member sends, over all of its connections.
        ends_at: Monotonic time in seconds from which they send nothing more.
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
    piece = crowd.form.opening
    try:
        async with asyncio.timeout_at(loop.time() + crowd.ends_at - time.monotonic()):
            while left > 0 and (piece or crowd.form.piece):
                piece = piece or crowd.form.piece
                await loop.sock_sendall(connection, piece)
                left -= len(piece)
                crowd.sent += len(piece)
                piece = b""
                # Lets the other members have their turns; a send that doesn't block doesn't.
                await asyncio.sleep(0)
    except TimeoutError:
        pass
    except OSError:
        _drop(crowd, connection)
    return left


def _drop(crowd: Crowd, connection: socket.socket) -> None:
    crowd.sockets.discard(connection)
    connection.close()
    crowd.closed += 1
