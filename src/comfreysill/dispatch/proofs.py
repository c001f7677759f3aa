"""Answers on their way to their listeners; "not run" is claimed only with proof of ownership."""

from collections.abc import Iterable

from comfreysill.dispatch.authority import find_validated_cycle
from comfreysill.dispatch.messages import Answered
from comfreysill.dispatch.receipts import settle_receipt
from comfreysill.dispatch.state import PROOF_WAIT_SECONDS, Dispatcher, Proof, count
from comfreysill.job.types import Answer, Verdict
from comfreysill.partition.epoch import NO_EPOCH
from comfreysill.partition.hashing import find_partition
from comfreysill.partition.owned import OwnedPartition


def deliver_answer(
    dispatcher: Dispatcher, answer: Answer, listeners: Iterable[str], now: float
) -> None:
    """Sends an answer to the entries that wait for it.

    An answer with the verdict "not run" waits until a majority of agents has confirmed that no
    other entry has taken the partition over, and might have run the job, in the meantime.
    """
    if answer.verdict != Verdict.NOT_RUN:
        _send_answer(dispatcher, answer, listeners)
        return
    owned_partition = dispatcher.owned_partitions.get(find_partition(answer.key))
    dispatcher.proofs.append(
        Proof(
            answer=answer,
            listeners=frozenset(listeners),
            epoch=owned_partition.epoch if owned_partition is not None else NO_EPOCH,
            asked_at=now,
            cycle=dispatcher.cycle,
        )
    )
    dispatcher.ping_cycle = dispatcher.cycle


def release_proofs(dispatcher: Dispatcher, now: float) -> None:
    """Sends the answers whose proof has come; late ones with the verdict "may have run"."""
    if not dispatcher.proofs:
        return
    waiting = []
    for proof in dispatcher.proofs:
        owned_partition = dispatcher.owned_partitions.get(find_partition(proof.answer.key))
        if owned_partition is None:
            count(dispatcher, "proofs_dropped")
        elif _is_proven(dispatcher, owned_partition, proof):
            _send_answer(dispatcher, proof.answer, proof.listeners)
        elif now >= proof.asked_at + PROOF_WAIT_SECONDS:
            proof.answer.verdict = Verdict.MAY_HAVE_RUN
            count(dispatcher, "proofs_missing")
            _send_answer(dispatcher, proof.answer, proof.listeners)
        else:
            waiting.append(proof)
    dispatcher.proofs = waiting


def _is_proven(dispatcher: Dispatcher, owned_partition: OwnedPartition, proof: Proof) -> bool:
    if owned_partition.epoch != proof.epoch:
        return False
    if not dispatcher.targets and not owned_partition.granted:
        return owned_partition.open and not owned_partition.unread_agents
    return find_validated_cycle(dispatcher, owned_partition) >= proof.cycle


def _send_answer(dispatcher: Dispatcher, answer: Answer, listeners: Iterable[str]) -> None:
    for listener in listeners:
        if listener == dispatcher.name:
            settle_receipt(dispatcher, answer, listener)
        elif listener in dispatcher.peers:
            dispatcher.peers[listener].outbox.append(Answered(answer=answer))
