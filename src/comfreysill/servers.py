"""HTTP and gRPC servers of a process."""

import asyncio
import socket
from typing import Any

import uvicorn
from grpclib.server import Server

from comfreysill.address import Address

# The Date of answers is exact to the second.
DATE_SECONDS = 1.0


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon and wakes no more than it has to.

    Attributes:
        stopping: Set to end it.
    """

    __slots__ = ("stopping",)

    def __init__(self, *, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        """Renews the Date of answers until the server is ended."""
        while not await self.on_tick(0):
            try:
                async with asyncio.timeout(DATE_SECONDS):
                    await self.stopping.wait()
            except TimeoutError:
                continue

    def install_signal_handlers(self) -> None:
        """Installs none."""

    def capture_signals(self) -> Any:
        """Captures none."""
        return _Nothing()


class _Nothing:
    __slots__ = ()

    def __enter__(self) -> None:
        return None

    def __exit__(self, *details: object) -> None:
        return None


def build_http(app: Any, address: Address | None = None) -> HttpServer:
    """Builds an HTTP server; `serve()` runs it until `begin_http_shutdown` is called.

    Args:
        app: The ASGI application.
        address: Where it listens, None where `serve()` is given a listening socket.
    """
    config = uvicorn.Config(
        app,
        host=address.host if address else "",
        port=address.port if address else 0,
        http="httptools",
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_keep_alive=75,
    )
    return HttpServer(config=config)


async def start_grpc(services: list[Any], address: Address) -> Server:
    """Starts a gRPC server."""
    server = Server(services)
    await server.start(address.host, address.port)
    return server


async def start_grpc_on_socket(services: list[Any], listener: socket.socket) -> Server:
    """Starts a gRPC server on a listening socket."""
    server = Server(services)
    await server.start(sock=listener)
    return server


def begin_http_shutdown(server: HttpServer) -> None:
    """Has an HTTP server take no more connections, and end once its requests are answered."""
    server.should_exit = True
    server.stopping.set()


async def stop_http(server: HttpServer, task: asyncio.Task) -> None:
    """Ends an HTTP server once its open requests are answered."""
    begin_http_shutdown(server)
    await task
