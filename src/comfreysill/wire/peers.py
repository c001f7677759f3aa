"""Conversion of the frames between entries in `comfreysill.dispatch` to and from protobuf."""

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
    PeerMessage,
)
from comfreysill.job.types import (
    Answer,
    JobKey,
    Reason,
    Submission,
    TaskClass,
    TaskSpec,
    Verdict,
)
from comfreysill.partition.owned import RecoveredAttempt
from comfreysill.target.messages import Outcome, PartitionClaim
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


def encode_peer_frame(frame: PeerFrame) -> pb.PeerFrame:
    """Encodes a frame from one entry to another."""
    return pb.PeerFrame(
        entry=frame.entry,
        recipient=frame.recipient,
        session=frame.session,
        leaving=frame.leaving,
        floor_version=frame.floor_version,
        roster_revision=frame.roster_revision,
        messages=[_encode_peer_message(message) for message in frame.messages],
    )


def decode_peer_frame(frame: pb.PeerFrame) -> PeerFrame:
    """Decodes a frame from one entry to another.

    Raises:
        FrameError: A field is unknown or out of range.
    """
    return PeerFrame(
        entry=frame.entry,
        recipient=frame.recipient,
        session=frame.session,
        leaving=frame.leaving,
        floor_version=frame.floor_version,
        roster_revision=frame.roster_revision,
        messages=tuple(_decode_peer_message(message) for message in frame.messages),
    )


def _encode_peer_message(message: PeerMessage) -> pb.PeerMessage:
    if isinstance(message, Forward):
        return pb.PeerMessage(forward=_encode_submission(message.submission))
    if isinstance(message, Answered):
        return pb.PeerMessage(answered=_encode_answer(message.answer))
    if isinstance(message, NotOwner):
        return pb.PeerMessage(not_owner=encode_key(message.key))
    if isinstance(message, CancelJob):
        return pb.PeerMessage(cancel=encode_key(message.key))
    if isinstance(message, CancelWave):
        return pb.PeerMessage(wave=_encode_wave(message))
    if isinstance(message, Handover):
        return pb.PeerMessage(handover=_encode_handover(message))
    return pb.PeerMessage(floor=encode_floor(message))


def _decode_peer_message(message: pb.PeerMessage) -> PeerMessage:
    kind = message.WhichOneof("kind")
    if kind == "forward":
        return Forward(submission=_decode_submission(message.forward))
    if kind == "answered":
        return Answered(answer=_decode_answer(message.answered))
    if kind == "not_owner":
        return NotOwner(key=decode_key(message.not_owner))
    if kind == "cancel":
        return CancelJob(key=decode_key(message.cancel))
    if kind == "wave":
        return _decode_wave(message.wave)
    if kind == "handover":
        return _decode_handover(message.handover)
    if kind is None:
        raise FrameError("messages: one of an unknown kind")
    return decode_floor(message.floor)


def _encode_submission(submission: Submission) -> pb.Submission:
    return pb.Submission(
        team=submission.key.team,
        job_id=submission.key.job_id,
        digest=submission.digest,
        task_class=int(submission.task_class),
        deadline=submission.deadline,
        service=submission.service,
        issued_at=submission.issued_at,
        tasks=[
            pb.TaskSpec(
                payload=task.payload,
                run_time=task.run_time,
                size_mb=task.size_mb,
                idempotent=task.idempotent,
            )
            for task in submission.tasks
        ],
    )


def _decode_submission(submission: pb.Submission) -> Submission:
    return Submission(
        key=JobKey(team=submission.team, job_id=submission.job_id),
        digest=submission.digest,
        task_class=decode_enum(TaskClass, submission.task_class, "task_class"),
        deadline=check_finite(submission.deadline, "deadline"),
        service=submission.service,
        issued_at=check_finite(submission.issued_at, "issued_at"),
        tasks=tuple(
            TaskSpec(
                payload=task.payload,
                run_time=check_finite(task.run_time, "run_time"),
                size_mb=task.size_mb,
                idempotent=task.idempotent,
            )
            for task in submission.tasks
        ),
    )


def _encode_answer(answer: Answer) -> pb.Answer:
    return pb.Answer(
        team=answer.key.team,
        job_id=answer.key.job_id,
        complete=answer.complete,
        verdict=int(answer.verdict),
        reason=int(answer.reason),
        detail=answer.detail,
        results=answer.results,
        retry_at=answer.retry_at,
    )


def _decode_answer(answer: pb.Answer) -> Answer:
    return Answer(
        key=JobKey(team=answer.team, job_id=answer.job_id),
        complete=answer.complete,
        verdict=decode_enum(Verdict, answer.verdict, "verdict"),
        reason=decode_enum(Reason, answer.reason, "reason"),
        detail=answer.detail,
        results=tuple(answer.results),
        retry_at=check_finite(answer.retry_at, "retry_at"),
    )


def _encode_wave(wave: CancelWave) -> pb.CancelWave:
    task_class = None if wave.task_class is None else int(wave.task_class)
    return pb.CancelWave(team=wave.team, task_class=task_class)


def _decode_wave(wave: pb.CancelWave) -> CancelWave:
    task_class = (
        decode_enum(TaskClass, wave.task_class, "task_class")
        if wave.HasField("task_class")
        else None
    )
    return CancelWave(team=wave.team, task_class=task_class)


def _encode_handover(message: Handover) -> pb.Handover:
    claim = PartitionClaim(partition=message.partition, epoch=message.epoch)
    return pb.Handover(
        claim=encode_claim(claim),
        known_since=message.known_since,
        jobs=[_encode_handed_job(job) for job in message.jobs],
        last=message.last,
    )


def _decode_handover(message: pb.Handover) -> Handover:
    claim = decode_claim(message.claim)
    return Handover(
        partition=claim.partition,
        epoch=claim.epoch,
        known_since=check_finite(message.known_since, "known_since"),
        jobs=tuple(_decode_handed_job(job) for job in message.jobs),
        last=message.last,
    )


def _encode_handed_job(job: HandedJob) -> pb.HandedJob:
    return pb.HandedJob(
        team=job.key.team,
        job_id=job.key.job_id,
        digest=job.digest,
        tasks=[_encode_handed_task(item) for item in job.tasks],
    )


def _decode_handed_job(job: pb.HandedJob) -> HandedJob:
    return HandedJob(
        key=decode_key(job),
        digest=job.digest,
        tasks=tuple(_decode_handed_task(item) for item in job.tasks),
    )


def _encode_handed_task(item: HandedTask) -> pb.HandedTask:
    return pb.HandedTask(
        index=item.index,
        attempt=item.task.attempt,
        agent=item.task.agent,
        incarnation=item.task.incarnation,
        outcome=int(item.task.outcome),
        payload=item.task.payload,
    )


def _decode_handed_task(item: pb.HandedTask) -> HandedTask:
    task = RecoveredAttempt(
        agent=item.agent,
        incarnation=item.incarnation,
        attempt=item.attempt,
        outcome=decode_enum(Outcome, item.outcome, "outcome"),
        payload=item.payload,
    )
    return HandedTask(index=item.index, task=task)
