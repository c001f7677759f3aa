"""Odd entries among good ones: each reader skips them, and goes on following its list."""

import asyncio
import base64
import json
import socket
import threading
import time
import unittest

import uvicorn

from comfreysill.platform.pages import decode_page
from comfreysill.platform.store import await_changes, read_rows
from comfreysill.platform.table import open_store_from_url
from standins.platform_store import Store, apply_transaction, build_store_app

DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE_INTEGER = b"1" + b"0" * 400
# Texts of rows that no reader can use, in answers of the store.
ODD_ROWS = (
    b'{"key":"odd","ver":1,"x":' + DEEP + b"}",
    b'{"key":"odd","ver":1,"x":' + b'{"a":' * 50_000 + b"1" + b"}" * 50_000 + b"}",
    b'{"key":"odd","value":' + DEEP + b"}",
    b'{"key":"odd","ver":' + HUGE_INTEGER + b"}",
    b'{"key":"odd","ver":1e400}',
    b'{"key":"odd","ver":-1}',
    b'{"key":"odd","ver":"2"}',
    b'{"key":"odd","ver":NaN}',
    b'{"key":"odd","ver":18446744073709551616}',
    b'{"key":5,"value":"e30=","ver":2}',
    b'{"value":"e30=","ver":2}',
    b'{"key":null}',
    b'{"key":"odd","value":5}',
    b'{"key":"odd","value":{}}',
    b'{"key":"odd","value":"\xff\xfe"}',
    b'{"key":"odd","value":"\\ud800"}',
    b'{"key":"\\ud800"}',
    b'{"key":"odd","tombstone":"yes"}',
    b"null",
    b"[]",
    b'["key"]',
    b'"a,]}b"',
    b"1e400",
)
# Values that are none, of rows whose other fields are well formed.
ODD_VALUES = (b"null", b"5", b'"!!!"', '"é"'.encode(), b'""', b'"' + b"A" * 10_000_001 + b'"')


def encode_row(key, document, version):
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return json.dumps({"key": key, "value": value, "ver": version}).encode()


def encode_page(rows, end=b'"ver":9,"has-more":false'):
    return b'{"rows":[' + b",".join(rows) + b"]," + end + b"}"


class StoreServer:
    """Runs the stand-in for the platform's store on a free port in a thread of its own."""

    def __init__(self):
        self.store = Store()
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        self.listener = listener
        self.url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        app = build_store_app(self.store)
        config = uvicorn.Config(app, log_level="error", lifespan="off", ws="none")
        self.server = uvicorn.Server(config)
        self.thread = threading.Thread(
            target=self.server.run, kwargs={"sockets": [listener]}, daemon=True
        )

    def __enter__(self):
        self.thread.start()
        while not self.server.started:
            time.sleep(0.01)
        return self

    def __exit__(self, *details):
        self.server.should_exit = True
        self.thread.join()
        self.listener.close()

    def put(self, table, key, document):
        """Writes a row, as the store takes it."""
        text = document if isinstance(document, bytes) else json.dumps(document).encode()
        value = base64.b64encode(text).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        apply_transaction(self.store, {"put": [row]})


class TestPages(unittest.TestCase):
    # Guards against: one odd row makes the whole answer of the store unreadable, at each read.
    def test_an_odd_row_costs_no_other_row_of_the_page(self):
        good = [encode_row("a", {}, 1), encode_row("z", {}, 8)]
        for odd in ODD_ROWS:
            page = decode_page(encode_page([good[0], odd, good[1]])).unwrap_or(None)
            self.assertIsNotNone(page, odd[:60])
            self.assertEqual([row.key for row in page.rows], ["a", "z"], odd[:60])
            self.assertEqual((len(page.rejected), page.version, page.last_key), (1, 9, "z"))

    def test_many_odd_rows_in_one_page(self):
        good = [encode_row(f"k{number}", {}, 1) for number in range(20)]
        page = decode_page(encode_page([*good, *ODD_ROWS, *good])).ok_value
        self.assertEqual((len(page.rows), len(page.rejected)), (40, len(ODD_ROWS)))

    # Guards against: a row without a value counts as removed, and its agent's tasks as lost.
    def test_only_a_tombstone_removes_a_row(self):
        for odd in ODD_VALUES:
            row = b'{"key":"k","ver":3,"value":' + odd + b"}"
            page = decode_page(encode_page([row, b'{"key":"m","ver":4}'])).ok_value
            self.assertNotIn(None, [row.value for row in page.rows], odd[:20])
        removed = decode_page(encode_page([b'{"key":"k","ver":3,"tombstone":true}'])).ok_value
        self.assertEqual([row.value for row in removed.rows], [None])

    def test_the_version_is_that_of_the_newest_row_if_the_answer_has_an_odd_one(self):
        for odd in (b"-1", b"1e400", b'"9"', HUGE_INTEGER, b"null", DEEP):
            end = b'"has-more":null,"ver":' + odd
            page = decode_page(encode_page([encode_row("a", {}, 7)], end)).ok_value
            self.assertEqual((page.version, page.has_more), (7, False))

    def test_answers_that_are_none(self):
        for text in (b"", b"[]", b'{"rows":5}', b'{"rows":{}}', DEEP, b"\xff", b'{"rows":[', b"{"):
            self.assertTrue(decode_page(text).is_err(), text[:20])


class TestStoreReads(unittest.TestCase):
    def run_with_store(self, scenario):
        async def run(server):
            client = open_store_from_url(server.url)
            try:
                await asyncio.wait_for(scenario(client, server), 20)
            finally:
                await client.session.close()

        with StoreServer() as server:
            asyncio.run(run(server))

    # Guards against: one odd row stops every reader of its table.
    def test_good_rows_are_read_beside_odd_ones_each_time(self):
        async def scenario(client, server):
            server.put("t", "a", {})
            server.store.odd_rows["t"] = list(ODD_ROWS)
            for _ in range(3):
                answer = await read_rows(client, "t")
                self.assertEqual([row.key for row in answer.ok_value.rows], ["a"])
                changed = await await_changes(client, "t", 0, 1.0)
                self.assertEqual([row.key for row in changed.ok_value.rows], ["a"])
            # Each is counted and logged once, however often it comes back.
            self.assertEqual(client.rejections.total, len(ODD_ROWS))

        with self.assertLogs("comfreysill.platform.rejections") as logs:
            self.run_with_store(scenario)
        self.assertEqual(len(logs.output), len(ODD_ROWS))

    # Guards against: an answer that says for ever that there are more rows is read for ever.
    def test_paging_ends_if_it_does_not_go_on(self):
        async def scenario(client, server):
            server.put("t", "a", {})
            server.store.endless_pages = True
            server.store.odd_rows["t"] = [encode_row("a", {}, 1)]
            answer = await asyncio.wait_for(read_rows(client, "t"), 3)
            self.assertIn("a", [row.key for row in answer.ok_value.rows])
            self.assertFalse(answer.ok_value.complete)
            self.assertLess(client.calls, 5)

        self.run_with_store(scenario)
