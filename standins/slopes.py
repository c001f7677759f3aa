"""Measures how the cost of each role grows with its load, for docs/CAPACITY.md.

Each series varies one size over at least four points on the real decision code and codec, in one
process without sockets, and fits a line by least squares.
"""

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable

import numpy as np

from comfreysill.dispatch import core, links
from comfreysill.dispatch.floors import adopt_floor
from comfreysill.dispatch.messages import PeerFrame, SendAgentFrame
from comfreysill.dispatch.routing import submit_job
from comfreysill.dispatch.state import Dispatcher
from comfreysill.floor.document import Floor, Service, Team
from comfreysill.job.types import JobKey, Submission, TaskClass, TaskSpec
from comfreysill.target import frame_handling, results
from comfreysill.target import ledger as ledgers
from comfreysill.target.messages import Outcome
from comfreysill.target.reports import collect_reports
from comfreysill.target.view import Registration
from comfreysill.wire import agents as agent_codec
from comfreysill.wire import comfreysill_pb2 as pb
from comfreysill.wire import peers as peer_codec

SERVICE = "s"
SLOTS = 8


class Series:
    """A measured series.

    Attributes:
        name: Name of the series.
        unit: Unit of the costs.
        points: Pairs of size and cost.
        inverse: Whether the line is fitted over one divided by the size.
    """

    __slots__ = ("name", "unit", "points", "inverse")

    def __init__(
        self, *, name: str, unit: str, points: list[tuple[float, float]], inverse: bool = False
    ) -> None:
        self.inverse = inverse
        self.name = name
        self.unit = unit
        self.points = points


class Bench:
    """One entry and its agents, whose frames are encoded and decoded but not sent.

    Attributes:
        entry: State of the entry.
        ledgers: Ledgers by agent.
        now: Simulated time in seconds; it does not advance.
        frame_count: Frames sent in both directions.
        byte_count: Bytes of these frames.
    """

    __slots__ = ("entry", "ledgers", "now", "frame_count", "byte_count")

    def __init__(self, *, targets: int) -> None:
        self.now = 1_000_000.0
        self.entry = Dispatcher(name="e@1")
        adopt_floor(self.entry, _build_floor(), b"{}")
        self.ledgers: dict[str, ledgers.Ledger] = {}
        self.frame_count = 0
        self.byte_count = 0
        registrations = []
        for number in range(targets):
            ledger = ledgers.Ledger(agent=f"a{number}", incarnation=f"a{number}@1")
            ledger.slots, ledger.queue_limit = SLOTS, 10**6
            ledger.services = frozenset({SERVICE})
            self.ledgers[ledger.agent] = ledger
            registrations.append(_build_registration(ledger))
        links.update_roster(self.entry, registrations, 1, 0.0, self.now, self.now)
        for ledger in self.ledgers.values():
            links.connect_agent(self.entry, ledger.agent, 1)


def _build_floor() -> Floor:
    teams = {
        f"t{number}": Team(name=f"t{number}", weight=1.0, queued_tasks=0, services=frozenset())
        for number in range(120)
    }
    services = {SERVICE: Service(name=SERVICE, max_run_time=0.0)}
    return Floor(version=1, teams=teams, services=services, jobs=10**7, queued_tasks=10**7)


def _build_registration(ledger: ledgers.Ledger) -> Registration:
    return Registration(
        agent=ledger.agent,
        incarnation=ledger.incarnation,
        host="10.0.0.1",
        port=1,
        zone="z",
        services=ledger.services,
        revision=1,
    )


def run_until_idle(bench: Bench, finish_tasks: bool = True) -> None:
    """Exchanges frames until the entry sends none; tasks end at once if `finish_tasks`."""
    for _ in range(10_000):
        sent = exchange_frames(bench, finish_tasks)
        if not sent:
            return


def exchange_frames(bench: Bench, finish_tasks: bool) -> int:
    """Exchanges the frames of one cycle through the codec.

    Returns:
        Number of frames from the entry to agents.
    """
    sent = 0
    for effect in core.flush(bench.entry, bench.now):
        if not isinstance(effect, SendAgentFrame):
            continue
        sent += 1
        wire = agent_codec.encode_entry_frame(effect.frame).SerializeToString()
        frame = agent_codec.decode_entry_frame(pb.EntryFrame.FromString(wire))
        ledger = bench.ledgers[effect.agent]
        if effect.frame.sequence == 1:
            ledgers.open_session(ledger, frame.entry, frame.session)
        frame_handling.receive_frame(ledger, frame, bench.now)
        bench.frame_count += 1
        bench.byte_count += len(wire)
    for ledger in bench.ledgers.values():
        _run_agent(bench, ledger, finish_tasks)
    return sent


def _run_agent(bench: Bench, ledger: ledgers.Ledger, finish_tasks: bool) -> None:
    while finish_tasks and ledger.started:
        record = ledger.started.pop()
        results.finish_record(ledger, record, Outcome.DONE, b"result", 0.1, bench.now)
    for report in collect_reports(ledger, bench.now):
        wire = agent_codec.encode_agent_frame(report.frame).SerializeToString()
        frame = agent_codec.decode_agent_frame(pb.AgentFrame.FromString(wire))
        links.receive_agent_frame(bench.entry, frame, bench.now)
        bench.frame_count += 1
        bench.byte_count += len(wire)


def build_jobs(count: int, size: int, now: float, run_time: float = 0.1) -> list[Submission]:
    """Builds jobs of `size` tasks that each take `run_time` seconds, for the teams in turn."""
    return [
        Submission(
            key=JobKey(team=f"t{number % 120}", job_id=f"job-{number:012d}"),
            digest=b"0123456789abcdef",
            task_class=TaskClass.NORMAL,
            deadline=now + 60,
            service=SERVICE,
            tasks=tuple(TaskSpec(payload=b"x" * 64, run_time=run_time) for _ in range(size)),
            issued_at=now,
        )
        for number in range(count)
    ]


def build_ready_bench(targets: int) -> Bench:
    """Builds a bench whose entry owns all partitions."""
    bench = Bench(targets=targets)
    run_until_idle(bench)
    core.tick(bench.entry, bench.now)
    links.update_roster(bench.entry, _collect_registrations(bench), 2, 0.0, bench.now, bench.now)
    run_until_idle(bench)
    return bench


def _collect_registrations(bench: Bench) -> list[Registration]:
    return [target.registration for target in bench.entry.targets.values()]


def measure_targets(sizes: list[int]) -> list[Series]:
    """Measures memory, idle processor time and takeover time by the number of targets."""
    memory, idle, takeover_times = [], [], []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        bench = Bench(targets=size)
        run_until_idle(bench)
        before = time.process_time()
        core.tick(bench.entry, bench.now)
        links.update_roster(
            bench.entry, _collect_registrations(bench), 2, 0.0, bench.now, bench.now
        )
        run_until_idle(bench)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        takeover_times.append((size, (time.process_time() - before) * 1e3))
        memory.append((size, used_bytes / 1024))
        idle.append((size, _time_idle(bench) * 1e6))
    return [
        Series(name="entry and agent state by targets", unit="KiB", points=memory),
        Series(name="entry idle cycle by targets (20 a second)", unit="us", points=idle),
        Series(name="takeover of 64 partitions by targets", unit="ms", points=takeover_times),
    ]


def _time_idle(bench: Bench) -> float:
    core.flush(bench.entry, bench.now)
    cycles = 20
    started = time.process_time()
    for _ in range(cycles):
        core.tick(bench.entry, bench.now)
        core.flush(bench.entry, bench.now)
    return (time.process_time() - started) / cycles


def measure_batches(sizes: list[int]) -> list[Series]:
    """Measures processor time, frames and bytes per task by job size."""
    cost, frames, wire_bytes = [], [], []
    for size in sizes:
        bench = build_ready_bench(10)
        jobs = build_jobs(max(1, 2000 // size), size, bench.now)
        bench.frame_count = bench.byte_count = 0
        started = time.process_time()
        for number, submission in enumerate(jobs):
            submit_job(bench.entry, number, submission, bench.now)
            run_until_idle(bench)
        tasks = len(jobs) * size
        cost.append((size, (time.process_time() - started) / tasks * 1e6))
        frames.append((size, bench.frame_count / tasks))
        wire_bytes.append((size, bench.byte_count / tasks))
    return [
        Series(name="entry, codec and agent for each task", unit="us", points=cost, inverse=True),
        Series(name="frames for each task", unit="frames", points=frames, inverse=True),
        Series(name="bytes for each task", unit="B", points=wire_bytes, inverse=True),
    ]


def measure_jobs(sizes: list[int]) -> Series:
    """Measures the memory of an entry by the number of queued jobs of 10 tasks each.

    Raises:
        RuntimeError: The entry refused jobs.
    """
    points = []
    for size in sizes:
        bench = build_ready_bench(1)
        gc.collect()
        tracemalloc.start()
        jobs = build_jobs(size, 10, bench.now, run_time=0.001)
        for number, submission in enumerate(jobs):
            submit_job(bench.entry, number, submission, bench.now)
        if bench.entry.job_count != size:
            raise RuntimeError(f"{size - bench.entry.job_count} jobs were refused")
        points.append((size, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return Series(name="entry state by jobs in flight (10 tasks each)", unit="KiB", points=points)


def measure_answers(sizes: list[int]) -> Series:
    """Measures the memory of an entry by the number of cached answers of 10 results each."""
    points = []
    for size in sizes:
        bench = build_ready_bench(1)
        gc.collect()
        tracemalloc.start()
        for number, submission in enumerate(build_jobs(size, 10, bench.now, run_time=0.001)):
            submit_job(bench.entry, number, submission, bench.now)
            run_until_idle(bench)
        # Leaves only the entry's state to measure.
        for ledger in bench.ledgers.values():
            ledger.records.clear()
            ledger.expiries.clear()
        del submission
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return Series(name="entry state by kept answers (10 results)", unit="KiB", points=points)


def measure_ledger(sizes: list[int]) -> list[Series]:
    """Measures an agent's memory and the time of a takeover by the number of ledger records."""
    memory, takeover_times = [], []
    for size in sizes:
        bench = build_ready_bench(1)
        jobs = build_jobs(size // 10, 10, bench.now)
        gc.collect()
        tracemalloc.start()
        for number, submission in enumerate(jobs):
            submit_job(bench.entry, number, submission, bench.now)
            run_until_idle(bench)
        # Leaves only the ledger to measure, and makes the entry claim all partitions again.
        bench.entry.owned_partitions.clear()
        bench.entry.pending_submissions.clear()
        bench.entry.timers.clear()
        jobs.clear()
        gc.collect()
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        started = time.process_time()
        core.tick(bench.entry, bench.now)
        run_until_idle(bench)
        takeover_times.append((size, (time.process_time() - started) * 1e3))
    return [
        Series(name="agent state by ledger records", unit="KiB", points=memory),
        Series(name="takeover by ledger records of one agent", unit="ms", points=takeover_times),
    ]


def measure_teams(sizes: list[int]) -> Series:
    """Measures the processor time to run a queued job by the number of teams with queued jobs."""
    points = []
    for size in sizes:
        bench = build_ready_bench(4)
        now = bench.now
        jobs = [
            Submission(
                key=JobKey(team=f"t{number % size}", job_id=f"j{number}"),
                digest=b"d",
                task_class=TaskClass.NORMAL,
                deadline=now + 60,
                service=SERVICE,
                tasks=(TaskSpec(payload=b"x", run_time=0.1),),
                issued_at=now,
            )
            for number in range(2400)
        ]
        for number, submission in enumerate(jobs):
            submit_job(bench.entry, number, submission, now)
        started = time.process_time()
        run_until_idle(bench)
        points.append((size, (time.process_time() - started) / len(jobs) * 1e6))
    return Series(name="start of a waiting job by teams that wait", unit="us", points=points)


def measure_entries(sizes: list[int]) -> Series:
    """Measures an entry's processor time per second for heartbeats by the number of peers."""
    points = []
    for size in sizes:
        bench = build_ready_bench(1)
        names = [f"p{number}@1" for number in range(size)]
        core.update_peers(bench.entry, names, bench.now)
        for name in names:
            core.connect_peer(bench.entry, name)
        frames = [
            PeerFrame(
                entry=name,
                recipient="e@1",
                session=1,
                leaving=False,
                floor_version=1,
                roster_revision=1,
                messages=(),
            )
            for name in names
        ]
        started = time.process_time()
        # Entries send two heartbeats a second.
        for _ in range(2):
            for frame in frames:
                wire = peer_codec.encode_peer_frame(frame).SerializeToString()
                parsed = peer_codec.decode_peer_frame(pb.PeerFrame.FromString(wire))
                core.receive_peer_frame(bench.entry, parsed, bench.now)
            core.flush(bench.entry, bench.now)
        points.append((size, (time.process_time() - started) * 1e6))
    return Series(name="heartbeats between entries, a second", unit="us", points=points)


def fit_line(series: Series) -> tuple[float, float, float]:
    """Fits a line over the sizes, or over one divided by the sizes for an inverse series.

    Returns:
        Slope, intercept and the largest residual as a share of the largest value.
    """
    sizes, values = np.array(series.points, dtype=float).T
    sizes = 1 / sizes if series.inverse else sizes
    slope, intercept = np.polyfit(sizes, values, 1)
    residual = np.abs(values - (slope * sizes + intercept)).max() / np.abs(values).max()
    return float(slope), float(intercept), float(residual)


def main() -> None:
    """Measures all series and prints them as a table or, with `--json`, as JSON."""
    measures: list[Callable[[], list[Series]]] = [
        lambda: measure_targets([10, 20, 40, 80, 160]),
        lambda: measure_batches([1, 10, 100, 970]),
        lambda: [measure_jobs([500, 1000, 2000, 4000])],
        lambda: [measure_answers([500, 1000, 2000, 4000])],
        lambda: measure_ledger([1000, 2000, 4000, 8000]),
        lambda: [measure_teams([1, 15, 30, 60, 120])],
        lambda: [measure_entries([5, 10, 20, 40])],
    ]
    series = [item for measure in measures for item in measure()]
    rows = []
    for item in series:
        slope, intercept, residual = fit_line(item)
        rows.append(
            {
                "series": item.name,
                "unit": item.unit,
                "points": [[size, round(value, 2)] for size, value in item.points],
                "slope": slope,
                "intercept": intercept,
                "residual": residual,
            }
        )
    if "--json" in sys.argv:
        print(json.dumps(rows, indent=1))
        return
    for row in rows:
        points = ", ".join(f"{size:g}: {value:g}" for size, value in row["points"])
        print(f"{row['series']} [{row['unit']}]: {points}")
        print(
            f"    slope {row['slope']:.4g}, intercept {row['intercept']:.4g}, "
            f"residual {row['residual']:.1%}"
        )


if __name__ == "__main__":
    main()
