import math
import unittest

from comfreysill.crashes.report import CrashReport
from comfreysill.dispatch.messages import (
    Answered,
    CancelJob,
    CancelWave,
    Forward,
    HandedJob,
    HandedTask,
    Handover,
    NotOwner,
    PeerFrame,
)
from comfreysill.exchange.messages import (
    AgentFrame,
    Batch,
    EntryFrame,
    LateStart,
    Load,
    Order,
)
from comfreysill.exchange.speeds import RouteSpeed
from comfreysill.job.types import (
    Answer,
    JobKey,
    Reason,
    Submission,
    TaskClass,
    TaskSpec,
    Verdict,
)
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.owned import RecoveredAttempt
from comfreysill.target import frames
from comfreysill.target import messages as m
from comfreysill.wire import agents, exchange, peers
from comfreysill.wire.errors import FrameError
from comfreysill.zones.closures import MAX_ZONES, ZoneStatus

KEY = JobKey(team="t", job_id="j")
CLAIM = m.PartitionClaim(partition=3, epoch=Epoch(number=4, owner="e"))


def flatten_message(value):
    """Converts a message to nested tuples that can be compared."""
    if isinstance(value, tuple | list):
        return tuple(flatten_message(item) for item in value)
    slots = getattr(type(value), "__slots__", None)
    if slots is None or isinstance(value, JobKey | Epoch):
        return value
    return (type(value).__name__, *(flatten_message(getattr(value, name)) for name in slots))


class ExchangeWireTest(unittest.TestCase):
    def test_frames_keep_all_fields(self):
        batch = Batch(
            request_id="r",
            payload="p",
            priority=1,
            due=2.0,
            cpu=3,
            memory_mb=4,
            gpus=5,
            estimate=0.5,
            orders=[Order(step=0, index=1, attempt=2, moves=3)],
            isolated=True,
            route="q",
            stop_at=8.5,
            valid_until=7.5,
            run_factor=1.5,
        )
        entry_frame = EntryFrame(
            entry="e@1",
            session=1,
            number=2,
            echo=3.0,
            demand_rank=4,
            ended_seen=5,
            batches=[batch],
            stops=["r/0/0"],
            entries=["127.0.0.1:1"],
            routes_version=6,
            zones=(ZoneStatus(zone="z1", version=7, closed=True),),
        )
        parsed = exchange.pb.ToAgent.FromString(
            exchange.encode_entry_frame(entry_frame).SerializeToString()
        )
        decoded = exchange.decode_entry_frame(parsed)
        self.assertEqual(flatten_message(decoded), flatten_message(entry_frame))
        agent_frame = AgentFrame(
            agent="a",
            lifetime="1",
            session=1,
            seen=2,
            stamp=3.0,
            load=Load(
                accepting=True,
                cpu=-1,
                memory_mb=2,
                gpus=3,
                slowness=0.5,
                isolating=True,
                routes=(RouteSpeed(route="q", factor=1.5, samples=9, age=0.25),),
            ),
            profile=None,
            ended=[],
            active=["r/0/0"],
            unconfirmed=["r/0/1"],
            opening=False,
            routes_version=4,
            routes_holder="127.0.0.1:1",
            next_seconds=0.25,
            crashes=(CrashReport(crash_id="a/i@1", tasks=("r/0/1", "r/0/0"), route="q"),),
            late_starts=(
                LateStart(task="r/0/2", seconds=15.5),
                LateStart(task="r/0/3", seconds=0.0),
            ),
            zones=(
                ZoneStatus(zone="z1", version=9, closed=False),
                ZoneStatus(zone="z2", version=8, closed=True),
            ),
        )
        parsed = exchange.pb.ToEntry.FromString(
            exchange.encode_agent_frame(agent_frame).SerializeToString()
        )
        decoded = exchange.decode_agent_frame(parsed)
        self.assertEqual(flatten_message(decoded), flatten_message(agent_frame))

    def test_odd_zones_are_rejected(self):
        for zones in (
            [exchange.pb.ZoneStatus(zone="", version=1)],
            [exchange.pb.ZoneStatus(zone="z" * 300, version=1)],
            [exchange.pb.ZoneStatus(zone="z", version=2**60)],
            [exchange.pb.ZoneStatus(zone=f"z{n}", version=n) for n in range(MAX_ZONES + 1)],
        ):
            with self.assertRaises(FrameError):
                exchange.decode_entry_frame(exchange.pb.ToAgent(entry="e@1", zones=zones))

    def test_odd_late_starts_are_rejected(self):
        load = exchange.pb.Load(slowness=1.0)
        for task, seconds in (
            ("", 1.0),
            ("x" * 300, 1.0),
            ("r/0/0", -1.0),
            ("r/0/0", math.nan),
            ("r/0/0", math.inf),
        ):
            late_start = exchange.pb.LateStart(task=task, seconds=seconds)
            message = exchange.pb.ToEntry(
                agent="a", lifetime="1", load=load, late_starts=[late_start]
            )
            with self.assertRaises(FrameError):
                exchange.decode_agent_frame(message)

    def test_a_frame_of_an_earlier_version_tells_of_no_late_starts(self):
        message = exchange.pb.ToEntry(agent="a", lifetime="1", load=exchange.pb.Load(slowness=1.0))
        self.assertEqual(exchange.decode_agent_frame(message).late_starts, ())


class WireTest(unittest.TestCase):
    def test_entry_frame_round_trip_keeps_all_fields(self):
        start = m.TaskStart(index=1, attempt=2, payload=b"p", run_time=0.5, idempotent=True)
        batch = m.StartBatch(
            key=KEY,
            digest=b"d",
            partition=3,
            epoch=Epoch(number=4, owner="e"),
            authority_until=9.5,
            task_class=TaskClass.BULK,
            deadline=10.5,
            expires_at=11.5,
            service="s",
            tasks=(start,),
        )
        messages = (
            batch,
            m.Claim(claims=(CLAIM,)),
            m.CancelTasks(keys=(KEY,)),
            m.FloorUpdate(version=7, document=b"{}"),
            m.SetDraining(draining=True),
        )
        frame = frames.EntryFrame(
            entry="e", session=1, sequence=2, floor_version=3, messages=messages
        )
        encoded = agents.encode_entry_frame(frame).SerializeToString()
        parsed = agents.pb.EntryFrame.FromString(encoded)
        self.assertEqual(flatten_message(agents.decode_entry_frame(parsed)), flatten_message(frame))

    def test_agent_frame_round_trip_keeps_all_fields(self):
        record = m.LedgerRecord(
            key=KEY,
            digest=b"d",
            partition=3,
            index=1,
            attempt=2,
            outcome=m.Outcome.DONE,
            payload=b"r",
            run_seconds=0.25,
        )
        done = m.TaskDone(
            key=KEY, index=1, attempt=2, outcome=m.Outcome.LOST, payload=b"", run_seconds=0.5
        )
        messages = (
            m.Claimed(
                claims=(CLAIM,), previous=(CLAIM,), records=(record,), last=True, lost_at=1.5
            ),
            m.Fenced(claim=CLAIM),
            done,
            m.Refused(key=KEY, attempts=((1, 2), (3, 1)), cause=m.RefusalCause.RUNNER),
        )
        frame = frames.AgentFrame(
            agent="a",
            incarnation="a@1",
            session=1,
            sequence=2,
            acknowledged=3,
            load=frames.Load(
                slots=8,
                queue_limit=5,
                running=1,
                queued=2,
                active=(1, 2, 0),
                draining=True,
                floor_version=4,
            ),
            messages=messages,
        )
        encoded = agents.encode_agent_frame(frame).SerializeToString()
        parsed = agents.pb.AgentFrame.FromString(encoded)
        self.assertEqual(flatten_message(agents.decode_agent_frame(parsed)), flatten_message(frame))

    def test_peer_frame_round_trip_keeps_all_fields(self):
        task = TaskSpec(payload=b"p", run_time=0.5, size_mb=3, idempotent=True)
        submission = Submission(
            key=KEY,
            digest=b"d",
            task_class=TaskClass.URGENT,
            deadline=10.5,
            service="s",
            tasks=(task,),
        )
        answer = Answer(
            key=KEY,
            complete=False,
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.LOST,
            detail="x",
            results=(b"1", b"\xff"),
            retry_at=2.5,
        )
        recovered_task = RecoveredAttempt(
            agent="a", incarnation="a@1", attempt=2, outcome=m.Outcome.DONE, payload=b"r"
        )
        handed = HandedJob(key=KEY, digest=b"d", tasks=(HandedTask(index=3, task=recovered_task),))
        handover = Handover(
            partition=3, epoch=CLAIM.epoch, known_since=1.5, jobs=(handed,), last=True
        )
        messages = (
            Forward(submission=submission),
            Answered(answer=answer),
            NotOwner(key=KEY),
            CancelJob(key=KEY),
            m.FloorUpdate(version=1, document=b"x"),
            CancelWave(team="t", task_class=TaskClass.URGENT),
            CancelWave(team="t", task_class=None),
            handover,
        )
        frame = PeerFrame(
            entry="e",
            recipient="f",
            session=9,
            leaving=True,
            floor_version=1,
            roster_revision=5,
            messages=messages,
        )
        encoded = peers.encode_peer_frame(frame).SerializeToString()
        parsed = peers.pb.PeerFrame.FromString(encoded)
        self.assertEqual(flatten_message(peers.decode_peer_frame(parsed)), flatten_message(frame))
