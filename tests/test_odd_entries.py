"""Odd entries among good ones: each reader skips them, and goes on following its list."""

import asyncio
import base64
import functools
import json
import socket
import threading
import time
import unittest
import urllib.parse

import aiohttp
import falcon.testing
import uvicorn
import yaml

from comfreysill.address import Address, parse_address
from comfreysill.agent.actor import Actor as AgentActor
from comfreysill.agent.http import build_app as build_agent_app
from comfreysill.agent.program import run_agent
from comfreysill.dispatch.messages import AdoptFloorUpdate
from comfreysill.dispatch.state import Dispatcher
from comfreysill.entry.actor import Actor as EntryActor
from comfreysill.entry.actor import apply_effect
from comfreysill.entry.links import AgentLink, run_agent_link
from comfreysill.entry.messages import AgentFrameReceived
from comfreysill.entry.program import run_entry
from comfreysill.exchange.messages import Member, Role
from comfreysill.execution.calls import RenewCall, ReplyStatus
from comfreysill.execution.state import AgentState
from comfreysill.gateway.discovery import watch_crashes, watch_members, watch_routes
from comfreysill.gateway.messages import CrashesRead, MemberRemoved, MembersDiscovered, RoutesRead
from comfreysill.mailbox import Mailbox
from comfreysill.metrics import Metrics
from comfreysill.platform.crashes import decode_crashes
from comfreysill.platform.documents import decode_document
from comfreysill.platform.floors import FloorVersion, read_current, read_history, write_version
from comfreysill.platform.members import decode_members
from comfreysill.platform.pages import decode_page
from comfreysill.platform.registry import (
    is_registered,
    mark_ledger_lost,
    read_roster,
    register_agent,
)
from comfreysill.platform.rejections import Rejections
from comfreysill.platform.runner import REPLY_DECODER, build_renew_reply
from comfreysill.platform.runner_reports import decode_report
from comfreysill.platform.store import RowSet, StoredRow, StoreFault, await_changes, read_rows
from comfreysill.platform.table import open_store_from_url
from comfreysill.servers import start_grpc
from comfreysill.settings import Settings
from comfreysill.sidecar.actor import Actor as SidecarActor
from comfreysill.sidecar.actor import run_state_task
from comfreysill.sidecar.program import build_agent_reports_app
from comfreysill.target.ledger import Ledger
from comfreysill.target.messages import FloorUpdate
from comfreysill.target.view import Registration
from comfreysill.wire import comfreysill_pb2 as pb
from comfreysill.wire.agents import decode_agent_frame, decode_entry_frame
from comfreysill.wire.comfreysill_grpc import AgentBase
from comfreysill.wire.errors import FrameError
from comfreysill.wire.members import decode_members as decode_exchanged_members
from comfreysill.wire.members import encode_members
from comfreysill.wire.peers import decode_peer_frame
from standins.platform_store import Store, apply_transaction, build_store_app
from tests.test_floor import VALID_DOCUMENT
from tests.test_platform_decode import encode_configuration

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

# Documents that no reader of rows can use.
ODD_DOCUMENTS = (
    b"",
    b"\xff\xfe",
    b"null",
    b"5",
    b"[]",
    b"{}",
    b'"text"',
    b"NaN",
    HUGE_INTEGER,
    b"1e400",
    DEEP,
    b'{"role":' + DEEP + b"}",
    b'{"role":"agent","address":"h:1","x":' + DEEP + b"}",
    b'{"role":"agent","address":"\\ud800:1"}',
)
# Addresses that no socket connects to.
ODD_ADDRESSES = (
    "",
    ":",
    "h",
    "h:",
    ":80",
    "h:0",
    "h:00000",
    "h:65536",
    "h:99999999",
    "h:-1",
    "h:+1",
    "h: 80",
    "h:80 ",
    "h:80\n",
    "h:http",
    "h:8\u0660",
    "h:\u0661\u0662",
    "\u0661.0.0.1:80",
    "h\0:80",
    "h h:80",
    "[::1]:80",
    "::1:80",
    "\u00e9.example:80",
    ".h:80",
    "h..i:80",
    "x" * 64 + ":80",
    "http://h:80",
    "999.0.0.1:80",
    "1.2.3:80",
    "5:80",
    ".".join(["x" * 60] * 5) + ":80",
    5,
    None,
    ["h:80"],
    {"host": "h"},
    1e300,
)


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
        config = uvicorn.Config(app, log_level="critical", lifespan="off", ws="none")
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
        self.server.should_exit = self.server.force_exit = True
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

    # Guards against: a page is asked for again for ever, as the last of its rows is odd.
    def test_the_key_of_an_odd_row_is_where_the_next_page_begins(self):
        for odd, key in (
            (b'{"table":"t","key":"m","x":' + DEEP + b"}", "m"),
            (b'{"key":"m","ver":-1}', "m"),
            (b'{"x":' + DEEP + b',"key":"m"}', "a"),
            (b'{"key":"\\ud800"}', "a"),
            (b"null", "a"),
        ):
            page = decode_page(encode_page([encode_row("a", {}, 1), odd])).ok_value
            self.assertEqual(page.last_key, key, odd[:30])

    # Guards against: splitting a page that one odd row spoils holds up everything else.
    def test_a_page_of_the_largest_size_is_split_at_once(self):
        filled = b'{"key":"odd","ver":"x","value":"' + b"A" * 900_000 + b'"}'
        commas = b'{"key":"odd","ver":"x","x":[' + b"1," * 450_000 + b"1]}"
        for odd in (filled, commas, b'{"key":"odd","x":' + b"[" * 450_000 + b"]" * 450_000 + b"}"):
            started_at = time.process_time()
            self.assertEqual(len(decode_page(encode_page([odd])).ok_value.rejected), 1)
            self.assertLess(time.process_time() - started_at, 0.2)

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


class TestAddresses(unittest.TestCase):
    # Guards against: a port out of range, or a host that is none, ends the task that connects.
    def test_addresses_that_no_socket_takes_are_none(self):
        for text in ODD_ADDRESSES:
            if isinstance(text, str):
                with self.assertRaises(ValueError, msg=text):
                    parse_address(text)
        for text in ("10.0.0.1:80", "h:1", "a-b.example:65535", "1a.example:80"):
            self.assertEqual(str(parse_address(text)), text)


class TestMembers(unittest.TestCase):
    # Guards against: a member with an odd name makes the list of an entry unreadable to the others.
    def test_an_odd_member_costs_no_other_one_of_an_exchange(self):
        good = Member(name="a", role=Role.AGENT, address="10.0.0.1:80")
        odd = [Member(name=name, role=Role.AGENT, address="h:1") for name in ("", "n" * 201)]
        odd += [
            Member(name="b", role=Role.ENTRY, address=address)
            for address in ODD_ADDRESSES
            if isinstance(address, str)
        ]
        members, problems = decode_exchanged_members(encode_members([*odd, good]))
        self.assertEqual([member.name for member in members], ["a"])
        self.assertEqual(len(problems), len(odd))

    def test_rows_whose_names_other_entries_refuse_are_skipped(self):
        value = b'{"role":"agent","address":"h:1"}'
        rows = [StoredRow(key=key, value=value, version=1) for key in ("", "n" * 201)]
        found = decode_members(RowSet(rows=rows, version=1))
        self.assertEqual((found.members, found.unreadable), ([], 2))

    # Guards against: a row with more tasks than any writer stores keeps an entry busy.
    def test_crashes_with_too_many_tasks_are_skipped(self):
        value = json.dumps({"tasks": ["r/0/1"] * 300_000}).encode()
        found = decode_crashes(
            RowSet(rows=[StoredRow(key="a/1", value=value, version=1)], version=1)
        )
        self.assertEqual((found.reports, found.unreadable), ([], 1))


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


class TestWatches(unittest.TestCase):
    """The asyncio tasks that follow tables, with odd rows that come back at each read."""

    def run_watches(self, scenario):
        async def run(server):
            client = open_store_from_url(server.url)
            inbox = Mailbox()
            own = Member(name="e", role=Role.ENTRY, address="10.0.0.9:1")
            answers = asyncio.Event()
            tasks = [
                asyncio.create_task(watch)
                for watch in (
                    watch_members(client, inbox, answers, own, lambda: []),
                    watch_routes(client, inbox, answers),
                    watch_crashes(client, inbox, answers),
                )
            ]
            try:
                await asyncio.wait_for(scenario(server, client, inbox), 30)
                self.assertEqual([task for task in tasks if task.done()], [])
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                await client.session.close()

        with StoreServer() as server:
            asyncio.run(run(server))

    async def wait_for(self, inbox, seen, is_enough):
        """Collects messages until they are enough."""
        async with asyncio.timeout(5):
            while not is_enough(seen):
                seen += await inbox.get_batch()

    def put_odd_values(self, server):
        for number, text in enumerate(ODD_DOCUMENTS):
            for table in ("members", "crashes"):
                server.put(table, f"odd{number}", text)
        for number, address in enumerate(ODD_ADDRESSES):
            server.put("members", f"far{number}", {"role": "agent", "address": address})

    # Guards against: odd rows end the tasks that follow the tables, or they follow no longer.
    def test_tables_are_followed_past_odd_rows(self):
        async def scenario(server, client, inbox):
            seen = []
            server.put("members", "a", {"role": "agent", "address": "10.0.0.1:80"})
            server.put("op", "config", encode_configuration(3))
            self.put_odd_values(server)
            await self.wait_for(inbox, seen, lambda seen: {"a"} <= find_names(seen))
            await self.wait_for(inbox, seen, lambda seen: 3 in find_versions(seen))
            for number in range(1, 4):
                self.put_odd_values(server)
                for text in ODD_DOCUMENTS:
                    server.put("op", "config", text)
                name = f"b{number}"
                server.put("members", name, {"role": "agent", "address": f"10.0.0.2:{number}"})
                server.put("crashes", name, {"tasks": ["r/0/1"]})
                server.put("op", "config", encode_configuration(3 + number))
                await self.wait_for(inbox, seen, functools.partial(has_all, name, 3 + number))
            self.assertEqual(find_names(seen), {"a", "b1", "b2", "b3"})
            self.assertEqual([message for message in seen if type(message) is MemberRemoved], [])

        self.run_watches(scenario)

    # Guards against: a row that comes back at each read costs calls and log lines for ever.
    def test_rows_that_come_back_at_each_read_cost_few_calls(self):
        async def scenario(server, client, inbox):
            server.put("members", "a", {"role": "agent", "address": "10.0.0.1:80"})
            server.put("op", "config", encode_configuration(3))
            odd_value = encode_row("odd", {"role": 5}, 1)
            for table in ("members", "op", "crashes"):
                server.store.odd_rows[table] = [*ODD_ROWS, odd_value]
            await asyncio.sleep(2.0)
            rejected, calls = client.rejections.total, client.calls
            # Three watches, each at most four times a second.
            self.assertLess(calls, 3 * (1 + 2.0 / 0.25) + 3)
            seen = []
            server.put("members", "b", {"role": "agent", "address": "10.0.0.2:80"})
            server.put("op", "config", encode_configuration(4))
            await self.wait_for(inbox, seen, lambda seen: {"a", "b"} <= find_names(seen))
            await self.wait_for(inbox, seen, lambda seen: 4 in find_versions(seen))
            self.assertEqual(client.rejections.total, rejected)
            # The documents of the two tables of which each row is decoded.
            self.assertEqual(rejected, 3 * len(ODD_ROWS) + 2)

        with self.assertLogs("comfreysill", "WARNING") as logs:
            self.run_watches(scenario)
        self.assertLessEqual(len(logs.output), 3 * len(ODD_ROWS) + 2)

    # Guards against: an empty store, or answers without a version, are read in a busy loop.
    def test_an_empty_store_is_read_a_few_times_a_second(self):
        async def scenario(server, client, inbox):
            await asyncio.sleep(1.0)
            self.assertLess(client.calls, 3 * (1 + 1.0 / 0.25) + 3)

        self.run_watches(scenario)


def build_agent_document(name="a", **changes):
    return {
        "agent": name,
        "incarnation": f"{name}@1",
        "host": "127.0.0.1",
        "port": 9,
        "zone": "z",
        "services": ["s"],
        "lost_at": 0.0,
        "left": False,
        **changes,
    }


def build_version(number, **changes):
    return {
        "version": number,
        "change_id": f"change-{number}",
        "author": "x",
        "changed_at": 1.0,
        "document": yaml.safe_load(VALID_DOCUMENT),
        **changes,
    }


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def build_settings(role, name, url):
    return Settings(
        role=role,
        name=name,
        zone="z",
        http=Address(host="127.0.0.1", port=find_port()),
        grpc=Address(host="127.0.0.1", port=find_port()),
        table=url,
        log_format="text",
        log_level="warning",
        shutdown_seconds=0.1,
        placement="finish",
    )


# Fields of an agent's registration that no entry can use.
ODD_AGENT_FIELDS = (
    {"port": 0},
    {"port": 65536},
    {"port": 99999999},
    {"port": -1},
    {"port": "80"},
    {"port": 10**400},
    {"port": None},
    {"host": ""},
    {"host": "::1"},
    {"host": "h\0"},
    {"host": "999.1.1.1"},
    {"host": 5},
    {"services": "s"},
    {"services": [5]},
    {"services": {"s": 1}},
    {"services": None},
    {"lost_at": -1},
    {"lost_at": 1e308},
    {"lost_at": 10**400},
    {"lost_at": "0"},
    {"left": 1},
    {"left": None},
    {"incarnation": 5},
    {"agent": "another"},
    {"agent": ["a"]},
)


class TestJobApiRegistry(unittest.TestCase):
    """Readers of the first design's table."""

    run_with_store = TestStoreReads.run_with_store

    def put_odd_members(self, server):
        for kind in ("agent", "entry"):
            for number, text in enumerate(ODD_DOCUMENTS):
                server.put("comfreysill", f"member/{kind}/odd{number}", text)
        for number, changes in enumerate(ODD_AGENT_FIELDS):
            document = build_agent_document(f"far{number}") | changes
            server.put("comfreysill", f"member/agent/far{number}", document)
            document = {"name": f"far{number}", "host": "127.0.0.1", "port": 9, "zone": "z"}
            if changes.keys() & document.keys():
                server.put("comfreysill", f"member/entry/far{number}", document | changes)

    # Guards against: one odd registration ends every entry, each time that it is started.
    def test_a_roster_is_read_beside_odd_registrations(self):
        async def scenario(client, server):
            good = build_agent_document(lost_at=5.0)
            server.put("comfreysill", "member/agent/a", good)
            server.put("comfreysill", "member/other/a", b"5")
            self.put_odd_members(server)
            server.store.odd_rows["comfreysill"] = list(ODD_ROWS)
            rejected = 0
            for _ in range(3):
                roster = (await read_roster(client)).ok_value
                self.assertEqual([agent.agent for agent in roster.agents], ["a"])
                self.assertEqual((roster.entries, roster.lost_at), ((), 5.0))
                self.assertIn("member/agent/far0", roster.unreadable)
                rejected = rejected or client.rejections.total
            self.assertEqual(client.rejections.total, rejected)

        self.run_with_store(scenario)

    # Guards against: a roster that isn't complete takes agents as removed.
    def test_an_incomplete_roster_is_none(self):
        async def scenario(client, server):
            server.put("comfreysill", "member/agent/a", build_agent_document())
            server.store.endless_pages = True
            self.assertTrue((await read_roster(client)).is_err())

        self.run_with_store(scenario)

    # Guards against: an agent whose own row was overwritten by an odd one ends at each start.
    def test_an_agent_registers_over_an_odd_row(self):
        async def scenario(client, server):
            registration = Registration(
                agent="a",
                incarnation="a@2",
                host="127.0.0.1",
                port=9,
                zone="z",
                services=frozenset(["s"]),
                revision=0,
            )
            for text in ODD_DOCUMENTS:
                server.put("comfreysill", "member/agent/a", text)
                known = await is_registered(client, "a", "a@2")
                self.assertEqual(known.err_value.fault, StoreFault.UNREADABLE)
                lost_at = await register_agent(client, registration, 7.0)
                self.assertEqual(lost_at.ok_value, 7.0)
                self.assertTrue((await is_registered(client, "a", "a@2")).ok_value)
            server.put("comfreysill", "member/agent/a", b"5")
            self.assertTrue((await mark_ledger_lost(client, "a", "a@2", 9.0)).is_ok())
            roster = (await read_roster(client)).ok_value
            self.assertEqual((roster.agents, roster.lost_at), ((), 9.0))

        self.run_with_store(scenario)

    # Guards against: an odd floor document ends every entry, and no other can be applied.
    def test_floor_versions_beside_odd_ones(self):
        async def scenario(client, server):
            server.put("comfreysill", "floor/history/0000000001", build_version(1))
            for number, text in enumerate(ODD_DOCUMENTS):
                server.put("comfreysill", "floor/current", text)
                server.put("comfreysill", f"floor/history/odd{number}", text)
                self.assertIsNone((await read_current(client)).ok_value)
                history = (await read_history(client)).ok_value
                self.assertEqual([version.version for version in history], [1])
            change = FloorVersion(
                version=0, change_id="change-9", author="x", changed_at=1.0, document={}
            )
            self.assertEqual((await write_version(client, 1, change)).ok_value.version, 2)
            self.assertEqual((await read_current(client)).ok_value.version, 2)

        self.run_with_store(scenario)


class TestJobApiProcesses(unittest.TestCase):
    """A whole entry and a whole agent of the job API, with odd rows that come back."""

    async def read_metric(self, settings, name):
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{settings.http}/metrics") as response,
        ):
            text = await response.text()
        for line in text.splitlines():
            if f'"{name}"' in line:
                return float(line.rpartition(" ")[2])
        return None

    # Guards against: odd rows end entries and agents, or they follow the roster no longer.
    def test_entries_and_agents_go_on_beside_odd_rows(self):
        async def run(server):
            stop = asyncio.Event()
            entry = build_settings("entry", "e", server.url)
            agent = build_settings("agent", "x", server.url)
            server.put("comfreysill", "member/agent/a", build_agent_document())
            server.put("comfreysill", "floor/current", build_version(1))
            tasks = [
                asyncio.create_task(run_entry(entry, stop)),
                asyncio.create_task(run_agent(agent, stop)),
            ]
            await self.announce(agent)
            await self.wait_for(entry, "targets", 2)
            await self.wait_for(entry, "floor_version", 1)
            server.store.odd_rows["comfreysill"] = list(ODD_ROWS)
            for round_number in (2, 3):
                TestJobApiRegistry.put_odd_members(self, server)
                # The row of an agent that the entry knows, and that of an agent that runs.
                server.put("comfreysill", "member/agent/a", b"[]")
                server.put("comfreysill", "member/agent/x", b"[]")
                for text in ODD_DOCUMENTS:
                    server.put("comfreysill", "floor/current", text)
                odd_floor = build_version(9, document={"teams": 5})
                server.put("comfreysill", "floor/current", odd_floor)
                await asyncio.sleep(2.5)
                self.assertEqual(await self.read_metric(entry, "targets"), round_number)
                name = f"b{round_number}"
                server.put("comfreysill", f"member/agent/{name}", build_agent_document(name))
                server.put("comfreysill", "floor/current", build_version(round_number))
                await self.wait_for(entry, "targets", round_number + 1)
                await self.wait_for(entry, "floor_version", round_number)
            self.assertGreater(await self.read_metric(entry, "entries_rejected"), 20)
            self.assertEqual([task for task in tasks if task.done()], [])
            stop.set()
            await asyncio.wait_for(asyncio.gather(*tasks), 10)

        with StoreServer() as server:
            asyncio.run(asyncio.wait_for(run(server), 40))

    async def announce(self, agent):
        document = {"host": "127.0.0.1", "port": 9, "slots": 4, "services": ["s"]}
        async with aiohttp.ClientSession() as session:
            for _ in range(50):
                await asyncio.sleep(0.05)
                try:
                    await session.put(f"http://{agent.http}/v1/runner", json=document)
                    return
                except OSError:
                    continue

    async def wait_for(self, settings, name, value):
        async with asyncio.timeout(8):
            while await self.read_metric(settings, name) != value:
                await asyncio.sleep(0.05)


REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 0},
    "labels": ["a"],
    "clock-ms": 482113,
    "seq": 4,
    "born": 1_700_000_000_000,
}
OPTIONAL_REPORT_FIELDS = {"remaining-ms": 1500, "machine": "m-1"}
# Changes of a report that make it another writer's.
ODD_REPORT_FIELDS = (
    *({"address": address} for address in ODD_ADDRESSES),
    *(
        {field: value}
        for field, values in (
            ("service", ("another", "", None, 5, ["s"])),
            ("state", ("resting", "", None, 5, ["ready"])),
            ("zone", (None, 5)),
            ("version", (None, 5, ["v"])),
            ("slots", (None, "8", -1, 1.5, 10**400, [])),
            ("cold-left-ms", (None, "0", -1, 10**400)),
            ("clock-ms", (None, "0", -1, 1e308, 10**400, [])),
            ("seq", (None, "5", -1, 1.5, 2**31, 2**53, 2**63, 10**400)),
            ("born", ("0", -1, 1.5, 2**52, 2**63, 1e308, 10**400, [], None)),
            ("capacity", (None, [], 5, {}, {"cpu": 1}, {"cpu": "x", "mem-mb": 1})),
            ("capacity", ({"cpu": -1, "mem-mb": 1}, {"cpu": 10**400, "mem-mb": 1})),
            ("capacity", ({"cpu": 1, "mem-mb": 1}, {"cpu": 1, "mem-mb": 1, "gpus": None})),
            ("labels", (None, "a", [5], ["a"] * 101, {"a": 1})),
            ("remaining-ms", (None, "0", -1, 10**400, [])),
            ("machine", (None, 5, ["m"])),
        )
        for value in values
    ),
)
ODD_IDS = ("", "a b", "a%0Ab", "a%0D%0AX-Y: z", "%00", "a%2Fb/c", "%C3%A9", "n" * 201)


class TestReports(unittest.TestCase):
    """Reports of another writer, at the endpoint of an agent whose runner is in use."""

    async def call(self, app, path, body):
        sent = []

        async def receive():
            return {"body": body}

        async def send(message):
            sent.append(message)

        scope = {"type": "http", "method": "POST", "path": urllib.parse.unquote(path)}
        await app(scope, receive, send)
        await asyncio.sleep(0)
        return sent[0]["status"]

    def run_with_agent(self, scenario):
        async def run():
            state = AgentState(agent="a", lifetime="1", zone="z", token=1)
            actor = SidecarActor(agent=state, submit_call=lambda call: None)
            rejections = Rejections()
            app = build_agent_reports_app(actor, "s", rejections)
            task = asyncio.create_task(run_state_task(actor))
            body = json.dumps(REPORT).encode()
            status = await self.call(app, "/api/instances/i-1/heartbeat", body)
            await asyncio.sleep(0.01)
            self.assertEqual((status, state.runner_lifetime.runner_id), (200, "i-1"))
            in_use = state.runner_lifetime
            await scenario(app, state, rejections)
            await asyncio.sleep(0.01)
            self.assertIs(state.runner_lifetime, in_use)
            self.assertFalse(task.done())
            later = json.dumps({**REPORT, "seq": 5, "state": "draining"}).encode()
            await self.call(app, "/api/instances/i-1/heartbeat", later)
            await asyncio.sleep(0.01)
            self.assertEqual((state.report.sequence, state.report.draining), (5, True))
            task.cancel()

        asyncio.run(run())

    # Guards against: a report of another writer takes the place of the runner in use, or outdates
    # all later reports of it.
    def test_odd_reports_leave_the_runner_in_use(self):
        async def scenario(app, state, rejections):
            for changes in ODD_REPORT_FIELDS:
                # A later lifetime, as far as the report can be trusted.
                for runner_id, born in (("i-1", 0), ("i-2", 1_000), ("i-1", 1_000)):
                    document = {**REPORT, "born": REPORT["born"] + born, **changes}
                    path = f"/api/instances/{runner_id}/heartbeat"
                    status = await self.call(app, path, json.dumps(document).encode())
                    self.assertEqual(status, 400, changes)
            for _ in range(3):
                for text in ODD_DOCUMENTS:
                    self.assertEqual(
                        await self.call(app, "/api/instances/i-2/heartbeat", text), 400
                    )

        self.run_with_agent(scenario)

    # Guards against: a report of another writer, which lacks a field, ends the runs of the runner
    # in use, or puts it out of use.
    def test_a_report_that_lacks_a_field_is_another_writers(self):
        async def scenario(app, state, rejections):
            for field in REPORT:
                for runner_id, born, sequence in (
                    ("i-2", 1_000, 1),
                    ("i-1", 1_000, 1),
                    ("i-1", 0, 1_000_000),
                ):
                    document = {**REPORT, "born": REPORT["born"] + born, "seq": sequence}
                    del document[field]
                    path = f"/api/instances/{runner_id}/heartbeat"
                    status = await self.call(app, path, json.dumps(document).encode())
                    self.assertEqual(status, 400, field)

        self.run_with_agent(scenario)

    # Guards against: a runner that reports a field only at times isn't taken for itself.
    def test_optional_fields_may_be_there_or_not(self):
        for fields in ({}, OPTIONAL_REPORT_FIELDS, {"unknown": [1]}):
            body = json.dumps({**REPORT, **fields}).encode()
            self.assertTrue(decode_report("i-1", body).is_ok(), fields)

    # Guards against: each call names a runner that no header can name, and all calls fail.
    def test_odd_ids_name_no_runner(self):
        async def scenario(app, state, rejections):
            for runner_id in ODD_IDS:
                document = {**REPORT, "born": REPORT["born"] + 1_000}
                path = f"/api/instances/{runner_id}/heartbeat"
                status = await self.call(app, path, json.dumps(document).encode())
                self.assertEqual(status, 400, runner_id)
                path = f"/api/instances/{runner_id}/deregister"
                self.assertEqual(await self.call(app, path, b""), 400, runner_id)
            for path in ("", "/heartbeats", "/i-1", "/i-1/other"):
                self.assertEqual(await self.call(app, f"/api/instances{path}", b""), 404, path)

        self.run_with_agent(scenario)

    # Guards against: the same report of another writer is logged each time that it comes.
    def test_a_report_that_comes_again_is_logged_once(self):
        async def scenario(app, state, rejections):
            body = json.dumps({**REPORT, "service": 5}).encode()
            for _ in range(50):
                await self.call(app, "/api/instances/i-2/heartbeat", body)
            self.assertEqual(rejections.total, 1)

        self.run_with_agent(scenario)


REPLY = {"clock-ms": b"482113", "born": b"17", "running": b"[]", "ended": b"[]"}


class TestReplies(unittest.TestCase):
    # Guards against: a number that is too large ends the agent, or outdates all later ends of runs.
    def test_numbers_out_of_range_make_a_reply_unreadable(self):
        for field, text in (
            ("clock-ms", HUGE_INTEGER),
            ("clock-ms", b"1e308"),
            ("clock-ms", b"1e400"),
            ("clock-ms", b"-1"),
            ("running", b'[["r.0.0.0",' + HUGE_INTEGER + b"]]"),
            ("running", b'[["r.0.0.0",1e308]]'),
            ("running", b'[["r.0.0.0",-1]]'),
            ("running", b'[["r.0.0.0",1,"","nan"]]'),
            ("running", b'[["r.0.0.0",1,"","inf"]]'),
            ("ended", b"[[" + HUGE_INTEGER + b',"r.0.0.0",1,"done"]]'),
            ("ended", b'[[9007199254740993,"r.0.0.0",1,"done"]]'),
            ("ended", b'[[1,"r.0.0.0",' + b"9" * 5000 + b',"done"]]'),
            ("ended", DEEP),
        ):
            self.assertTrue(self.decode({**REPLY, field: text}).is_err(), text[:40])

    # Guards against: a reply without the lists, or of an unknown lifetime, ends the runs of the
    # runner in use.
    def test_a_list_of_runs_that_lacks_a_field_is_unreadable(self):
        self.assertTrue(self.decode(REPLY).is_ok())
        for field in REPLY:
            rest = {key: text for key, text in REPLY.items() if key != field}
            self.assertTrue(self.decode(rest).is_err(), field)

    def decode(self, fields):
        """Decodes a reply to a renewal from the texts of its fields."""
        call = RenewCall(
            lifetime=None, token=1, ended_seen=0, lease_until_ms=0, wait_ms=0, sent_at=0.0
        )
        members = [f'"{field}":'.encode() + text for field, text in fields.items()]
        return decode_document(REPLY_DECODER, b"{" + b",".join(members) + b"}").and_then(
            lambda document: build_renew_reply(call, ReplyStatus.ACCEPTED, document)
        )


ODD_NUMBERS = (float("inf"), float("-inf"), float("nan"))
ODD_AGENT_MESSAGES = (
    pb.AgentMessage(done=pb.TaskDone(team="t", job_id="j", outcome=99)),
    *(pb.AgentMessage(done=pb.TaskDone(run_seconds=number)) for number in ODD_NUMBERS),
    pb.AgentMessage(refused=pb.Refused(cause=99)),
    pb.AgentMessage(fenced=pb.PartitionClaim(partition=64)),
    pb.AgentMessage(claimed=pb.Claimed(claims=[pb.PartitionClaim(partition=2**32 - 1)])),
    pb.AgentMessage(claimed=pb.Claimed(records=[pb.LedgerRecord(outcome=99)])),
    *(pb.AgentMessage(claimed=pb.Claimed(lost_at=number)) for number in ODD_NUMBERS),
    pb.AgentMessage(),
)
ODD_ENTRY_MESSAGES = (
    pb.EntryMessage(start=pb.StartBatch(task_class=99)),
    pb.EntryMessage(start=pb.StartBatch(claim=pb.PartitionClaim(partition=64))),
    *(pb.EntryMessage(start=pb.StartBatch(deadline=number)) for number in ODD_NUMBERS),
    *(pb.EntryMessage(start=pb.StartBatch(authority_until=number)) for number in ODD_NUMBERS),
    *(
        pb.EntryMessage(start=pb.StartBatch(tasks=[pb.TaskStart(run_time=number)]))
        for number in ODD_NUMBERS
    ),
    pb.EntryMessage(),
)
ODD_PEER_MESSAGES = (
    pb.PeerMessage(forward=pb.Submission(task_class=99)),
    *(pb.PeerMessage(forward=pb.Submission(issued_at=number)) for number in ODD_NUMBERS),
    pb.PeerMessage(answered=pb.Answer(verdict=99)),
    pb.PeerMessage(answered=pb.Answer(reason=99)),
    pb.PeerMessage(wave=pb.CancelWave(task_class=99)),
    pb.PeerMessage(handover=pb.Handover(claim=pb.PartitionClaim(partition=64))),
    pb.PeerMessage(
        handover=pb.Handover(jobs=[pb.HandedJob(tasks=[pb.HandedTask(outcome=99)])]),
    ),
    pb.PeerMessage(),
)


class OddAgentService(AgentBase):
    """Sends an odd frame in the first session, and a good one in all others."""

    def __init__(self):
        self.sessions = 0

    async def Work(self, stream):  # noqa: N802
        self.sessions += 1
        messages = [ODD_AGENT_MESSAGES[0]] if self.sessions == 1 else []
        frame = pb.AgentFrame(agent="a", incarnation="a@1", session=1, sequence=1)
        frame.messages.extend(messages)
        await stream.send_message(frame)
        await asyncio.sleep(10)


class TestJobApiFrames(unittest.TestCase):
    # Guards against: a frame with an unknown value ends the task that reads it, not the link alone.
    def test_odd_frames_are_frame_errors(self):
        for frame_type, decode, messages in (
            (pb.AgentFrame, decode_agent_frame, ODD_AGENT_MESSAGES),
            (pb.EntryFrame, decode_entry_frame, ODD_ENTRY_MESSAGES),
            (pb.PeerFrame, decode_peer_frame, ODD_PEER_MESSAGES),
        ):
            for message in messages:
                with self.assertRaises(FrameError, msg=str(message)):
                    decode(frame_type(messages=[message]))

    # Guards against: an entry never connects again to an agent that sent it one odd frame.
    def test_a_link_is_opened_again_after_an_odd_frame(self):
        async def run():
            service = OddAgentService()
            address = Address(host="127.0.0.1", port=find_port())
            server = await start_grpc([service], address)
            inbox = Mailbox()
            link = AgentLink(agent="a", address=address, inbox=inbox)
            task = asyncio.create_task(run_agent_link(link))
            seen = []
            async with asyncio.timeout(5):
                while not any(isinstance(message, AgentFrameReceived) for message in seen):
                    seen += await inbox.get_batch()
            self.assertEqual((service.sessions, task.done()), (2, False))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            server.close()

        asyncio.run(run())

    # Guards against: a floor document of another entry that can't be used ends this one.
    def test_odd_floors_of_other_entries_leave_the_one_in_force(self):
        for text in (*ODD_DOCUMENTS, b'{"teams":5}', VALID_DOCUMENT.encode()):
            actor = EntryActor(dispatcher=Dispatcher(name="e@1"), request_roster=lambda: None)
            update = FloorUpdate(version=7, document=text)
            apply_effect(actor, AdoptFloorUpdate(update=update))
            self.assertEqual(actor.dispatcher.floor.version, 0, text[:30])
            self.assertEqual(actor.rejections.total, 1)
        good = json.dumps(yaml.safe_load(VALID_DOCUMENT)).encode()
        apply_effect(actor, AdoptFloorUpdate(update=FloorUpdate(version=8, document=good)))
        self.assertEqual(actor.dispatcher.floor.version, 8)


class TestAnnouncements(unittest.TestCase):
    """Announcements of the runner beside an agent of the job API."""

    def setUp(self):
        ledger = Ledger(agent="a", incarnation="a@1")
        self.actor = AgentActor(ledger=ledger, start_run=lambda runner, record: None)
        self.client = falcon.testing.TestClient(build_agent_app(self.actor, Metrics(role="agent")))

    def announce(self, body, media_type="application/json; charset=utf-8"):
        headers = {"Content-Type": media_type}
        return self.client.simulate_put("/v1/runner", body=body, headers=headers).status_code

    # Guards against: an odd announcement is taken, and its agent ends or its tasks are lost.
    def test_odd_announcements_are_refused(self):
        good = {"host": "127.0.0.1", "port": 80, "slots": 4, "services": ["s"]}
        odd = [
            {**good, field: value}
            for field, values in (
                ("host", ("\u0661.0.0.1", "999.0.0.1", "127.0.0.1\n", "", 5, None, "::1")),
                ("port", (0, 65536, 99999999, -1, "80", 10**400, 80.5, None)),
                ("slots", (0, -1, 1.5, 10**400, "4")),
                ("connections", (0, 65536, 1e308)),
                ("services", ([], "s", [5], [""], [None], {"s": 1})),
            )
            for value in values
        ]
        for document in odd:
            self.assertEqual(self.announce(json.dumps(document)), 422, document)
        surrogate = json.dumps({**good, "services": ["\ud800"]})
        for body in (*ODD_DOCUMENTS, surrogate):
            self.assertIn(self.announce(body), (400, 422), body[:30])
        self.assertEqual(self.announce(json.dumps(good), media_type="text/plain"), 415)
        self.assertTrue(self.actor.inbox.is_empty())
        self.assertEqual(self.announce(json.dumps({**good, "port": 80.0, "slots": 4.0})), 204)
        announced = asyncio.run(self.actor.inbox.get_batch())[0]
        self.assertEqual((repr(announced.port), repr(announced.slots)), ("80", "4"))


def has_all(name, version, seen):
    """Returns whether messages include a member, its crash and a version of the configuration."""
    return (
        name in find_names(seen) and name in find_crashes(seen) and version in find_versions(seen)
    )


def find_names(seen):
    """Returns the names of the members in messages."""
    found = [message.members for message in seen if isinstance(message, MembersDiscovered)]
    return {member.name for members in found for member in members}


def find_versions(seen):
    """Returns the versions of the configurations in messages."""
    return {message.table.version for message in seen if isinstance(message, RoutesRead)}


def find_crashes(seen):
    """Returns the ids of the crashes in messages."""
    found = [message.reports for message in seen if isinstance(message, CrashesRead)]
    return {report.crash_id for reports in found for report in reports}
