"""Conversion of the frames in `comfreysill.target` to and from their protobuf form.

The frames go between entries and agents of the job API; those on the platform are in
`comfreysill.wire.exchange`.
"""

from comfreysill.job.types import TaskClass
from comfreysill.target.frames import AgentFrame, EntryFrame, Load
from comfreysill.target.messages import (
    AgentMessage,
    CancelTasks,
    Claim,
    Claimed,
    EntryMessage,
    Fenced,
    LedgerRecord,
    Outcome,
    PartitionClaim,
    RefusalCause,
    Refused,
    SetDraining,
    StartBatch,
    TaskDone,
    TaskStart,
)
from comfreysill.wire import comfreysill_pb2 as pb
from comfreysill.wire.errors import FrameError, check_finite, decode_enum
from comfreysill.wire.shared import (
    decode_claim,
    decode_floor,
    decode_key,
    encode_claim,
    encode_floor,
    encode_key,
)


def encode_entry_frame(frame: EntryFrame) -> pb.EntryFrame:
    """Encodes a frame from an entry to an agent."""
    return pb.EntryFrame(
        entry=frame.entry,
        session=frame.session,
        sequence=frame.sequence,
        floor_version=frame.floor_version,
        load_wanted=frame.load_wanted,
        ack_wanted=frame.ack_wanted,
        messages=[_encode_entry_message(message) for message in frame.messages],
    )


def decode_entry_frame(frame: pb.EntryFrame) -> EntryFrame:
    """Decodes a frame from an entry to an agent.

    Raises:
        FrameError: A field is unknown or out of range.
    """
    return EntryFrame(
        entry=frame.entry,
        session=frame.session,
        sequence=frame.sequence,
        floor_version=frame.floor_version,
        load_wanted=frame.load_wanted,
        ack_wanted=frame.ack_wanted,
        messages=tuple(_decode_entry_message(message) for message in frame.messages),
    )


def encode_agent_frame(frame: AgentFrame) -> pb.AgentFrame:
    """Encodes a frame from an agent to an entry."""
    return pb.AgentFrame(
        agent=frame.agent,
        incarnation=frame.incarnation,
        session=frame.session,
        sequence=frame.sequence,
        acknowledged=frame.acknowledged,
        slots=frame.load.slots,
        queue_limit=frame.load.queue_limit,
        running=frame.load.running,
        queued=frame.load.queued,
        active=frame.load.active,
        draining=frame.load.draining,
        floor_version=frame.load.floor_version,
        messages=[_encode_agent_message(message) for message in frame.messages],
    )


def decode_agent_frame(frame: pb.AgentFrame) -> AgentFrame:
    """Decodes a frame from an agent to an entry.

    Raises:
        FrameError: A field is unknown or out of range.
    """
    load = Load(
        slots=frame.slots,
        queue_limit=frame.queue_limit,
        running=frame.running,
        queued=frame.queued,
        active=tuple(frame.active),
        draining=frame.draining,
        floor_version=frame.floor_version,
    )
    return AgentFrame(
        agent=frame.agent,
        incarnation=frame.incarnation,
        session=frame.session,
        sequence=frame.sequence,
        acknowledged=frame.acknowledged,
        load=load,
        messages=tuple(_decode_agent_message(message) for message in frame.messages),
    )


def _encode_entry_message(message: EntryMessage) -> pb.EntryMessage:
    if isinstance(message, StartBatch):
        return pb.EntryMessage(start=_encode_batch(message))
    if isinstance(message, Claim):
        claims = [encode_claim(claim) for claim in message.claims]
        return pb.EntryMessage(claim=pb.ClaimSet(claims=claims))
    if isinstance(message, CancelTasks):
        names = [encode_key(key) for key in message.keys]
        return pb.EntryMessage(cancel=pb.JobNames(names=names))
    if isinstance(message, SetDraining):
        return pb.EntryMessage(draining=pb.Draining(draining=message.draining))
    return pb.EntryMessage(floor=encode_floor(message))


def _decode_entry_message(message: pb.EntryMessage) -> EntryMessage:
    kind = message.WhichOneof("kind")
    if kind == "start":
        return _decode_batch(message.start)
    if kind == "claim":
        return Claim(claims=tuple(decode_claim(claim) for claim in message.claim.claims))
    if kind == "cancel":
        return CancelTasks(keys=tuple(decode_key(name) for name in message.cancel.names))
    if kind == "draining":
        return SetDraining(draining=message.draining.draining)
    if kind is None:
        raise FrameError("messages: one of an unknown kind")
    return decode_floor(message.floor)


def _encode_agent_message(message: AgentMessage) -> pb.AgentMessage:
    if isinstance(message, TaskDone):
        return pb.AgentMessage(done=_encode_task_done(message))
    if isinstance(message, Refused):
        return pb.AgentMessage(refused=_encode_refused(message))
    if isinstance(message, Fenced):
        return pb.AgentMessage(fenced=encode_claim(message.claim))
    return pb.AgentMessage(claimed=_encode_claimed(message))


def _decode_agent_message(message: pb.AgentMessage) -> AgentMessage:
    kind = message.WhichOneof("kind")
    if kind == "done":
        return _decode_task_done(message.done)
    if kind == "refused":
        return _decode_refused(message.refused)
    if kind == "fenced":
        return Fenced(claim=decode_claim(message.fenced))
    if kind is None:
        raise FrameError("messages: one of an unknown kind")
    return _decode_claimed(message.claimed)


def _encode_batch(batch: StartBatch) -> pb.StartBatch:
    claim = PartitionClaim(partition=batch.partition, epoch=batch.epoch)
    return pb.StartBatch(
        team=batch.key.team,
        job_id=batch.key.job_id,
        digest=batch.digest,
        claim=encode_claim(claim),
        authority_until=batch.authority_until,
        task_class=int(batch.task_class),
        deadline=batch.deadline,
        expires_at=batch.expires_at,
        service=batch.service,
        tasks=[_encode_task_start(task) for task in batch.tasks],
    )


def _decode_batch(batch: pb.StartBatch) -> StartBatch:
    claim = decode_claim(batch.claim)
    return StartBatch(
        key=decode_key(batch),
        digest=batch.digest,
        partition=claim.partition,
        epoch=claim.epoch,
        authority_until=check_finite(batch.authority_until, "authority_until"),
        task_class=decode_enum(TaskClass, batch.task_class, "task_class"),
        deadline=check_finite(batch.deadline, "deadline"),
        expires_at=check_finite(batch.expires_at, "expires_at"),
        service=batch.service,
        tasks=tuple(_decode_task_start(task) for task in batch.tasks),
    )


def _encode_task_start(task: TaskStart) -> pb.TaskStart:
    return pb.TaskStart(
        index=task.index,
        attempt=task.attempt,
        payload=task.payload,
        run_time=task.run_time,
        idempotent=task.idempotent,
    )


def _decode_task_start(task: pb.TaskStart) -> TaskStart:
    return TaskStart(
        index=task.index,
        attempt=task.attempt,
        payload=task.payload,
        run_time=check_finite(task.run_time, "run_time"),
        idempotent=task.idempotent,
    )


def _encode_claimed(message: Claimed) -> pb.Claimed:
    return pb.Claimed(
        claims=[encode_claim(claim) for claim in message.claims],
        previous=[encode_claim(claim) for claim in message.previous],
        records=[_encode_record(record) for record in message.records],
        last=message.last,
        lost_at=message.lost_at,
    )


def _decode_claimed(message: pb.Claimed) -> Claimed:
    return Claimed(
        claims=tuple(decode_claim(claim) for claim in message.claims),
        previous=tuple(decode_claim(claim) for claim in message.previous),
        records=tuple(_decode_record(record) for record in message.records),
        last=message.last,
        lost_at=check_finite(message.lost_at, "lost_at"),
    )


def _encode_record(record: LedgerRecord) -> pb.LedgerRecord:
    return pb.LedgerRecord(
        team=record.key.team,
        job_id=record.key.job_id,
        digest=record.digest,
        partition=record.partition,
        index=record.index,
        attempt=record.attempt,
        outcome=int(record.outcome),
        payload=record.payload,
        run_seconds=record.run_seconds,
    )


def _decode_record(record: pb.LedgerRecord) -> LedgerRecord:
    return LedgerRecord(
        key=decode_key(record),
        digest=record.digest,
        partition=record.partition,
        index=record.index,
        attempt=record.attempt,
        outcome=decode_enum(Outcome, record.outcome, "outcome"),
        payload=record.payload,
        run_seconds=check_finite(record.run_seconds, "run_seconds"),
    )


def _encode_task_done(message: TaskDone) -> pb.TaskDone:
    return pb.TaskDone(
        team=message.key.team,
        job_id=message.key.job_id,
        index=message.index,
        attempt=message.attempt,
        outcome=int(message.outcome),
        payload=message.payload,
        run_seconds=message.run_seconds,
    )


def _decode_task_done(message: pb.TaskDone) -> TaskDone:
    return TaskDone(
        key=decode_key(message),
        index=message.index,
        attempt=message.attempt,
        outcome=decode_enum(Outcome, message.outcome, "outcome"),
        payload=message.payload,
        run_seconds=check_finite(message.run_seconds, "run_seconds"),
    )


def _encode_refused(message: Refused) -> pb.Refused:
    return pb.Refused(
        team=message.key.team,
        job_id=message.key.job_id,
        attempts=[pb.Attempt(index=index, attempt=attempt) for index, attempt in message.attempts],
        cause=int(message.cause),
    )


def _decode_refused(message: pb.Refused) -> Refused:
    return Refused(
        key=decode_key(message),
        attempts=tuple((item.index, item.attempt) for item in message.attempts),
        cause=decode_enum(RefusalCause, message.cause, "cause"),
    )
