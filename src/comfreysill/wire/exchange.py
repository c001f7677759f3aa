"""Conversion of the frames in `comfreysill.exchange` to and from their protobuf form.

The frames go between entries and agents on the platform.
"""

from comfreysill.exchange.messages import (
    AgentFrame,
    Announcement,
    Batch,
    Ended,
    EntryFrame,
    Load,
    Order,
    Outcome,
    Profile,
)
from comfreysill.wire import exchange_pb2 as pb


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
    )


def decode_entry_frame(message: pb.ToAgent) -> EntryFrame:
    """Decodes a frame from an entry to an agent."""
    return EntryFrame(
        entry=message.entry,
        session=message.session,
        number=message.number,
        echo=message.echo,
        demand_rank=message.hunger,
        ended_seen=message.ended_seen,
        batches=[_decode_batch(batch) for batch in message.batches],
        stops=list(message.stops),
        entries=list(message.entries),
        routes_version=message.routes_version,
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
            pb.Order(step=order.step, index=order.index, attempt=order.attempt)
            for order in batch.orders
        ],
    )


def _decode_batch(message: pb.Batch) -> Batch:
    return Batch(
        request_id=message.request_id,
        payload=message.payload,
        priority=message.priority,
        due=message.due,
        cpu=message.cpu,
        memory_mb=message.memory_mb,
        gpus=message.gpus,
        estimate=message.estimate,
        orders=[
            Order(step=order.step, index=order.index, attempt=order.attempt)
            for order in message.orders
        ],
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
        opening=frame.opening,
        routes_version=frame.routes_version,
        routes_holder=frame.routes_holder,
        next_seconds=frame.next_seconds,
    )


def decode_agent_frame(message: pb.ToEntry) -> AgentFrame:
    """Decodes a frame from an agent to an entry."""
    return AgentFrame(
        agent=message.agent,
        lifetime=message.lifetime,
        session=message.session,
        seen=message.seen,
        stamp=message.stamp,
        load=_decode_load(message.load),
        profile=_decode_profile(message.profile) if message.HasField("profile") else None,
        ended=[_decode_end(end) for end in message.ended],
        active=list(message.active),
        opening=message.opening,
        routes_version=message.routes_version,
        routes_holder=message.routes_holder,
        next_seconds=message.next_seconds,
    )


def encode_announcement(announcement: Announcement) -> pb.Announcement:
    """Encodes an announcement, which an agent sends to entries without a link to it."""
    return pb.Announcement(
        agent=announcement.agent, address=announcement.address, service=announcement.service
    )


def decode_announcement(message: pb.Announcement) -> Announcement:
    """Decodes an announcement."""
    return Announcement(agent=message.agent, address=message.address, service=message.service)


def _encode_load(load: Load) -> pb.Load:
    return pb.Load(
        accepting=load.accepting,
        cpu=load.cpu,
        memory_mb=load.memory_mb,
        gpus=load.gpus,
        slowness=load.slowness,
    )


def _decode_load(message: pb.Load) -> Load:
    return Load(
        accepting=message.accepting,
        cpu=message.cpu,
        memory_mb=message.memory_mb,
        gpus=message.gpus,
        slowness=message.slowness,
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
        cpu=message.cpu,
        memory_mb=message.memory_mb,
        gpus=message.gpus,
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
    )


def _decode_end(message: pb.Ended) -> Ended:
    return Ended(
        number=message.number,
        task=message.task,
        attempt=message.attempt,
        outcome=Outcome(message.outcome),
        seconds=message.seconds,
        detail=message.detail,
    )
