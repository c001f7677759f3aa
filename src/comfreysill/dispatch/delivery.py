"""Delivery of answers; the verdict "not run" is delivered only once ownership is validated."""

from collections.abc import Iterable

from comfreysill.dispatch.authority import find_validated_cycle
from comfreysill.dispatch.messages import Answered, ReadRoster
from comfreysill.dispatch.state import (
    VALIDATION_TIMEOUT_SECONDS,
    Dispatcher,
    UnvalidatedAnswer,
    count,
)
from comfreysill.dispatch.submissions import resolve_submission
from comfreysill.job.types import Answer, Verdict
from comfreysill.partition.epoch import NO_EPOCH
from comfreysill.partition.hashing import find_partition
from comfreysill.partition.owned import OwnedPartition


def deliver_answer(
    dispatcher: Dispatcher, answer: Answer, listeners: Iterable[str], now: float
) -> None:
    """Queues an answer for the entries that wait for it.

    An answer with the verdict "not run" is held until a majority of agents has acknowledged a
    frame sent since. This proves that no other entry, which might have run the job, had taken over
    the partition when the answer was set. Without agents, a read of the roster since proves it.
    """
    if answer.verdict != Verdict.NOT_RUN:
        _send_answer(dispatcher, answer, listeners)
        return
    owned_partition = dispatcher.owned_partitions.get(find_partition(answer.key))
    dispatcher.unvalidated_answers.append(
        UnvalidatedAnswer(
            answer=answer,
            listeners=frozenset(listeners),
            epoch=owned_partition.epoch if owned_partition is not None else NO_EPOCH,
            held_at=now,
            cycle=dispatcher.cycle,
        )
    )
    dispatcher.required_ack_cycle = dispatcher.cycle
    if not dispatcher.targets:
        dispatcher.effects.append(ReadRoster())


def release_validated_answers(dispatcher: Dispatcher, now: float) -> None:
    """Queues held answers once ownership is validated.

    After a timeout the verdict becomes "may have run". Answers of partitions that this entry no
    longer owns are dropped.
    """
    if not dispatcher.unvalidated_answers:
        return
    still_held = []
    for held_answer in dispatcher.unvalidated_answers:
        owned_partition = dispatcher.owned_partitions.get(find_partition(held_answer.answer.key))
        if owned_partition is None:
            count(dispatcher, "proofs_dropped")
        elif _is_validated(dispatcher, owned_partition, held_answer):
            _send_answer(dispatcher, held_answer.answer, held_answer.listeners)
        elif now >= held_answer.held_at + VALIDATION_TIMEOUT_SECONDS:
            held_answer.answer.verdict = Verdict.MAY_HAVE_RUN
            count(dispatcher, "proofs_missing")
            _send_answer(dispatcher, held_answer.answer, held_answer.listeners)
        else:
            still_held.append(held_answer)
    dispatcher.unvalidated_answers = still_held


def _is_validated(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, held_answer: UnvalidatedAnswer
) -> bool:
    if owned_partition.epoch != held_answer.epoch:
        return False
    # Without agents there is no majority that could acknowledge a frame.
    if not dispatcher.targets and not owned_partition.granted_ever:
        return _is_without_agents(dispatcher, owned_partition, held_answer.held_at)
    return find_validated_cycle(dispatcher, owned_partition) >= held_answer.cycle


def _is_without_agents(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, since: float
) -> bool:
    """Returns whether a read of the roster begun since a Unix time showed that there was no agent.

    An agent that came and went since the partition was opened shows by the loss of its ledger.
    """
    return (
        owned_partition.open
        and not owned_partition.unread_ledgers
        and dispatcher.roster_read_at >= since
        and dispatcher.ledgers_lost_at <= owned_partition.lost_at
    )


def _send_answer(dispatcher: Dispatcher, answer: Answer, listeners: Iterable[str]) -> None:
    for listener in listeners:
        if listener == dispatcher.name:
            resolve_submission(dispatcher, answer, listener)
        elif listener in dispatcher.peers:
            dispatcher.peers[listener].outbox.append(Answered(answer=answer))
