"""HTTP and gRPC servers of a process."""

import asyncio
from typing import Any

import uvicorn
from grpclib.server import Server

from comfreysill.address import Address


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    __slots__ = ()

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


def build_http(app: Any, address: Address) -> HttpServer:
    """Builds an HTTP server; `serve()` runs it until `should_exit` is set."""
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        http="httptools",
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_keep_alive=75,
    )
    return HttpServer(config)


async def start_grpc(services: list[Any], address: Address) -> Server:
    """Starts a gRPC server."""
    server = Server(services)
    await server.start(address.host, address.port)
    return server


async def stop_http(server: HttpServer, task: asyncio.Task) -> None:
    """Ends an HTTP server once its open requests are answered."""
    server.should_exit = True
    await task
