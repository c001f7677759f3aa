"""HTTP and gRPC servers of a process."""

import asyncio
import functools
import resource
import socket
from typing import Any

import uvicorn
from grpclib.server import Server

from comfreysill.address import Address
from comfreysill.bounded_http import ARRIVAL_EXTENSION, BoundedHttpProtocol
from comfreysill.bounded_links import BoundedServer
from comfreysill.connection_guard import ConnectionGuard, log_closed_connections
from comfreysill.connections.limits import (
    MAX_QUEUED,
    ConnectionLimits,
    derive_links_limits,
    derive_process_limits,
)
from comfreysill.polls import PollTimes
from comfreysill.whole_requests import build_whole_request_app

__all__ = ["ARRIVAL_EXTENSION", "HttpServer", "build_guard", "build_http"]
# The Date header has a resolution of one second.
DATE_HEADER_INTERVAL_SECONDS = 1.0
# Taken if the kernel has no limit.
MAX_DESCRIPTORS = 1 << 16
# While the server stops, clients have this time to send what they have begun, or to read.
SHUTDOWN_SECONDS = 1.0
SHUTDOWN_CHECK_SECONDS = 0.1


class HttpServer(uvicorn.Server):
    """A uvicorn server without signal handlers that wakes up only once per second.

    Attributes:
        stopping: Set to leave the main loop.
        guard: Limits of the connections of this process.
        checked_at: Time of the event loop in seconds at which connections were checked last.
    """

    __slots__ = ("stopping", "guard", "checked_at")

    def __init__(self, *, config: uvicorn.Config, guard: ConnectionGuard) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()
        self.guard = guard
        self.checked_at = 0.0

    async def main_loop(self) -> None:
        """Updates the Date header and checks the connections until the server is stopped."""
        while not await self.on_tick(0):
            try:
                async with asyncio.timeout(DATE_HEADER_INTERVAL_SECONDS):
                    await self.stopping.wait()
            except TimeoutError:
                self.check_connections()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept connections, and limits the queue of those that aren't accepted yet."""
        await super().startup(sockets)
        receive_bytes = self.guard.table.limits.receive_bytes
        for listener in (item for server in self.servers for item in server.sockets):
            limit_receive_buffer(listener, receive_bytes)
        for listener in sockets or ():
            listener.listen(self.guard.table.limits.queued)

    def check_connections(self) -> None:
        """Closes the connections that have exceeded a time limit."""
        now = asyncio.get_running_loop().time()
        late_seconds = now - self.checked_at - DATE_HEADER_INTERVAL_SECONDS
        if not self.checked_at or late_seconds < DATE_HEADER_INTERVAL_SECONDS:
            late_seconds = 0.0
        self.checked_at = now
        for connection in list(self.server_state.connections):
            connection.check_time(now, late_seconds)
        log_closed_connections(self.guard, now)

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stops accepting connections, and waits until the open requests are answered."""
        check = asyncio.create_task(self._end_connections())
        try:
            await super().shutdown(sockets)
        finally:
            check.cancel()

    async def _end_connections(self) -> None:
        """Closes connections whose clients neither finish their requests nor read the answers."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(SHUTDOWN_SECONDS)
        while True:
            for connection in list(self.server_state.connections):
                connection.end_unless_answering(loop.time(), SHUTDOWN_SECONDS)
            await asyncio.sleep(SHUTDOWN_CHECK_SECONDS)

    def install_signal_handlers(self) -> None:
        """Does nothing, since the program of the process handles signals itself."""

    def capture_signals(self) -> Any:
        """Returns a context manager that captures no signals."""
        return _NullContext()


class _NullContext:
    __slots__ = ()

    def __enter__(self) -> None:
        return None

    def __exit__(self, *details: object) -> None:
        return None


def build_guard(
    limits: ConnectionLimits | None = None, max_descriptors: int = 0, memory_bytes: int = 0
) -> ConnectionGuard:
    """Builds the limits of the connections of a process, which its HTTP servers share.

    Args:
        limits: Limits of each connection, None for the defaults.
        max_descriptors: Maximum number of open descriptors, 0 for that of the kernel.
        memory_bytes: Maximum memory of the process, 0 if it isn't known.
    """
    if not max_descriptors:
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_descriptors = soft_limit if soft_limit != resource.RLIM_INFINITY else MAX_DESCRIPTORS
    return ConnectionGuard(
        limits=limits or ConnectionLimits(),
        process_limits=derive_process_limits(max_descriptors, memory_bytes),
        links_limits=derive_links_limits(max_descriptors, memory_bytes),
    )


def build_http(
    app: Any,
    address: Address | None = None,
    poll_times: PollTimes | None = None,
    guard: ConnectionGuard | None = None,
) -> HttpServer:
    """Builds an HTTP server; `serve()` runs it until `begin_http_shutdown` is called.

    Args:
        app: The ASGI application.
        address: Address to listen on, None if `serve()` is given a listening socket.
        poll_times: Polls of the event loop; requests carry an `Arrival` if they are given.
        guard: Limits of the connections of this process, None if it has no other HTTP server.
    """
    guard = guard or build_guard()
    protocol: Any = functools.partial(
        BoundedHttpProtocol, guard=guard, limits=guard.limits, poll_times=poll_times
    )
    config = uvicorn.Config(
        build_whole_request_app(app),
        host=address.host if address else "",
        port=address.port if address else 0,
        # All that wait are accepted at a time, on which `polls` relies.
        backlog=MAX_QUEUED if poll_times is not None else guard.table.limits.queued,
        http=protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
    )
    return HttpServer(config=config, guard=guard)


async def start_grpc(
    services: list[Any],
    address: Address | None = None,
    listener: socket.socket | None = None,
    guard: ConnectionGuard | None = None,
) -> Server:
    """Starts a gRPC server.

    Args:
        services: What it serves.
        address: Address to listen on, None if there is a listening socket.
        listener: The listening socket, None to open one.
        guard: Limits of the connections of this process, None if it has no other server.
    """
    guard = guard or build_guard()
    server = BoundedServer(services=services, guard=guard)
    if listener is not None:
        limit_receive_buffer(listener, guard.links.limits.receive_bytes)
        await server.start(sock=listener)
    else:
        await server.start(address.host, address.port)
    return server


def limit_receive_buffer(listener: Any, receive_bytes: int) -> None:
    """Sets how much the kernel keeps for each connection that a socket will accept."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)


def begin_http_shutdown(server: HttpServer) -> None:
    """Makes an HTTP server stop accepting connections and exit after its open requests."""
    server.should_exit = True
    server.stopping.set()


async def stop_http(server: HttpServer, task: asyncio.Task) -> None:
    """Stops an HTTP server, and waits until its open requests are answered.

    Args:
        server: The server.
        task: The asyncio task that runs its `serve()`.
    """
    begin_http_shutdown(server)
    await task
