"""Stand-in for the platform's store that follows its published API, with fault injection."""

import argparse
import asyncio
import json
from typing import Any

import falcon
import falcon.asgi
import uvicorn

FEED_POLL_INTERVAL_SECONDS = 0.01


class Store:
    """Rows in memory, with the history of changes.

    Attributes:
        rows: Value and version by (table, part, key).
        history: Changes as (version, row), oldest first; the row of a removal has `tombstone`.
        version: Version of the last applied transaction, which increases by one with each; 0 before
            the first.
        compacted_version: Version up to which the history was discarded, 0 if it is complete.
        refused_ips: IP addresses of clients that get status 503; `*` stands for all.
        delay: Time in seconds by which each call is delayed.
        lose_answers: How many of the next transactions are applied but answered with status 504.
        outage: True while every call gets status 503.
        call_count: How many calls were received, including refused ones.
        odd_rows: JSON texts of rows that each answer about a table includes, by table. As if they
            changed all the time, the feed doesn't wait.
        endless_pages: True while each answer about rows says that there are more.
    """

    __slots__ = (
        "rows",
        "history",
        "version",
        "compacted_version",
        "refused_ips",
        "outage",
        "delay",
        "lose_answers",
        "call_count",
        "odd_rows",
        "endless_pages",
    )

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.version = 0
        self.compacted_version = 0
        self.refused_ips: set[str] = set()
        self.outage = False
        self.delay = 0.0
        self.lose_answers = 0
        self.call_count = 0
        self.odd_rows: dict[str, list[bytes]] = {}
        self.endless_pages = False


def apply_transaction(store: Store, body: dict[str, Any]) -> bool:
    """Applies a transaction, or nothing if a row doesn't have the expected version.

    The expected version 0 stands for a missing row.

    Returns:
        Whether the transaction was applied.
    """
    for row in body.get("expected-rev", ()):
        current = store.rows.get(_build_row_key(row))
        if (current[1] if current else 0) != row["ver"]:
            return False
    store.version += 1
    for row in body.get("put", ()):
        store.rows[_build_row_key(row)] = (row["value"], store.version)
        store.history.append((store.version, {**row, "ver": store.version}))
    for row in body.get("remove", ()):
        if store.rows.pop(_build_row_key(row), None) is not None:
            tombstone = {**row, "ver": store.version, "tombstone": True}
            store.history.append((store.version, tombstone))
    return True


def _build_row_key(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


def _encode_answer(store: Store, table: str, rows: list[dict[str, Any]]) -> bytes:
    texts = [json.dumps(row).encode() for row in rows] + store.odd_rows.get(table, [])
    end = json.dumps({"has-more": store.endless_pages, "ver": store.version}).encode()
    return b'{"rows":[' + b",".join(texts) + b"]," + end[1:]


class StoreResource:
    """HTTP endpoints of the store."""

    __slots__ = ("store",)

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_post_tx(self, request: Any, response: Any) -> None:
        """Applies a transaction."""
        if not await self._accept_call(request, response):
            return
        applied = apply_transaction(self.store, await request.get_media())
        if applied and self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            response.status = falcon.HTTP_504
            return
        response.status = falcon.HTTP_200 if applied else "412 Precondition Failed"
        response.media = {"ver": self.store.version, "now-ms": 0}

    async def on_get_rows(self, request: Any, response: Any) -> None:
        """Reads rows of one table and part."""
        if not await self._accept_call(request, response):
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
        response.content_type = falcon.MEDIA_JSON
        response.data = _encode_answer(self.store, table, rows)

    async def on_get_feed(self, request: Any, response: Any) -> None:
        """Waits up to `wait-ms` for changes of a table; status 410 if they were discarded."""
        if not await self._accept_call(request, response):
            return
        after = request.get_param_as_int("after")
        table = request.get_param("table")
        deadline = asyncio.get_running_loop().time() + request.get_param_as_int("wait-ms") / 1000
        while True:
            if after < self.store.compacted_version:
                response.status = falcon.HTTP_410
                return
            rows = [
                row
                for version, row in self.store.history
                if version > after and row["table"] == table
            ]
            waited = asyncio.get_running_loop().time() >= deadline
            if rows or waited or self.store.odd_rows.get(table):
                response.content_type = falcon.MEDIA_JSON
                response.data = _encode_answer(self.store, table, rows)
                return
            await asyncio.sleep(FEED_POLL_INTERVAL_SECONDS)

    async def _accept_call(self, request: Any, response: Any) -> bool:
        self.store.call_count += 1
        await asyncio.sleep(self.store.delay)
        if self.store.outage or self.store.refused_ips & {"*", request.remote_addr}:
            response.status = falcon.HTTP_503
            return False
        return True


class FaultResource:
    """HTTP endpoint of the fault injection options and counters."""

    __slots__ = ("store",)

    def __init__(self, *, store: Store) -> None:
        self.store = store

    async def on_get(self, request: Any, response: Any) -> None:
        """Returns the counters."""
        response.media = {"calls": self.store.call_count, "version": self.store.version}

    async def on_post(self, request: Any, response: Any) -> None:
        """Sets fault injection options by name."""
        faults = await request.get_media()
        if "refused" in faults:
            self.store.refused_ips = set(faults["refused"])
        if faults.get("forget"):
            self.store.history.clear()
            self.store.compacted_version = self.store.version
        self.store.outage = faults.get("outage", self.store.outage)
        self.store.delay = faults.get("delay", self.store.delay)
        self.store.lose_answers = faults.get("lose_answers", self.store.lose_answers)
        response.media = {}


def build_store_app(store: Store) -> falcon.asgi.App:
    """Builds the HTTP application."""
    app = falcon.asgi.App()
    resource = StoreResource(store=store)
    app.add_route("/api/rows-tx", resource, suffix="tx")
    app.add_route("/api/rows-get", resource, suffix="rows")
    app.add_route("/api/rows-feed", resource, suffix="feed")
    app.add_route("/knobs", FaultResource(store=store))
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
