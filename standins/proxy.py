"""A TCP proxy on loopback that delays or drops bytes, and resets or refuses connections."""

import asyncio
import enum
import socket
import struct

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


class Proxy:
    """State of one proxy.

    Attributes:
        address: Address that the proxy listens on, `host:port`.
        target: Address that it connects to, `host:port`.
        mode: Current mode.
        delay: Delay of each chunk in mode DELAY, in seconds.
        writers: Writers of the open connections to clients and to the target.
        server: Listening server, None before the start.
    """

    __slots__ = ("address", "target", "mode", "delay", "writers", "server")

    def __init__(self, *, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.mode = Mode.PASS
        self.delay = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None


async def start_proxy(proxy: Proxy) -> None:
    """Opens the proxy's port."""
    host, _, port = proxy.address.partition(":")
    proxy.server = await asyncio.start_server(
        lambda reader, writer: _relay_connection(proxy, reader, writer), host, int(port)
    )


async def stop_proxy(proxy: Proxy) -> None:
    """Closes the port and resets all connections."""
    proxy.server.close()
    reset_connections(proxy)


def reset_connections(proxy: Proxy) -> None:
    """Resets all open connections."""
    for writer in list(proxy.writers):
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        if connection is not None and connection.fileno() >= 0:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


async def _relay_connection(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    proxy.writers.add(writer)
    target = None
    try:
        if proxy.mode == Mode.REFUSE:
            return
        host, _, port = proxy.target.partition(":")
        target_reader, target = await asyncio.open_connection(host, int(port))
        proxy.writers.add(target)
        await asyncio.gather(
            _relay_bytes(proxy, reader, target, from_target=False),
            _relay_bytes(proxy, target_reader, writer, from_target=True),
        )
    except OSError:
        return
    finally:
        for side in (writer, target):
            if side is not None:
                proxy.writers.discard(side)
                side.transport.abort()


async def _relay_bytes(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, from_target: bool
) -> None:
    while True:
        chunk = await reader.read(CHUNK_BYTES)
        if not chunk:
            while proxy.mode == Mode.HOLD_ENDS:
                await asyncio.sleep(HELD_END_CHECK_SECONDS)
            writer.transport.close()
            return
        if proxy.mode == Mode.DELAY:
            await asyncio.sleep(proxy.delay)
        if proxy.mode in (Mode.SILENT, Mode.CUT_BACK if from_target else Mode.CUT_FORTH):
            continue
        writer.write(chunk)
        await writer.drain()
