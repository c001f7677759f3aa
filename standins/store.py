"""Stand-in for the platform's table service and object store, with faults to order."""

import argparse
import asyncio
from typing import Any

import falcon
import falcon.asgi
import uvicorn


class Store:
    """Rows and objects in memory.

    Attributes:
        rows: Revision and value by key.
        objects: Bytes by name.
        revision: Raised by one with each transaction.
        outage: True while every request is refused.
        delay: Seconds that each request waits.
        lose_answers: How many of the next writes take effect and answer with an error.
        reads: How many reads were served.
        writes: How many transactions were served.
    """

    __slots__ = (
        "rows",
        "objects",
        "revision",
        "outage",
        "delay",
        "lose_answers",
        "reads",
        "writes",
    )

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.revision = 0
        self.outage = False
        self.delay = 0.0
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0


def scan(store: Store, prefix: str) -> dict[str, Any]:
    """Returns the rows under a prefix at one revision."""
    store.reads += 1
    rows = [
        {"key": key, "revision": revision, "value": value}
        for key, (revision, value) in sorted(store.rows.items())
        if key.startswith(prefix)
    ]
    return {"revision": store.revision, "rows": rows}


def transact(store: Store, writes: list[dict[str, Any]]) -> bool:
    """Applies writes together, or none when a row has another revision than expected."""
    store.writes += 1
    for write in writes:
        expected = write.get("expected")
        if expected is not None and store.rows.get(write["key"], (0, None))[0] != expected:
            return False
    store.revision += 1
    for write in writes:
        if write["value"] is None:
            store.rows.pop(write["key"], None)
        else:
            store.rows[write["key"]] = (store.revision, write["value"])
    return True


class Rows:
    """Scans."""

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answers a scan."""
        await _misbehave(self.store)
        response.media = scan(self.store, request.get_param("prefix") or "")


class Transactions:
    """Conditional writes."""

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Applies a transaction."""
        await _misbehave(self.store)
        document = await request.get_media()
        if not transact(self.store, document["writes"]):
            raise falcon.HTTPConflict()
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            raise falcon.HTTPInternalServerError()
        response.media = {"revision": self.store.revision}


class Objects:
    """Objects by name."""

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, name: str
    ) -> None:
        """Reads an object."""
        await _misbehave(self.store)
        if name not in self.store.objects:
            raise falcon.HTTPNotFound()
        response.data = self.store.objects[name]

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, name: str
    ) -> None:
        """Writes an object."""
        await _misbehave(self.store)
        self.store.objects[name] = await request.stream.read()
        response.status = falcon.HTTP_204


class Knobs:
    """Faults and counts."""

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Sets `outage`, `delay` or `lose_answers`."""
        for name, value in (await request.get_media()).items():
            setattr(self.store, name, value)
        response.status = falcon.HTTP_204

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Tells how many reads and writes were served."""
        response.media = {"reads": self.store.reads, "writes": self.store.writes}


def build_app(store: Store) -> falcon.asgi.App:
    """Builds the stand-in's HTTP application."""
    app = falcon.asgi.App()
    app.add_route("/v1/rows", Rows(store=store))
    app.add_route("/v1/transactions", Transactions(store=store))
    app.add_route("/v1/objects/{name}", Objects(store=store))
    app.add_route("/knobs", Knobs(store=store))
    return app


async def _misbehave(store: Store) -> None:
    if store.delay:
        await asyncio.sleep(store.delay)
    if store.outage:
        raise falcon.HTTPServiceUnavailable()


def main() -> None:
    """Runs the stand-in until it is ended."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--port", type=int, required=True)
    port = parser.parse_args().port
    app = build_app(Store())
    uvicorn.run(app, host="127.0.0.1", port=port, log_level="warning", lifespan="off", ws="none")


if __name__ == "__main__":
    main()
