"""Malformed and hostile input at each way in, against the real decoders and decisions.

Whatever comes in is rejected with a declared error, or the decisions can work with it: no exception
leaves them, and what they send can be encoded again. CI plays the same examples in each run.
`make fuzz` plays more of them, with a seed that is printed.
"""

import asyncio
import itertools
import json
import math
import os
import pathlib
import tempfile
import unittest
from unittest import mock

import falcon.testing
import yaml
from google.protobuf.message import DecodeError
from hypothesis import strategies as st
from result import Err, Ok

from comfreysill.address import parse_address
from comfreysill.agent.actor import Actor as AgentActor
from comfreysill.agent.http import build_app as build_agent_app
from comfreysill.entry.floors import build_checked_floor
from comfreysill.exceptions import UsageError
from comfreysill.execution.calls import RenewCall, ReplyStatus, RunnerLifetime
from comfreysill.execution.frame_handling import expire_links, receive_frame
from comfreysill.execution.frames import collect_frames as collect_agent_frames
from comfreysill.execution.renewals import queue_renewal, receive_renewal
from comfreysill.execution.runner import receive_report
from comfreysill.execution.starts import resend_stops, start_waiting
from comfreysill.execution.state import AgentState
from comfreysill.metrics import Metrics
from comfreysill.placement.agents import (
    begin_session,
    collect_frames,
    discover_agent,
    expire_agents,
    receive_agent_frame,
)
from comfreysill.placement.cancelling import (
    CONFIRMATION_SECONDS,
    begin_cancellation,
    expire_cancellings,
)
from comfreysill.placement.closures import read_zones
from comfreysill.placement.crashes import receive_crash
from comfreysill.placement.effects import SendClaimReplies, SendClaims, SendFrame
from comfreysill.placement.peer_links import (
    begin_peer_session,
    collect_claims,
    expire_replies,
    receive_replies,
    update_peers,
)
from comfreysill.placement.placement import place_waiting, refuse_unmeetable
from comfreysill.placement.registrar import receive_claims
from comfreysill.placement.requests import conclude_remote_ends, submit_request
from comfreysill.placement.state import EntryState
from comfreysill.placement.subset import update_subset
from comfreysill.platform.configuration import decode_configuration
from comfreysill.platform.crashes import decode_crashes
from comfreysill.platform.documents import decode_document, encode_document
from comfreysill.platform.evacuations import decode_evacuations
from comfreysill.platform.floors import read_current
from comfreysill.platform.members import decode_members
from comfreysill.platform.pages import decode_page
from comfreysill.platform.registry import read_roster
from comfreysill.platform.runner import REPLY_DECODER, build_renew_reply
from comfreysill.platform.runner_reports import decode_report
from comfreysill.platform.settings import read_instance_settings
from comfreysill.platform.settings_file import SETTINGS_VARIABLE
from comfreysill.platform.store import RowSet, StoreClient, StoredRow
from comfreysill.platform.submission import decode_submission
from comfreysill.routes.table import find_route
from comfreysill.target.ledger import Ledger
from comfreysill.wire import comfreysill_pb2 as job_api_pb
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.agents import decode_agent_frame as decode_job_api_agent_frame
from comfreysill.wire.agents import decode_entry_frame as decode_job_api_entry_frame
from comfreysill.wire.claims import (
    decode_claims,
    decode_replies,
    encode_claims,
    encode_replies,
)
from comfreysill.wire.errors import FrameError
from comfreysill.wire.exchange import (
    decode_agent_frame,
    decode_entry_frame,
    encode_agent_frame,
    encode_entry_frame,
)
from comfreysill.wire.members import decode_announcement, encode_members
from comfreysill.wire.members import decode_members as decode_exchanged_members
from comfreysill.wire.peers import decode_peer_frame
from comfreysill.zones.closures import is_closed
from tests.fuzzing import fuzz
from tests.test_floor import VALID_DOCUMENT
from tests.test_platform_decode import SETTINGS, encode_configuration
from tests.waits import build_wait

EXAMPLES = int(os.environ.get("INPUT_EXAMPLES", "60"))
NOW = 100.0

ODD_NUMBERS = st.sampled_from(
    [0, -1, 1, 2**31 - 1, 2**31, 2**53, 2**63, 2**64, 1e308, 10**400, math.inf, math.nan]
)
ODD_TEXTS = st.sampled_from(
    ["", "nan", "x" * 5000, "é\x00", "a/b.c", "10.0.0.1:99999", "h:0", "h:1", "\u0661.0.0.1"]
)
# Texts that stand where a value should, some of which are no JSON.
RAW_VALUES = {
    "@deep-lists@": b"[" * 100_000 + b"]" * 100_000,
    "@deep-objects@": b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    "@infinite@": b"1e400",
    "@no-text@": b'"\xff"',
    "@surrogate@": b'"\\ud800"',
}
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    ODD_NUMBERS,
    st.integers(),
    st.floats(),
    ODD_TEXTS,
    st.text(max_size=8),
    st.sampled_from(sorted(RAW_VALUES)),
    st.lists(st.one_of(ODD_NUMBERS, ODD_TEXTS), max_size=3),
    st.dictionaries(st.text(max_size=4), ODD_NUMBERS, max_size=2),
)

CRASH = {"tasks": ["r/0/1", "r/0/0", "s/0/0"], "route": "q"}
SUBMISSION = {
    "spec": "t",
    "best-effort": True,
    "steps": [
        {
            "count": 3,
            "cpu": 500,
            "mem-mb": 8,
            "gpus": 0,
            "estimate-ms": 250,
            "requires": "k",
            "data-rack": "r",
            "anti-affinity": 2,
        },
        {"count": 1, "after": [0], "estimate-ms": 0},
    ],
}
REPORT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 4,
    "born": 17,
    "clock-ms": 5000,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 1},
    "labels": ["k", "r"],
}
REPLY = {
    "clock-ms": 5000,
    "born": 17,
    "running": [["r.0.0.0", 2, "", 41, 7]],
    "ended": [[1, "r.0.0.1", 2, "done", ""]],
}
MEMBER = {"role": "agent", "address": "10.0.0.1:80", "service": "s"}


def list_paths(document, prefix=()):
    """Returns the paths of all values in a document."""
    paths = [prefix] if prefix else []
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    else:
        return paths
    for key, value in items:
        paths += list_paths(value, (*prefix, key))
    return paths


def encode_raw(document):
    """Encodes a document in which names of `RAW_VALUES` stand for these."""
    text = json.dumps(document).encode()
    for name, raw in RAW_VALUES.items():
        text = text.replace(f'"{name}"'.encode(), raw)
    return text


@st.composite
def changed_documents(draw, document):
    """Draws the bytes of a document in which up to three values are replaced or removed."""
    changed = json.loads(json.dumps(document))
    for path in draw(st.lists(st.sampled_from(list_paths(document)), max_size=3)):
        container = changed
        try:
            for key in path[:-1]:
                container = container[key]
            if draw(st.booleans()):
                container[path[-1]] = draw(ODD_VALUES)
            else:
                del container[path[-1]]
        except (KeyError, IndexError, TypeError):
            continue
    text = encode_raw(changed)
    cut = draw(st.one_of(st.none(), st.integers(0, len(text))))
    return text if cut is None else text[:cut] + draw(st.binary(max_size=4))


def is_balanced(text):
    """Returns whether a text ends where its brackets do, outside of any text in quotes."""
    depth, quoted, position = 0, False, 0
    while position < len(text):
        byte = text[position : position + 1]
        if quoted:
            position += byte == b"\\"
            quoted = byte != b'"'
        elif byte == b'"':
            quoted = True
        elif byte in (b"[", b"{"):
            depth += 1
        elif byte in (b"]", b"}"):
            depth -= 1
            if depth < 0:
                return False
        elif byte == b"," and depth == 0:
            return False
        position += 1
    return depth == 0 and not quoted and bool(text.strip())


RUNNER_DOCUMENTS = st.tuples(changed_documents(REPORT), changed_documents(REPLY))


@st.composite
def messages(draw, message_type, fields):
    """Draws a protobuf message with odd values in some fields."""
    message = message_type()
    for name, strategy in fields.items():
        if draw(st.booleans()):
            continue
        value = draw(strategy)
        if isinstance(value, list):
            getattr(message, name).extend(value)
        elif hasattr(value, "DESCRIPTOR"):
            getattr(message, name).CopyFrom(value)
        else:
            setattr(message, name, value)
    return message


U32 = st.sampled_from([0, 1, 500, 2**31 - 1, 2**32 - 1])
U64 = st.sampled_from([0, 1, 2, 2**63, 2**64 - 1])
S32 = st.sampled_from([0, 1, -1, 4000, -(2**31), 2**31 - 1])
FLOATS = st.sampled_from([0.0, 0.1, 1.0, 99.9, 100.0, 1e9, -1.0, math.inf, -math.inf, math.nan])
NAMES = st.sampled_from(["", "a", "b", "e@1", "r", "r/0/0", "10.0.0.1:80", "x:1", "x" * 300])
ORDERS = messages(pb.Order, {"step": U32, "index": U32, "attempt": U32})
BATCHES = messages(
    pb.Batch,
    {
        "request_id": NAMES,
        "payload": NAMES,
        "priority": U32,
        "due": FLOATS,
        "cpu": U32,
        "memory_mb": U32,
        "gpus": U32,
        "estimate": FLOATS,
        "orders": st.lists(ORDERS, max_size=3),
    },
)
ZONES = st.lists(
    messages(pb.ZoneStatus, {"zone": NAMES, "version": U64, "closed": st.booleans()}), max_size=3
)
ENTRY_FRAMES = messages(
    pb.ToAgent,
    {
        "entry": st.sampled_from(["e@1", "e@2", "f@1", ""]),
        "session": U64,
        "number": U64,
        "echo": FLOATS,
        "hunger": U32,
        "ended_seen": U64,
        "batches": st.lists(BATCHES, max_size=2),
        "stops": st.lists(NAMES, max_size=2),
        "entries": st.lists(NAMES, max_size=2),
        "routes_version": U64,
        "zones": ZONES,
    },
)
ENDS = messages(
    pb.Ended,
    {
        "number": U64,
        "task": NAMES,
        "attempt": U32,
        "outcome": st.sampled_from([0, 1, 2, 3, 4, 5, 99]),
        "seconds": FLOATS,
        "detail": NAMES,
        "late_seconds": FLOATS,
    },
)
LATE_STARTS = messages(pb.LateStart, {"task": NAMES, "seconds": FLOATS})
AGENT_FRAMES = messages(
    pb.ToEntry,
    {
        "agent": st.sampled_from(["a", "b", ""]),
        "lifetime": st.sampled_from(["1", "2", ""]),
        "session": st.sampled_from([0, 1, 2]),
        "seen": U64,
        "stamp": FLOATS,
        "load": messages(
            pb.Load,
            {
                "accepting": st.booleans(),
                "cpu": S32,
                "memory_mb": S32,
                "gpus": S32,
                "slowness": FLOATS,
            },
        ),
        "profile": messages(
            pb.Profile,
            {
                "service": st.sampled_from(["s", ""]),
                "zone": NAMES,
                "cpu": U32,
                "memory_mb": U32,
                "gpus": U32,
                "labels": st.lists(NAMES, max_size=2),
            },
        ),
        "ended": st.lists(ENDS, max_size=2),
        "active": st.lists(NAMES, max_size=2),
        "late_starts": st.lists(LATE_STARTS, max_size=2),
        "zones": ZONES,
        "opening": st.booleans(),
        "routes_version": U64,
        "routes_holder": NAMES,
        "next_seconds": FLOATS,
    },
)

CLAIM_FRAMES = messages(
    pb.Claims,
    {
        "entry": st.sampled_from(["e@1", "e@2", "f@1", ""]),
        "session": U64,
        "opening": st.booleans(),
        "claims": st.lists(
            messages(
                pb.Claim,
                {
                    "request_id": st.sampled_from(["r", "q", ""]),
                    "number": U64,
                    "seconds": FLOATS,
                },
            ),
            max_size=3,
        ),
        "releases": st.lists(
            messages(
                pb.Release,
                {
                    "request_id": st.sampled_from(["r", "q", ""]),
                    "number": U64,
                    "verdict": st.sampled_from([0, 1, 2, 3, 4, 5, 99]),
                },
            ),
            max_size=3,
        ),
        "cancellations": st.lists(
            messages(
                pb.Cancellation,
                {
                    "request_id": st.sampled_from(["r", "q", "", "r" * 10_000]),
                    "number": U64,
                    "seconds": FLOATS,
                },
            ),
            max_size=3,
        ),
    },
)
CLAIM_REPLY_FRAMES = messages(
    pb.ClaimReplies,
    {
        "entry": st.sampled_from(["e@1", "f@1", "g@1", ""]),
        "session": st.sampled_from([0, 1, 2]),
        "replies": st.lists(
            messages(
                pb.ClaimReply,
                {
                    "request_id": st.sampled_from(["r", "q", ""]),
                    "number": st.sampled_from([0, 1, 2, 3]),
                    "status": st.sampled_from([0, 1, 2, 3, 99]),
                    "holder": NAMES,
                    "verdict": st.sampled_from([0, 1, 2, 3, 99]),
                    "seconds": FLOATS,
                },
            ),
            max_size=3,
        ),
        "cancellations": st.lists(
            messages(
                pb.CancellationReply,
                {
                    "request_id": st.sampled_from(["r", "q", ""]),
                    "number": st.sampled_from([0, 1, 2, 3]),
                    "status": st.sampled_from([0, 1, 2, 3, 99]),
                    "holder": NAMES,
                },
            ),
            max_size=3,
        ),
    },
)

ANNOUNCEMENTS = messages(pb.Announcement, {"agent": NAMES, "address": NAMES, "service": NAMES})

CLAIMS = messages(job_api_pb.PartitionClaim, {"partition": U32, "number": U32, "owner": NAMES})
JOB_API_AGENT_FRAMES = messages(
    job_api_pb.AgentFrame,
    {
        "agent": NAMES,
        "session": U64,
        "sequence": U64,
        "slots": U32,
        "messages": st.lists(
            messages(
                job_api_pb.AgentMessage,
                {
                    "done": messages(
                        job_api_pb.TaskDone, {"outcome": U32, "index": U32, "run_seconds": FLOATS}
                    ),
                    "refused": messages(job_api_pb.Refused, {"cause": U32}),
                    "claimed": messages(
                        job_api_pb.Claimed,
                        {
                            "claims": st.lists(CLAIMS, max_size=2),
                            "records": st.lists(
                                messages(job_api_pb.LedgerRecord, {"outcome": U32}), max_size=2
                            ),
                            "lost_at": FLOATS,
                        },
                    ),
                },
            ),
            min_size=1,
            max_size=2,
        ),
    },
)
JOB_API_ENTRY_FRAMES = messages(
    job_api_pb.EntryFrame,
    {
        "entry": NAMES,
        "session": U64,
        "messages": st.lists(
            messages(
                job_api_pb.EntryMessage,
                {
                    "start": messages(
                        job_api_pb.StartBatch,
                        {"claim": CLAIMS, "task_class": U32, "deadline": FLOATS},
                    ),
                },
            ),
            min_size=1,
            max_size=2,
        ),
    },
)
JOB_API_PEER_FRAMES = messages(
    job_api_pb.PeerFrame,
    {
        "entry": NAMES,
        "session": U64,
        "messages": st.lists(
            messages(
                job_api_pb.PeerMessage,
                {
                    "answered": messages(
                        job_api_pb.Answer, {"verdict": U32, "reason": U32, "retry_at": FLOATS}
                    ),
                    "forward": messages(
                        job_api_pb.Submission, {"task_class": U32, "issued_at": FLOATS}
                    ),
                    "wave": messages(job_api_pb.CancelWave, {"task_class": U32}),
                    "handover": messages(
                        job_api_pb.Handover, {"claim": CLAIMS, "known_since": FLOATS}
                    ),
                },
            ),
            min_size=1,
            max_size=2,
        ),
    },
)


def encode_odd_bytes(frames):
    """Returns a strategy of the bytes of frames, some of them cut or with bytes added."""
    return st.tuples(frames, st.integers(0, 400), st.binary(max_size=6)).map(
        lambda drawn: drawn[0].SerializeToString()[: drawn[1]] + drawn[2]
    )


class Entry:
    """An entry with two agents, one of which is linked, and a request."""

    def __init__(self):
        self.state = EntryState(name="e@1", zone="z", unix_offset=0.0)
        self.table = decode_configuration(encode_configuration()).ok_value
        for name in ("a", "b"):
            discover_agent(self.state, name, f"{name}:1", "s")
            begin_session(self.state, name, NOW)
        self.receive(
            pb.ToEntry(
                agent="a",
                lifetime="1",
                session=1,
                opening=True,
                stamp=1.0,
                next_seconds=0.1,
                load=pb.Load(accepting=True, cpu=4000, memory_mb=4000, gpus=2, slowness=1.0),
                profile=pb.Profile(service="s", cpu=4000, memory_mb=4000, gpus=2, labels=["k"]),
            ).SerializeToString()
        )

    def submit(self, body, request_id="r", caller=1):
        route = find_route(self.table, "h.example", "/a/1")
        decoded = decode_submission(request_id, route, body)
        if isinstance(decoded, Ok):
            submit_request(self.state, caller, decoded.ok_value, NOW, build_wait(NOW))
        return self.flush()

    def receive(self, data):
        try:
            frame = decode_agent_frame(pb.ToEntry.FromString(data))
        except (FrameError, DecodeError):
            return []
        receive_agent_frame(self.state, frame, NOW)
        return self.flush()

    def receive_claims(self, data):
        try:
            frame = decode_claims(pb.Claims.FromString(data))
        except (FrameError, DecodeError):
            return
        receive_claims(self.state, frame, NOW)
        self.flush()

    def receive_claim_replies(self, data):
        try:
            frame = decode_replies(pb.ClaimReplies.FromString(data))
        except (FrameError, DecodeError):
            return
        receive_replies(self.state, "f:1", frame, NOW)
        self.flush()

    def flush(self):
        """Runs the decisions that follow each message, and returns the encoded frames."""
        for now in (NOW, NOW + 0.2):
            self.state.ticked_at = now
            expire_agents(self.state, now)
            expire_replies(self.state, now)
            refuse_unmeetable(self.state, now)
            update_subset(self.state, now)
            update_peers(self.state, now)
            conclude_remote_ends(self.state, now)
            place_waiting(self.state, now)
            collect_frames(self.state, now)
            collect_claims(self.state, now)
        for effect in self.state.effects:
            if isinstance(effect, SendClaims):
                decode_claims(encode_claims(effect.frame))
            elif isinstance(effect, SendClaimReplies):
                decode_replies(encode_replies(effect.frame))
        effects, self.state.effects = self.state.effects, []
        json.dumps(self.state.events, allow_nan=False)
        self.state.events.clear()
        return [
            encode_entry_frame(effect.frame).SerializeToString()
            for effect in effects
            if isinstance(effect, SendFrame)
        ]


class Agent:
    """An agent with a runner."""

    def __init__(self):
        self.agent = AgentState(agent="a", lifetime="1", zone="z", token=1)
        self.report(json.dumps(REPORT).encode())
        self.renew(b'{"clock-ms": 1000, "born": 17, "running": [], "ended": []}')

    def report(self, body):
        decoded = decode_report("i", body)
        if isinstance(decoded, Ok):
            receive_report(self.agent, decoded.ok_value, NOW)
        return self.flush()

    def renew(self, body):
        self.agent.renewals_in_flight += 1
        call = RenewCall(
            lifetime=self.agent.runner_lifetime or RunnerLifetime(runner_id="i", started_at_ms=0),
            token=self.agent.token,
            ended_seen=0,
            lease_until_ms=0,
            wait_ms=0,
            sent_at=NOW,
        )
        decoded = decode_document(REPLY_DECODER, body).and_then(
            lambda document: build_renew_reply(call, ReplyStatus.ACCEPTED, document)
        )
        if isinstance(decoded, Ok):
            receive_renewal(self.agent, decoded.ok_value, NOW)
        return self.flush()

    def receive(self, data):
        try:
            frame = decode_entry_frame(pb.ToAgent.FromString(data))
        except (FrameError, DecodeError):
            return []
        receive_frame(self.agent, frame, NOW)
        return self.flush()

    def flush(self):
        """Runs the decisions that follow each message, and returns the encoded frames."""
        frames = []
        for now in (NOW, NOW + 0.2):
            expire_links(self.agent, now)
            resend_stops(self.agent, now)
            start_waiting(self.agent, now)
            queue_renewal(self.agent, now)
            frames += collect_agent_frames(self.agent, True, now)
        self.agent.calls.clear()
        json.dumps(self.agent.events, allow_nan=False)
        self.agent.events.clear()
        return [encode_agent_frame(frame).SerializeToString() for _, frame in frames]

    def check(self, case):
        used = sum(run.batch.cpu for run in self.agent.runs.values())
        case.assertEqual(used, self.agent.cpu_used + self.agent.cpu_waiting)
        for link in self.agent.links.values():
            case.assertLessEqual(link.lease_until, NOW + 1.0)


JOB_API_AGENT = {
    "agent": "a",
    "incarnation": "a@1",
    "host": "10.0.0.1",
    "port": 80,
    "zone": "z",
    "services": ["s"],
    "lost_at": 5.0,
    "left": False,
}
JOB_API_ENTRY = {"name": "e@1", "host": "10.0.0.1", "port": 80, "zone": "z"}
JOB_API_VERSION = {
    "version": 1,
    "change_id": "change-1",
    "author": "x",
    "changed_at": 1.0,
    "document": yaml.safe_load(VALID_DOCUMENT),
}
STORED_ROW = {"table": "t", "key": "odd", "value": "e30=", "ver": 3, "tombstone": False}
ANNOUNCEMENT = {
    "host": "127.0.0.1",
    "port": 80,
    "slots": 4,
    "connections": 9,
    "services": ["s"],
}


def build_store(rows):
    """Returns a store client, and a function in place of `read_rows` that finds these rows."""

    async def read_rows(store, table, prefix=""):
        found = [row for row in rows if row.key.startswith(prefix)]
        return Ok(RowSet(rows=found, version=9))

    return StoreClient(base_url="", session=None), read_rows


class TestJobApiInput(unittest.TestCase):
    """Ways into the entries and agents of the job API."""

    @fuzz(EXAMPLES, changed_documents(JOB_API_AGENT), changed_documents(JOB_API_ENTRY))
    def test_registrations(self, agent, entry):
        good = json.dumps({**JOB_API_AGENT, "agent": "b"}).encode()
        rows = [
            StoredRow(key="member/agent/a", value=agent, version=1),
            StoredRow(key="member/agent/b", value=good, version=2),
            StoredRow(key="member/entry/e@1", value=entry, version=3),
        ]
        store, read_rows = build_store(rows)
        with mock.patch("comfreysill.platform.table.read_rows", read_rows):
            for _ in range(2):
                roster = asyncio.run(read_roster(store)).ok_value
        found = [agent.agent for agent in roster.agents] + [entry.name for entry in roster.entries]
        self.assertIn("b", found)
        for named in (*roster.agents, *roster.entries):
            parse_address(f"{named.host}:{named.port}")
        self.assertLess(roster.lost_at, 1e11)
        self.assertEqual(store.rejections.total, len(roster.unreadable))

    @fuzz(EXAMPLES, changed_documents(JOB_API_VERSION))
    def test_floor_versions(self, text):
        store, read_rows = build_store([StoredRow(key="floor/current", value=text, version=1)])
        with mock.patch("comfreysill.platform.table.read_rows", read_rows):
            version = asyncio.run(read_current(store)).ok_value
        if version is not None:
            self.assertIsInstance(version.version, int)
            floor = build_checked_floor(version.version, version.document)
            self.assertTrue(isinstance(floor, Err) or floor.ok_value.teams)

    @fuzz(5 * EXAMPLES, changed_documents(ANNOUNCEMENT))
    def test_announcements_of_runners(self, body):
        actor = AgentActor(
            ledger=Ledger(agent="a", incarnation="a@1"), start_run=lambda runner, record: None
        )
        client = falcon.testing.TestClient(build_agent_app(actor, Metrics(role="agent")))
        status = client.simulate_put("/v1/runner", body=body).status_code
        self.assertIn(status, (204, 400, 422))
        if status == 204:
            announced = asyncio.run(actor.inbox.get_batch())[0]
            parse_address(f"{announced.host}:{announced.port}")
            encode_document(sorted(announced.services))

    @fuzz(
        5 * EXAMPLES,
        st.one_of(
            encode_odd_bytes(JOB_API_AGENT_FRAMES).map(lambda data: (0, data)),
            encode_odd_bytes(JOB_API_ENTRY_FRAMES).map(lambda data: (1, data)),
            encode_odd_bytes(JOB_API_PEER_FRAMES).map(lambda data: (2, data)),
        ),
    )
    def test_frames(self, drawn):
        frame_type, decode = (
            (job_api_pb.AgentFrame, decode_job_api_agent_frame),
            (job_api_pb.EntryFrame, decode_job_api_entry_frame),
            (job_api_pb.PeerFrame, decode_peer_frame),
        )[drawn[0]]
        try:
            decode(frame_type.FromString(drawn[1]))
        except (FrameError, DecodeError):
            return


class TestInput(unittest.TestCase):
    @fuzz(EXAMPLES, changed_documents(SUBMISSION))
    def test_submissions(self, body):
        entry, agent = Entry(), Agent()
        for frame in entry.submit(body):
            for answer in agent.receive(frame):
                entry.receive(answer)
        agent.check(self)

    @fuzz(EXAMPLES, st.lists(encode_odd_bytes(AGENT_FRAMES), max_size=4))
    def test_frames_to_an_entry(self, frames):
        entry = Entry()
        entry.submit(json.dumps(SUBMISSION).encode())
        for data in frames:
            entry.receive(data)
        for request in entry.state.requests.values():
            for task in request.placed.values():
                self.assertIs(entry.state.agents[task.agent].tasks[task.name], task)

    @fuzz(EXAMPLES, st.lists(encode_odd_bytes(CLAIM_FRAMES), max_size=4))
    def test_claims_of_another_entry(self, frames):
        entry = Entry()
        for data in frames:
            entry.receive_claims(data)
        entry.submit(json.dumps(SUBMISSION).encode())
        self.assertEqual(set(entry.state.claims), set(entry.state.requests))

    @fuzz(EXAMPLES, st.lists(encode_odd_bytes(CLAIM_REPLY_FRAMES), max_size=4))
    def test_replies_of_a_registrar(self, frames):
        entry = Entry()
        entry.state.entries = ["e:1", "f:1"]
        entry.flush()
        begin_peer_session(entry.state, "f:1", NOW)
        entry.receive_claim_replies(pb.ClaimReplies(entry="f@1", session=1).SerializeToString())
        entry.submit(json.dumps(SUBMISSION).encode())
        for data in frames:
            entry.receive_claim_replies(data)
        self.assertEqual(set(entry.state.claims), set(entry.state.requests))

    @fuzz(EXAMPLES, st.lists(encode_odd_bytes(CLAIM_REPLY_FRAMES), max_size=4))
    def test_replies_to_a_cancelling(self, frames):
        entry = Entry()
        entry.state.entries = ["e:1", "f:1"]
        entry.flush()
        begin_peer_session(entry.state, "f:1", NOW)
        entry.receive_claim_replies(pb.ClaimReplies(entry="f@1", session=1).SerializeToString())
        entry.submit(json.dumps(SUBMISSION).encode())
        begin_cancellation(entry.state, 2, "r", NOW)
        begin_cancellation(entry.state, 3, "q", NOW)
        for data in frames:
            entry.receive_claim_replies(data)
        expire_cancellings(entry.state, NOW + CONFIRMATION_SECONDS)
        self.assertEqual(entry.state.cancellations, {})

    @fuzz(EXAMPLES, st.lists(encode_odd_bytes(ENTRY_FRAMES), max_size=4))
    def test_frames_to_an_agent(self, frames):
        agent = Agent()
        for data in frames:
            agent.receive(data)
        agent.check(self)

    @fuzz(
        5 * EXAMPLES,
        st.lists(st.tuples(changed_documents(REPORT), changed_documents(REPLY)), max_size=3),
    )
    def test_reports_and_replies_of_a_runner(self, documents):
        agent = Agent()
        agent.receive(pb.ToAgent(entry="e@1", session=1, number=1, echo=NOW).SerializeToString())
        for report, reply in documents:
            agent.report(report)
            agent.renew(reply)
            parse_address(agent.agent.report.address)
            self.assertLess(agent.agent.report.sequence, 2**31)
            self.assertLess(max(agent.agent.clock_ms, agent.agent.runner_ends_seen), 2**53)
        agent.check(self)

    @fuzz(EXAMPLES, changed_documents(json.loads(encode_configuration())), st.binary(max_size=30))
    def test_configurations(self, text, other):
        for body in (text, other):
            decoded = decode_configuration(body)
            if isinstance(decoded, Err):
                continue
            entry = Entry()
            for route in itertools.chain.from_iterable(decoded.ok_value.by_host.values()):
                specification = decode_submission("r", route, json.dumps(SUBMISSION).encode())
                if isinstance(specification, Ok):
                    submit_request(entry.state, 1, specification.ok_value, NOW, build_wait(NOW))
                    entry.flush()

    @fuzz(EXAMPLES, st.lists(changed_documents(STORED_ROW), max_size=3))
    def test_pages_of_the_store(self, odd_rows):
        good = [json.dumps({**STORED_ROW, "key": key}).encode() for key in ("a", "z")]
        # An odd row that is cut may take the rest of the page with it.
        rows = [good[0], *odd_rows, good[1]]
        text = b'{"rows":[' + b",".join(rows) + b'],"ver":9,"has-more":false}'
        page = decode_page(text)
        whole = all(is_balanced(row) for row in odd_rows)
        if whole:
            keys = [row.key for row in page.ok_value.rows]
            self.assertEqual((keys[0], keys[-1]), ("a", "z"))
            self.assertEqual(len(keys) + len(page.ok_value.rejected), len(odd_rows) + 2)
            self.assertEqual(page.ok_value.version, 9)

    @fuzz(EXAMPLES, changed_documents(MEMBER), encode_odd_bytes(ANNOUNCEMENTS), NAMES)
    def test_member_rows_and_announcements(self, value, data, name):
        found = decode_members(
            RowSet(rows=[StoredRow(key=name, value=value, version=1)], version=1)
        )
        # Other entries accept what this one tells them of the members.
        exchanged, problems = decode_exchanged_members(encode_members(found.members))
        self.assertEqual((len(exchanged), problems), (len(found.members), []))
        self.assertEqual(len(found.members) + found.unreadable, 1)
        entry = Entry()
        for member in found.members:
            discover_agent(entry.state, member.name, member.address, member.service)
        try:
            agent = decode_announcement(pb.Announcement.FromString(data))
            discover_agent(entry.state, agent.name, agent.address, agent.service)
            decode_exchanged_members(pb.Members.FromString(data))
        except (FrameError, DecodeError):
            return
        entry.flush()

    @fuzz(EXAMPLES, changed_documents(CRASH), st.integers(0, 3))
    def test_crash_rows(self, value, repetitions):
        row = StoredRow(key="a/1/1", value=value, version=1)
        found = decode_crashes(RowSet(rows=[row], version=1))
        self.assertEqual(len(found.reports) + found.unreadable, 1)
        entry = Entry()
        entry.submit(encode_document(SUBMISSION))
        for report in found.reports * repetitions:
            receive_crash(entry.state, report, NOW)
            entry.flush()

    @fuzz(EXAMPLES, changed_documents({"zone": "z"}), NAMES, st.integers(0, 9), st.booleans())
    def test_evacuation_rows(self, value, name, version, whole):
        row = StoredRow(key=f"evacuate/{name}", value=value, version=version)
        read = RowSet(rows=[row], version=5, whole=whole, unreadable=("evacuate/y", name))
        found = decode_evacuations(read)
        entry = Entry()
        read_zones(entry.state, found.reading, NOW)
        # Odd values close their zones as well.
        self.assertEqual(is_closed(entry.state.closures, name), not found.rejected)
        entry.flush()

    @fuzz(EXAMPLES, changed_documents(yaml.safe_load(SETTINGS)))
    def test_settings(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.yaml"
            path.write_bytes(text)
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                try:
                    read_instance_settings()
                except UsageError as error:
                    self.assertIn("boot.yaml", str(error))
