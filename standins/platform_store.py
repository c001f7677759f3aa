"""Stand-in for the platform's store, by its published calls, with faults to order."""

import argparse
import asyncio
from typing import Any

import falcon
import falcon.asgi
import uvicorn

FEED_POLL_SECONDS = 0.01


class Store:
    """Rows in memory, with the history of changes.

    Attributes:
        rows: Value and version by (table, part, key).
        history: Changes as (version, row), oldest first.
        version: Raised by one with each transaction.
        forgotten: Version up to which the history is gone.
        refused: Callers' IP numbers that get status 503; `*` stands for all.
        delay: Seconds that each call waits.
        lose_answers: How many of the next writes take effect and answer with an error.
        outage: True while every call is refused.
        calls: How many calls were served.
    """

    __slots__ = (
        "rows",
        "history",
        "version",
        "forgotten",
        "refused",
        "outage",
        "delay",
        "lose_answers",
        "calls",
    )

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.version = 0
        self.forgotten = 0
        self.refused: set[str] = set()
        self.outage = False
        self.delay = 0.0
        self.lose_answers = 0
        self.calls = 0


def transact(store: Store, body: dict[str, Any]) -> bool:
    """Applies all entries of a transaction, or none."""
    for row in body.get("expected-rev", ()):
        known = store.rows.get(_name_row(row))
        if (known[1] if known else 0) != row["ver"]:
            return False
    store.version += 1
    for row in body.get("put", ()):
        store.rows[_name_row(row)] = (row["value"], store.version)
        store.history.append((store.version, {**row, "ver": store.version}))
    for row in body.get("remove", ()):
        if store.rows.pop(_name_row(row), None) is not None:
            gone = {**row, "ver": store.version, "tombstone": True}
            store.history.append((store.version, gone))
    return True


def _name_row(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


class Calls:
    """The store's calls."""

    __slots__ = ("store",)

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_post_tx(self, request: Any, response: Any) -> None:
        """Applies a transaction."""
        if not await self._admit(request, response):
            return
        applied = transact(self.store, await request.get_media())
        if applied and self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            response.status = falcon.HTTP_504
            return
        response.status = falcon.HTTP_200 if applied else "412 Precondition Failed"
        response.media = {"ver": self.store.version, "now-ms": 0}

    async def on_get_rows(self, request: Any, response: Any) -> None:
        """Reads rows of one table and part."""
        if not await self._admit(request, response):
            return
        table, part = request.get_param("table"), request.get_param("part") or ""
        start, end = request.get_param("from") or "", request.get_param("to")
        rows = [
            {"table": table, "part": part, "key": key, "value": value, "ver": version}
            for (row_table, row_part, key), (value, version) in sorted(self.store.rows.items())
            if (row_table, row_part) == (table, part)
            and key >= start
            and (end is None or key < end)
        ]
        response.media = {"rows": rows, "has-more": False, "ver": self.store.version}

    async def on_get_feed(self, request: Any, response: Any) -> None:
        """Waits for changes of a table."""
        if not await self._admit(request, response):
            return
        after = request.get_param_as_int("after")
        table = request.get_param("table")
        ends_at = asyncio.get_running_loop().time() + request.get_param_as_int("wait-ms") / 1000
        while True:
            if after < self.store.forgotten:
                response.status = falcon.HTTP_410
                return
            rows = [
                row
                for version, row in self.store.history
                if version > after and row["table"] == table
            ]
            if rows or asyncio.get_running_loop().time() >= ends_at:
                response.media = {"rows": rows, "ver": self.store.version}
                return
            await asyncio.sleep(FEED_POLL_SECONDS)

    async def _admit(self, request: Any, response: Any) -> bool:
        self.store.calls += 1
        await asyncio.sleep(self.store.delay)
        if self.store.outage or self.store.refused & {"*", request.remote_addr}:
            response.status = falcon.HTTP_503
            return False
        return True


class Knobs:
    """Orders for faults, and what was counted."""

    __slots__ = ("store",)

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_get(self, request: Any, response: Any) -> None:
        """Tells what was counted."""
        response.media = {"calls": self.store.calls, "version": self.store.version}

    async def on_post(self, request: Any, response: Any) -> None:
        """Sets faults by name."""
        knobs = await request.get_media()
        if "refused" in knobs:
            self.store.refused = set(knobs["refused"])
        if knobs.get("forget"):
            self.store.history.clear()
            self.store.forgotten = self.store.version
        self.store.outage = knobs.get("outage", self.store.outage)
        self.store.delay = knobs.get("delay", self.store.delay)
        self.store.lose_answers = knobs.get("lose_answers", self.store.lose_answers)
        response.media = {}


def build_store_app(store: Store) -> falcon.asgi.App:
    """Builds the HTTP application."""
    app = falcon.asgi.App()
    calls = Calls(store=store)
    app.add_route("/api/rows-tx", calls, suffix="tx")
    app.add_route("/api/rows-get", calls, suffix="rows")
    app.add_route("/api/rows-feed", calls, suffix="feed")
    app.add_route("/knobs", Knobs(store=store))
    return app


def main() -> None:
    """Serves the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    app = build_store_app(Store())
    uvicorn.run(app, host=options.host, port=options.port, log_level="warning")


if __name__ == "__main__":
    main()
