"""A TCP proxy on loopback that delays, holds or drops bytes, and breaks or refuses connections."""

import asyncio
import enum
import math
import socket
import struct
import time

CHUNK_BYTES = 65536
HELD_END_CHECK_SECONDS = 0.05


class Mode(enum.Enum):
    """What the proxy does with bytes and connections.

    DELAY delays bytes both ways. SILENT drops them both ways, CUT_BACK those from the target and
    CUT_FORTH those to it; the connections stay open. REFUSE closes new connections and passes the
    bytes of open ones. HOLD_ENDS passes all bytes, and the ends of connections only once the mode
    has changed.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_BACK = "cut-back"
    CUT_FORTH = "cut-forth"
    REFUSE = "refuse"
    HOLD_ENDS = "hold-ends"


class Connection:
    """A client's connection and the one to the target that belongs to it.

    Attributes:
        client: Writer to the client.
        target: Writer to the target, None until that connection is open.
        relay: Task that relays the bytes, None before it has begun.
        told_at: Monotonic time in seconds before which the target isn't told of the client's end,
            infinite for never.
    """

    __slots__ = ("client", "target", "relay", "told_at")

    def __init__(self, *, client: asyncio.StreamWriter) -> None:
        self.client = client
        self.target: asyncio.StreamWriter | None = None
        self.relay: asyncio.Task | None = None
        self.told_at = 0.0


class Proxy:
    """State of one proxy.

    Attributes:
        address: Address that the proxy listens on, `host:port`.
        target: Address that it connects to, `host:port`.
        mode: Current mode.
        delay: Delay of each chunk in mode DELAY, in seconds.
        hold_seconds: For how long each opening, byte and end of a connection is held, both ways and
            in any mode. Those that are held up already are passed on after the time that held then.
        break_seconds: New connections break at their client this long after they were opened;
            infinite for never.
        told_seconds: For how long the target isn't told of such a break; infinite for never.
        connections: Open connections.
        server: Listening server, None before the start.
    """

    __slots__ = (
        "address",
        "target",
        "mode",
        "delay",
        "hold_seconds",
        "break_seconds",
        "told_seconds",
        "connections",
        "server",
    )

    def __init__(self, *, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.mode = Mode.PASS
        self.delay = 0.0
        self.hold_seconds = 0.0
        self.break_seconds = math.inf
        self.told_seconds = 0.0
        self.connections: set[Connection] = set()
        self.server: asyncio.Server | None = None


async def start_proxy(proxy: Proxy) -> None:
    """Opens the proxy's port."""
    host, _, port = proxy.address.partition(":")
    proxy.server = await asyncio.start_server(
        lambda reader, writer: _accept_connection(proxy, reader, writer), host, int(port)
    )


async def stop_proxy(proxy: Proxy) -> None:
    """Closes the port and resets all connections."""
    proxy.server.close()
    reset_connections(proxy)


def reset_connections(proxy: Proxy) -> None:
    """Resets all open connections; what is held on them is lost."""
    for connection in list(proxy.connections):
        for writer in (connection.client, connection.target):
            if writer is not None:
                _reset(writer)
        connection.relay.cancel()


def break_clients(proxy: Proxy, told_seconds: float) -> int:
    """Breaks all open connections at their clients alone.

    Args:
        proxy: The proxy.
        told_seconds: For how long the target isn't told; infinite for never.

    Returns:
        Number of connections broken.
    """
    unbroken = [item for item in proxy.connections if not item.client.transport.is_closing()]
    for connection in unbroken:
        _break_client(connection, told_seconds)
    return len(unbroken)


def _break_client(connection: Connection, told_seconds: float) -> None:
    if connection.client.transport.is_closing():
        return
    connection.told_at = time.monotonic() + told_seconds
    _reset(connection.client)


def _reset(writer: asyncio.StreamWriter) -> None:
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _accept_connection(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if proxy.mode == Mode.REFUSE:
        writer.transport.abort()
        return
    connection = Connection(client=writer)
    proxy.connections.add(connection)
    connection.relay = asyncio.create_task(_relay_connection(proxy, connection, reader))
    if proxy.break_seconds < math.inf:
        loop = asyncio.get_running_loop()
        loop.call_later(proxy.break_seconds, _break_client, connection, proxy.told_seconds)


async def _relay_connection(
    proxy: Proxy, connection: Connection, reader: asyncio.StreamReader
) -> None:
    held: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
    reading = asyncio.create_task(_read_chunks(proxy, reader, held))
    delivery = None
    try:
        await asyncio.sleep(proxy.hold_seconds)
        host, _, port = proxy.target.partition(":")
        target_reader, connection.target = await asyncio.open_connection(host, int(port))
        delivery = asyncio.create_task(_deliver_to_target(proxy, connection, held))
        await _relay_answers(proxy, connection, target_reader)
        # What has come for the client is on its way until its end of the connection is read.
        await reading
    except OSError:
        return
    finally:
        proxy.connections.discard(connection)
        for task in (reading, delivery):
            if task is not None:
                task.cancel()
        for side in (connection.client, connection.target):
            if side is not None:
                side.transport.abort()


async def _read_chunks(
    proxy: Proxy, reader: asyncio.StreamReader, held: asyncio.Queue[tuple[float, bytes]]
) -> None:
    """Reads until the end of a connection, an empty chunk; each chunk has a time of delivery."""
    while True:
        try:
            chunk = await reader.read(CHUNK_BYTES)
        except OSError:
            chunk = b""
        due_at = time.monotonic() + proxy.hold_seconds
        if chunk and proxy.mode == Mode.DELAY:
            await asyncio.sleep(proxy.delay)
        held.put_nowait((due_at, chunk))
        if not chunk:
            return


async def _deliver_to_target(
    proxy: Proxy, connection: Connection, held: asyncio.Queue[tuple[float, bytes]]
) -> None:
    await _deliver_chunks(proxy, held, connection.target, Mode.CUT_FORTH)
    await _sleep_until(connection.told_at)
    await _deliver_end(proxy, connection.target)


async def _relay_answers(
    proxy: Proxy, connection: Connection, reader: asyncio.StreamReader
) -> None:
    held: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
    reading = asyncio.create_task(_read_chunks(proxy, reader, held))
    try:
        await _deliver_chunks(proxy, held, connection.client, Mode.CUT_BACK)
        await _deliver_end(proxy, connection.client)
    finally:
        reading.cancel()


async def _deliver_chunks(
    proxy: Proxy,
    held: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
    cut: Mode,
) -> None:
    """Delivers chunks until the end of the connection; those for a side that is gone are lost."""
    while True:
        due_at, chunk = await held.get()
        await _sleep_until(due_at)
        if not chunk:
            return
        if proxy.mode in (Mode.SILENT, cut) or writer.transport.is_closing():
            continue
        try:
            writer.write(chunk)
            await writer.drain()
        except OSError:
            continue


async def _deliver_end(proxy: Proxy, writer: asyncio.StreamWriter) -> None:
    while proxy.mode == Mode.HOLD_ENDS:
        await asyncio.sleep(HELD_END_CHECK_SECONDS)
    writer.transport.close()


async def _sleep_until(due_at: float) -> None:
    """Sleeps until a monotonic time in seconds, which may be infinite."""
    seconds = due_at - time.monotonic()
    if seconds > 0:
        await asyncio.sleep(seconds)
