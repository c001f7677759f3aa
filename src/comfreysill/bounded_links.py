"""Server for links (gRPC) that keeps each connection within its limits.

A read is at most as large as one of an HTTP connection, so that each connection gets its turn, and
its frames are counted before the library sees them.
"""

import asyncio
import logging
from typing import Any

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from comfreysill.connection_guard import ConnectionGuard
from comfreysill.connections.frames import FrameReading, read_frames
from comfreysill.connections.reasons import Reason
from comfreysill.connections.table import record_reason

logger = logging.getLogger(__name__)


class BoundedServer(Server):
    """gRPC server whose connections have limits.

    Attributes:
        guard: What the servers of the process share.
    """

    def __init__(self, services: list[Any], *, guard: ConnectionGuard) -> None:
        super().__init__(services)
        self.guard = guard

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return BoundedLinkProtocol(
            handler=protocol.handler,
            config=protocol.config,
            h2_config=protocol.h2_config,
            guard=self.guard,
        )


class BoundedLinkProtocol(H2Protocol, asyncio.BufferedProtocol):
    """HTTP/2 protocol of grpclib with limits.

    Attributes:
        guard: What the servers of the process share.
        reading: What it has received.
        transport: Its transport.
    """

    def __init__(self, *, guard: ConnectionGuard, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.guard = guard
        self.reading: FrameReading | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins a link."""
        super().connection_made(transport)
        self.transport = transport
        self.reading = FrameReading(now=asyncio.get_running_loop().time())

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

    def close(self, reason: Reason) -> None:
        """Closes the link at once."""
        if self.transport.is_closing():
            return
        record_reason(self.guard.table, reason)
        self.transport.abort()
