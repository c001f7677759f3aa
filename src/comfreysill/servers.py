"""HTTP and gRPC servers of a process."""

import asyncio
import functools
import socket
from typing import Any

import uvicorn
from grpclib.server import Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from comfreysill.address import Address
from comfreysill.arrivals import measure_arrival
from comfreysill.clock import read_boot_clock
from comfreysill.polls import PollTimes

# The Date header has a resolution of one second.
DATE_HEADER_INTERVAL_SECONDS = 1.0
# Name of the ASGI extension in which a request carries an `Arrival`.
ARRIVAL_EXTENSION = "comfreysill.arrival"


class TimedHttpProtocol(HttpToolsProtocol):
    """HTTP protocol of uvicorn that adds an `Arrival` to the ASGI scope of each request.

    Attributes:
        poll_times: Polls of the event loop.
        connected_at: Boot-clock time in seconds at which the connection was accepted, None from its
            first request on.
    """

    def __init__(self, *, poll_times: PollTimes, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.poll_times = poll_times
        self.connected_at: float | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins a connection."""
        super().connection_made(transport)
        self.connected_at = read_boot_clock()

    def on_message_begin(self) -> None:
        """Begins a request, at its first byte."""
        super().on_message_begin()
        connection = self.transport.get_extra_info("socket")
        arrival = measure_arrival(self.poll_times, connection, self.connected_at)
        self.connected_at = None
        self.scope["extensions"] = {ARRIVAL_EXTENSION: arrival}


class HttpServer(uvicorn.Server):
    """A uvicorn server without signal handlers that wakes up only once per second.

    Attributes:
        stopping: Set to leave the main loop.
    """

    __slots__ = ("stopping",)

    def __init__(self, *, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        """Updates the Date header periodically until the server is stopped."""
        while not await self.on_tick(0):
            try:
                async with asyncio.timeout(DATE_HEADER_INTERVAL_SECONDS):
                    await self.stopping.wait()
            except TimeoutError:
                continue

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


def build_http(
    app: Any, address: Address | None = None, poll_times: PollTimes | None = None
) -> HttpServer:
    """Builds an HTTP server; `serve()` runs it until `begin_http_shutdown` is called.

    Args:
        app: The ASGI application.
        address: Address to listen on, None if `serve()` is given a listening socket.
        poll_times: Polls of the event loop; requests carry an `Arrival` if they are given.
    """
    protocol: Any = "httptools"
    if poll_times is not None:
        protocol = functools.partial(TimedHttpProtocol, poll_times=poll_times)
    config = uvicorn.Config(
        app,
        host=address.host if address else "",
        port=address.port if address else 0,
        http=protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=75,
    )
    return HttpServer(config=config)


async def start_grpc(services: list[Any], address: Address) -> Server:
    """Starts a gRPC server on an address."""
    server = Server(services)
    await server.start(address.host, address.port)
    return server


async def start_grpc_on_socket(services: list[Any], listener: socket.socket) -> Server:
    """Starts a gRPC server on an existing listening socket."""
    server = Server(services)
    await server.start(sock=listener)
    return server


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
