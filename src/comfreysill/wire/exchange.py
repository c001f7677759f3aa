"""Conversion of the frames in `comfreysill.exchange` to and from their protobuf form.

The frames go between entries and agents on the platform. The decoders accept only values that the
decisions can work with, and raise `FrameError` for all others.
"""

import math
from collections.abc import Sequence

from comfreysill.crashes.report import CrashReport
from comfreysill.exchange.messages import (
    AgentFrame,
    Batch,
    Ended,
    EntryFrame,
    LateStart,
    Load,
    Order,
    Outcome,
    Profile,
)
from comfreysill.exchange.speeds import RouteSpeed
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.errors import FrameError
from comfreysill.wire.fields import (
    MAX_NAME_CHARS,
    check_address,
    check_amount,
    check_name,
    check_number,
    check_optional_address,
)
from comfreysill.zones.closures import MAX_ZONES, ZoneStatus

# Largest version of the store.
MAX_VERSION = 2**53 - 1
MAX_ORDERS = 10_000
# Further routes in a load are left out.
MAX_ROUTES = 64
MAX_CRASHED_TASKS = 10_000
_OUTCOMES = frozenset(Outcome)


def encode_entry_frame(frame: EntryFrame) -> pb.ToAgent:
    """Encodes a frame from an entry to an agent."""
    return pb.ToAgent(
        entry=frame.entry,
        session=frame.session,
        number=frame.number,
        echo=frame.echo,
        # `hunger` is the wire name of `demand_rank`.
        hunger=frame.demand_rank,
        ended_seen=frame.ended_seen,
        batches=[_encode_batch(batch) for batch in frame.batches],
        stops=frame.stops,
        entries=frame.entries,
        routes_version=frame.routes_version,
        zones=_encode_zones(frame.zones),
    )


def decode_entry_frame(message: pb.ToAgent) -> EntryFrame:
    """Decodes a frame from an entry to an agent.

    Raises:
        FrameError: A field is out of range.
    """
    return EntryFrame(
        entry=check_name(message.entry, "entry"),
        session=message.session,
        number=message.number,
        echo=check_number(message.echo, "echo"),
        demand_rank=message.hunger,
        ended_seen=message.ended_seen,
        batches=[_decode_batch(batch) for batch in message.batches],
        stops=list(message.stops),
        entries=[check_address(address, "entries") for address in message.entries],
        routes_version=message.routes_version,
        zones=_decode_zones(message.zones),
    )


def _encode_batch(batch: Batch) -> pb.Batch:
    return pb.Batch(
        request_id=batch.request_id,
        payload=batch.payload,
        priority=batch.priority,
        due=batch.due,
        cpu=batch.cpu,
        memory_mb=batch.memory_mb,
        gpus=batch.gpus,
        estimate=batch.estimate,
        orders=[
            pb.Order(step=order.step, index=order.index, attempt=order.attempt, moves=order.moves)
            for order in batch.orders
        ],
        isolated=batch.isolated,
        route=batch.route,
        # 0 stands for an unknown time, which earlier versions don't send.
        stop_at=batch.stop_at if batch.stop_at < math.inf else 0.0,
        valid_until=batch.valid_until if batch.valid_until < math.inf else 0.0,
        # 0 stands for 1, which earlier versions mean.
        run_factor=batch.run_factor if batch.run_factor != 1.0 else 0.0,
    )


def _decode_batch(message: pb.Batch) -> Batch:
    if len(message.orders) > MAX_ORDERS:
        raise FrameError(f"batches.orders: {len(message.orders)} orders")
    return Batch(
        request_id=check_name(message.request_id, "batches.request_id"),
        payload=message.payload,
        priority=message.priority,
        due=check_number(message.due, "batches.due"),
        cpu=check_amount(message.cpu, "batches.cpu"),
        memory_mb=check_amount(message.memory_mb, "batches.memory_mb"),
        gpus=check_amount(message.gpus, "batches.gpus"),
        estimate=check_number(message.estimate, "batches.estimate"),
        orders=[
            Order(step=order.step, index=order.index, attempt=order.attempt, moves=order.moves)
            for order in message.orders
        ],
        isolated=message.isolated,
        route=message.route[:MAX_NAME_CHARS],
        stop_at=check_number(message.stop_at, "batches.stop_at") or math.inf,
        valid_until=check_number(message.valid_until, "batches.valid_until") or math.inf,
        run_factor=check_number(message.run_factor, "batches.run_factor") or 1.0,
    )


def encode_agent_frame(frame: AgentFrame) -> pb.ToEntry:
    """Encodes a frame from an agent to an entry."""
    return pb.ToEntry(
        agent=frame.agent,
        lifetime=frame.lifetime,
        session=frame.session,
        seen=frame.seen,
        stamp=frame.stamp,
        load=_encode_load(frame.load),
        profile=_encode_profile(frame.profile) if frame.profile is not None else None,
        ended=[_encode_end(end) for end in frame.ended],
        active=frame.active,
        unconfirmed=frame.unconfirmed,
        opening=frame.opening,
        routes_version=frame.routes_version,
        routes_holder=frame.routes_holder,
        next_seconds=frame.next_seconds,
        crashes=[_encode_crash(crash) for crash in frame.crashes],
        late_starts=[
            pb.LateStart(task=late_start.task, seconds=late_start.seconds)
            for late_start in frame.late_starts
        ],
        zones=_encode_zones(frame.zones),
    )


def decode_agent_frame(message: pb.ToEntry) -> AgentFrame:
    """Decodes a frame from an agent to an entry.

    Raises:
        FrameError: A field is missing, unknown or out of range.
    """
    if message.opening and not message.HasField("profile"):
        raise FrameError("profile: the first frame of a session has none")
    return AgentFrame(
        agent=check_name(message.agent, "agent"),
        lifetime=check_name(message.lifetime, "lifetime"),
        session=message.session,
        seen=message.seen,
        stamp=check_number(message.stamp, "stamp"),
        load=_decode_load(message.load),
        profile=_decode_profile(message.profile) if message.HasField("profile") else None,
        ended=[_decode_end(end) for end in message.ended],
        active=list(message.active),
        unconfirmed=list(message.unconfirmed),
        opening=message.opening,
        routes_version=message.routes_version,
        routes_holder=check_optional_address(message.routes_holder, "routes_holder"),
        next_seconds=check_number(message.next_seconds, "next_seconds"),
        crashes=tuple(_decode_crash(crash) for crash in message.crashes),
        late_starts=tuple(_decode_late_start(item) for item in message.late_starts),
        zones=_decode_zones(message.zones),
    )


def _encode_load(load: Load) -> pb.Load:
    return pb.Load(
        accepting=load.accepting,
        cpu=load.cpu,
        memory_mb=load.memory_mb,
        gpus=load.gpus,
        slowness=load.slowness,
        isolating=load.isolating,
        routes=[
            pb.RouteSpeed(
                route=speed.route, factor=speed.factor, samples=speed.samples, age=speed.age
            )
            for speed in load.routes
        ],
    )


def _decode_load(message: pb.Load) -> Load:
    return Load(
        accepting=message.accepting,
        cpu=message.cpu,
        memory_mb=message.memory_mb,
        gpus=message.gpus,
        slowness=check_number(message.slowness, "load.slowness"),
        isolating=message.isolating,
        routes=tuple(_decode_speed(speed) for speed in message.routes[:MAX_ROUTES]),
    )


def _decode_speed(message: pb.RouteSpeed) -> RouteSpeed:
    return RouteSpeed(
        route=message.route[:MAX_NAME_CHARS],
        factor=check_number(message.factor, "load.routes.factor"),
        samples=message.samples,
        age=check_number(message.age, "load.routes.age"),
    )


def _encode_crash(crash: CrashReport) -> pb.Crash:
    return pb.Crash(crash_id=crash.crash_id, tasks=crash.tasks, route=crash.route)


def _decode_crash(message: pb.Crash) -> CrashReport:
    if len(message.tasks) > MAX_CRASHED_TASKS:
        raise FrameError(f"crashes.tasks: {len(message.tasks)} tasks")
    return CrashReport(
        crash_id=check_name(message.crash_id, "crashes.crash_id"),
        tasks=tuple(check_name(task, "crashes.tasks") for task in message.tasks),
        route=message.route[:MAX_NAME_CHARS],
    )


def _decode_late_start(message: pb.LateStart) -> LateStart:
    return LateStart(
        task=check_name(message.task, "late_starts.task"),
        seconds=check_number(message.seconds, "late_starts.seconds"),
    )


def _encode_zones(statuses: tuple[ZoneStatus, ...]) -> list[pb.ZoneStatus]:
    return [
        pb.ZoneStatus(zone=status.zone, version=status.version, closed=status.closed)
        for status in statuses
    ]


def _decode_zones(messages: Sequence[pb.ZoneStatus]) -> tuple[ZoneStatus, ...]:
    if len(messages) > MAX_ZONES:
        raise FrameError(f"zones: {len(messages)} zones")
    return tuple(_decode_zone(message) for message in messages)


def _decode_zone(message: pb.ZoneStatus) -> ZoneStatus:
    if message.version > MAX_VERSION:
        raise FrameError(f"zones.version: {message.version}")
    return ZoneStatus(
        zone=check_name(message.zone, "zones.zone"),
        version=message.version,
        closed=message.closed,
    )


def _encode_profile(profile: Profile) -> pb.Profile:
    return pb.Profile(
        service=profile.service,
        zone=profile.zone,
        cpu=profile.cpu,
        memory_mb=profile.memory_mb,
        gpus=profile.gpus,
        labels=profile.labels,
    )


def _decode_profile(message: pb.Profile) -> Profile:
    return Profile(
        service=message.service,
        zone=message.zone,
        cpu=check_amount(message.cpu, "profile.cpu"),
        memory_mb=check_amount(message.memory_mb, "profile.memory_mb"),
        gpus=check_amount(message.gpus, "profile.gpus"),
        labels=tuple(message.labels),
    )


def _encode_end(end: Ended) -> pb.Ended:
    return pb.Ended(
        number=end.number,
        task=end.task,
        attempt=end.attempt,
        outcome=end.outcome,
        seconds=end.seconds,
        detail=end.detail,
        late_seconds=end.late_seconds,
    )


def _decode_end(message: pb.Ended) -> Ended:
    if message.outcome not in _OUTCOMES:
        raise FrameError(f"ended.outcome: {message.outcome}")
    return Ended(
        number=message.number,
        task=message.task,
        attempt=message.attempt,
        outcome=Outcome(message.outcome),
        seconds=check_number(message.seconds, "ended.seconds"),
        detail=message.detail,
        late_seconds=check_number(message.late_seconds, "ended.late_seconds"),
    )
