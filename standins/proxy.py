"""A TCP proxy on loopback that delays, resets, silences or cuts one way what goes through it."""

import asyncio
import enum
import socket
import struct

CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """What the proxy does with bytes; SILENT and the one-way cuts hold connections open."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_BACK = "cut-back"
    CUT_FORTH = "cut-forth"
    REFUSE = "refuse"


class Proxy:
    """State of one proxy.

    Attributes:
        address: Where it listens, `host:port`.
        target: Where it sends connections, `host:port`.
        mode: What it does with bytes from now on.
        delay: Seconds that bytes wait in mode DELAY.
        writers: Open connections, both sides.
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
        lambda reader, writer: _serve(proxy, reader, writer), host, int(port)
    )


async def stop_proxy(proxy: Proxy) -> None:
    """Closes the port and all connections."""
    proxy.server.close()
    reset_connections(proxy)


def reset_connections(proxy: Proxy) -> None:
    """Resets all open connections."""
    for writer in list(proxy.writers):
        linger = struct.pack("ii", 1, 0)
        found = writer.get_extra_info("socket")
        if found is not None and found.fileno() >= 0:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


async def _serve(proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    proxy.writers.add(writer)
    target = None
    try:
        if proxy.mode == Mode.REFUSE:
            return
        host, _, port = proxy.target.partition(":")
        target_reader, target = await asyncio.open_connection(host, int(port))
        proxy.writers.add(target)
        await asyncio.gather(
            _pump(proxy, reader, target, back=False), _pump(proxy, target_reader, writer, back=True)
        )
    except OSError:
        return
    finally:
        for side in (writer, target):
            if side is not None:
                proxy.writers.discard(side)
                side.transport.abort()


async def _pump(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
) -> None:
    while True:
        chunk = await reader.read(CHUNK_BYTES)
        if not chunk:
            writer.transport.close()
            return
        if proxy.mode == Mode.DELAY:
            await asyncio.sleep(proxy.delay)
        if proxy.mode in (Mode.SILENT, Mode.CUT_BACK if back else Mode.CUT_FORTH):
            continue
        writer.write(chunk)
        await writer.drain()
