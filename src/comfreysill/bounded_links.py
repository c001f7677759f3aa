"""Server for links (gRPC) that keeps each connection within its limits.

A read is at most as large as one of an HTTP connection, so that each connection gets its turn, and
its frames are counted before the library sees them.
"""

import asyncio
import logging
from typing import Any

from grpclib.config import Configuration
from grpclib.protocol import AbstractHandler, Buffer, H2Protocol, Stream
from grpclib.server import Server

from comfreysill.connection_guard import ConnectionGuard
from comfreysill.connections.frames import FrameReading, read_frames
from comfreysill.connections.reasons import Reason
from comfreysill.connections.table import (
    Connection,
    add_connection,
    find_dearest,
    find_surplus,
    record_reason,
    remove_connection,
    set_held_bytes,
)

logger = logging.getLogger(__name__)

# What a peer may send before it is read; each stream and each connection has such a window.
WINDOW_BYTES = 262_144


class BoundedServer(Server):
    """gRPC server whose connections have limits.

    Attributes:
        guard: What the servers of the process share.
    """

    __slots__ = ("guard",)

    def __init__(self, *, services: list[Any], guard: ConnectionGuard) -> None:
        config = Configuration(
            http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
        )
        super().__init__(services, config=config)
        self.guard = guard

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return BoundedLinkProtocol(
            handler=MeasuringHandler(handler=protocol.handler),
            config=protocol.config,
            h2_config=protocol.h2_config,
            guard=self.guard,
        )


class MeasuredBuffer(Buffer):
    """Data of a stream that its reader hasn't consumed.

    Attributes:
        held_bytes: Size of that data.
    """

    __slots__ = ("held_bytes",)

    def __init__(self, *, buffer: Buffer) -> None:
        super().__init__(buffer._ack_callback)
        self.held_bytes = 0

    def add(self, data: bytes, ack_size: int) -> None:
        """Adds received data; see `grpclib.protocol.Buffer.add`."""
        self.held_bytes += len(data)
        super().add(data, ack_size)

    async def read(self, size: int) -> bytes:
        """Waits for `size` bytes; see `grpclib.protocol.Buffer.read`."""
        data = await super().read(size)
        self.held_bytes -= len(data)
        return data


class MeasuringHandler(AbstractHandler):
    """Handler of a connection that measures what its streams hold.

    Attributes:
        handler: Handler that serves the streams.
    """

    __slots__ = ("handler",)

    def __init__(self, *, handler: AbstractHandler) -> None:
        self.handler = handler

    def accept(self, stream: Stream, headers: Any, release_stream: Any) -> None:
        """Serves a new stream."""
        stream.buffer = MeasuredBuffer(buffer=stream.buffer)
        self.handler.accept(stream, headers, release_stream)

    def cancel(self, stream: Stream) -> None:
        """Ends the serving of a stream."""
        self.handler.cancel(stream)

    def close(self) -> None:
        """Ends the serving of all streams."""
        self.handler.close()


class BoundedLinkProtocol(H2Protocol, asyncio.BufferedProtocol):
    """HTTP/2 protocol of grpclib with limits.

    Attributes:
        guard: What the servers of the process share.
        link: The connection in the table of links.
        reading: What it has received.
        transport: Its transport.
        opening: Timer that closes it unless a stream was opened by then.
    """

    def __init__(self, *, guard: ConnectionGuard, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.guard = guard
        self.link: Connection | None = None
        self.reading: FrameReading | None = None
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins a link; if there are too many, one without a stream is closed, or this one."""
        super().connection_made(transport)
        self.transport = transport
        table, loop = self.guard.links, asyncio.get_running_loop()
        self.reading = FrameReading(now=loop.time())
        self.link = add_connection(table, self.close)
        opening_seconds = self.guard.link_limits.opening_seconds
        self.opening = loop.call_later(opening_seconds, self._close_unless_used)
        while len(table.connections) > table.limits.connections:
            surplus = find_surplus(table) or self.link
            surplus.close(Reason.CONNECTIONS)
            remove_connection(table, surplus)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a link."""
        self.opening.cancel()
        remove_connection(self.guard.links, self.link)
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self.guard.buffer

    def buffer_updated(self, size: int) -> None:
        """Passes what was read to the library, unless it exceeds a limit."""
        if self.transport.is_closing():
            return
        data = bytes(self.guard.buffer[:size])
        now = asyncio.get_running_loop().time()
        reason = read_frames(self.reading, self.guard.link_limits, data, now)
        if reason is not None:
            self.close(reason)
            return
        try:
            self.data_received(data)
        except Exception as error:
            # The library raises various errors for frames that it doesn't expect.
            logger.debug("unexpected frames", extra={"fields": {"why": repr(error)}})
            self.close(Reason.MALFORMED)
            return
        self._update_table()

    def close(self, reason: Reason) -> None:
        """Closes the link at once."""
        if self.transport.is_closing():
            return
        record_reason(self.guard.table, reason)
        self.transport.abort()

    def _update_table(self) -> None:
        table, streams = self.guard.links, self.processor.streams
        if self.link not in table.connections:
            return
        self.link.unanswered = len(streams)
        if streams:
            self.opening.cancel()
        held_bytes = sum(stream.buffer.held_bytes for stream in streams.values())
        set_held_bytes(table, self.link, held_bytes)
        while (dearest := find_dearest(table)) is not None and dearest.held_bytes:
            set_held_bytes(table, dearest, 0)
            dearest.close(Reason.HELD_BYTES)

    def _close_unless_used(self) -> None:
        if not self.link.unanswered:
            self.close(Reason.IDLE_SECONDS)
