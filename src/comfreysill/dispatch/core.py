"""Event handlers of the dispatcher; `flush` ends a cycle and returns the effects."""

import heapq
from collections.abc import Iterable

from comfreysill.dispatch.cancellations import cancel_wave
from comfreysill.dispatch.delivery import release_validated_answers
from comfreysill.dispatch.floors import send_floor_to_agent, send_floor_to_peer
from comfreysill.dispatch.handovers import apply_deferred_handovers, receive_handover
from comfreysill.dispatch.jobs import abandon_attempt, cancel_job, fail_and_answer, find_job
from comfreysill.dispatch.links import advance_takeovers, release_owned_partition
from comfreysill.dispatch.membership import request_removals
from comfreysill.dispatch.messages import (
    AdoptFloorUpdate,
    Answered,
    CancelJob,
    CancelWave,
    Effect,
    Forward,
    Handover,
    NotOwner,
    PeerFrame,
    ReadRoster,
    SendAgentFrame,
    SendPeerFrame,
)
from comfreysill.dispatch.ownership import (
    assign_partitions,
    claim_at_all_agents,
    find_assigned_entry,
    renew_takeovers,
)
from comfreysill.dispatch.routing import (
    receive_forward,
    receive_not_owner,
    reroute_submissions,
    unassign_from_entry,
)
from comfreysill.dispatch.starts import needs_load_report, start_tasks
from comfreysill.dispatch.state import (
    HEARTBEAT_INTERVAL_SECONDS,
    LOAD_REQUEST_INTERVAL_SECONDS,
    UNREACHABLE_RETRY_SECONDS,
    Dispatcher,
    Peer,
    count,
)
from comfreysill.dispatch.submissions import resolve_submission
from comfreysill.job.job import Job, TaskState, list_placed
from comfreysill.job.types import Reason, TaskClass
from comfreysill.target.frames import EntryFrame
from comfreysill.target.messages import (
    FloorUpdate,
    StartBatch,
)
from comfreysill.target.view import SentFrame, Target


def update_peers(dispatcher: Dispatcher, names: Iterable[str], read_at: float, now: float) -> None:
    """Updates the peers from the list of registered entries.

    A peer of which this entry learned after the read of the list had begun is kept: it may have
    registered since.

    Args:
        dispatcher: The entry.
        names: Names of all registered entries.
        read_at: Unix time in seconds at which the read began.
        now: Unix time in seconds.
    """
    registered = set(names) - {dispatcher.name}
    for name, peer in list(dispatcher.peers.items()):
        if name not in registered and peer.added_at <= read_at:
            del dispatcher.peers[name]
            unassign_from_entry(dispatcher, name, now)
    for name in registered:
        if name not in dispatcher.peers:
            dispatcher.peers[name] = Peer(name=name, added_at=now)


def connect_peer(dispatcher: Dispatcher, name: str) -> None:
    """Records a new session to another entry."""
    peer = dispatcher.peers.get(name)
    if peer is not None:
        peer.connected = True
        dispatcher.last_peer_session += 1
        peer.session = dispatcher.last_peer_session
        peer.floor_sent = 0
        peer.last_sent_at = 0.0


def disconnect_peer(dispatcher: Dispatcher, name: str, now: float) -> None:
    """Records the end of the session to another entry, and unassigns its submissions."""
    peer = dispatcher.peers.get(name)
    if peer is None:
        return
    peer.connected = False
    peer.outbox.clear()
    unassign_from_entry(dispatcher, name, now)


def handle_refused_peer(dispatcher: Dispatcher, name: str, now: float) -> None:
    """Treats a refused connection as proof that another entry's process has ended.

    A later frame of it proves the contrary.
    """
    peer = dispatcher.peers.get(name)
    if peer is not None and not peer.dead:
        peer.dead = True
        count(dispatcher, "peers_refused")
        assign_partitions(dispatcher, now)


def receive_peer_frame(dispatcher: Dispatcher, frame: PeerFrame, now: float) -> None:
    """Handles another entry's frame.

    Frames of older sessions and those meant for an earlier process at this address are dropped.
    """
    if frame.recipient != dispatcher.name:
        count(dispatcher, "peer_frames_misdirected")
        return
    peer = dispatcher.peers.get(frame.entry)
    if peer is None:
        peer = dispatcher.peers[frame.entry] = Peer(name=frame.entry, added_at=now)
        dispatcher.effects.append(ReadRoster())
    if frame.session < peer.last_received_session:
        count(dispatcher, "peer_frames_stale")
        return
    if frame.session > peer.last_received_session > 0:
        # Answers that were sent in the earlier session may be lost.
        unassign_from_entry(dispatcher, frame.entry, now)
    peer.last_received_session = frame.session
    peer.last_received_at = now
    peer.dead = False
    peer.leaving = frame.leaving
    peer.floor_version = frame.floor_version
    peer.roster_revision = frame.roster_revision
    for message in frame.messages:
        if isinstance(message, Forward):
            receive_forward(dispatcher, frame.entry, message.submission, now)
        elif isinstance(message, Answered):
            resolve_submission(dispatcher, message.answer, frame.entry)
        elif isinstance(message, NotOwner):
            receive_not_owner(dispatcher, frame.entry, message.key, now)
        elif isinstance(message, FloorUpdate):
            dispatcher.effects.append(AdoptFloorUpdate(update=message))
        elif isinstance(message, Handover):
            receive_handover(dispatcher, message, now)
        elif isinstance(message, CancelWave):
            cancel_wave(dispatcher, message, now)
        elif isinstance(message, CancelJob):
            cancel_job(dispatcher, message.key, now)


def begin_shutdown(dispatcher: Dispatcher, now: float) -> None:
    """Marks this entry as leaving, and releases all partitions if another entry stays.

    Callers that wait at this entry still get their answers.
    """
    dispatcher.leaving = True
    for peer in dispatcher.peers.values():
        peer.last_sent_at = 0.0
    if any(not peer.leaving for peer in dispatcher.peers.values()):
        for partition in list(dispatcher.owned_partitions):
            next_owner = find_assigned_entry(dispatcher, partition, now) or ""
            release_owned_partition(dispatcher, partition, next_owner, now)


def tick(dispatcher: Dispatcher, now: float) -> None:
    """Runs periodic work: takeovers, expiry, retries, rerouting and removals."""
    assign_partitions(dispatcher, now)
    apply_deferred_handovers(dispatcher, now)
    if renew_takeovers(dispatcher, now):
        claim_at_all_agents(dispatcher, now)
    _run_timers(dispatcher, now)
    _expire_recovered_jobs(dispatcher, now)
    _retry_at_unreachable_targets(dispatcher, now)
    reroute_submissions(dispatcher, now)
    request_removals(dispatcher, now)


def flush(dispatcher: Dispatcher, now: float) -> list[Effect]:
    """Ends a cycle: starts eligible tasks, builds due frames and returns the effects in order."""
    advance_takeovers(dispatcher, now)
    start_tasks(dispatcher, now)
    release_validated_answers(dispatcher, now)
    for target in dispatcher.targets.values():
        send_floor_to_agent(dispatcher, target)
    for peer in dispatcher.peers.values():
        send_floor_to_peer(dispatcher, peer)
    effects, dispatcher.effects = dispatcher.effects, []
    for target in dispatcher.targets.values():
        if target.connected and _is_frame_due(dispatcher, target, now):
            effects.append(
                SendAgentFrame(agent=target.name, frame=_build_frame(dispatcher, target, now))
            )
    for peer in dispatcher.peers.values():
        if peer.connected and (
            peer.outbox or now - peer.last_sent_at >= HEARTBEAT_INTERVAL_SECONDS / 3
        ):
            effects.append(
                SendPeerFrame(entry=peer.name, frame=_build_peer_frame(dispatcher, peer, now))
            )
    dispatcher.cycle += 1
    return _merge_reads(effects)


def _merge_reads(effects: list[Effect]) -> list[Effect]:
    reads = [effect for effect in effects if isinstance(effect, ReadRoster)]
    if len(reads) < 2:
        return effects
    return [effect for effect in effects if not isinstance(effect, ReadRoster)] + reads[:1]


def _is_frame_due(dispatcher: Dispatcher, target: Target, now: float) -> bool:
    if target.outbox or _is_ack_due(dispatcher, target, now):
        return True
    if target.load_requested or now - target.last_sent_at < LOAD_REQUEST_INTERVAL_SECONDS:
        return False
    return needs_load_report(dispatcher, target)


def _is_ack_due(dispatcher: Dispatcher, target: Target, now: float) -> bool:
    """Returns whether a frame that the agent must acknowledge immediately is due."""
    if not target.sent_sequence or target.last_sent_cycle < dispatcher.required_ack_cycle:
        return True
    return now - target.last_sent_at >= HEARTBEAT_INTERVAL_SECONDS


def _build_frame(dispatcher: Dispatcher, target: Target, now: float) -> EntryFrame:
    messages, target.outbox = tuple(target.outbox), []
    ack_wanted = _is_ack_due(dispatcher, target, now)
    target.sent_sequence += 1
    target.load_requested = needs_load_report(dispatcher, target)
    target.last_sent_at = now
    target.last_sent_cycle = dispatcher.cycle
    starts = [0] * len(TaskClass)
    for message in messages:
        if isinstance(message, StartBatch):
            starts[message.task_class] += len(message.tasks)
    target.sent_frames.append(
        SentFrame(
            sequence=target.sent_sequence, cycle=dispatcher.cycle, sent_at=now, starts=tuple(starts)
        )
    )
    count(dispatcher, "frames_to_agents")
    if not messages:
        count(dispatcher, "heartbeats_to_agents")
    return EntryFrame(
        entry=dispatcher.name,
        session=target.session,
        sequence=target.sent_sequence,
        floor_version=dispatcher.floor.version,
        messages=messages,
        load_wanted=target.load_requested,
        ack_wanted=ack_wanted,
    )


def _build_peer_frame(dispatcher: Dispatcher, peer: Peer, now: float) -> PeerFrame:
    messages, peer.outbox = tuple(peer.outbox), []
    peer.last_sent_at = now
    count(dispatcher, "frames_to_peers")
    if not messages:
        count(dispatcher, "heartbeats_to_peers")
    return PeerFrame(
        entry=dispatcher.name,
        recipient=peer.name,
        session=peer.session,
        leaving=dispatcher.leaving,
        floor_version=dispatcher.floor.version,
        roster_revision=dispatcher.roster_revision,
        messages=messages,
    )


def _run_timers(dispatcher: Dispatcher, now: float) -> None:
    timers = dispatcher.timers
    while timers and timers[0][0] <= now:
        _, _, job = heapq.heappop(timers)
        if find_job(dispatcher, job.key) is not job:
            continue
        if job.answer is None:
            fail_and_answer(dispatcher, job, Reason.EXPIRED, "the deadline passed", now)
        elif now >= job.expires_at:
            del dispatcher.owned_partitions[job.partition].jobs[job.key]
            dispatcher.job_count -= 1


def _expire_recovered_jobs(dispatcher: Dispatcher, now: float) -> None:
    """Drops the jobs of earlier owners that were not resubmitted, once all have expired."""
    for owned_partition in dispatcher.owned_partitions.values():
        if (
            owned_partition.recovered
            and owned_partition.open
            and now >= owned_partition.former_jobs_until
        ):
            owned_partition.recovered.clear()


def _retry_at_unreachable_targets(dispatcher: Dispatcher, now: float) -> None:
    """Retries idempotent tasks of targets unreachable for `UNREACHABLE_RETRY_SECONDS`."""
    unreachable = {
        target.name
        for target in dispatcher.targets.values()
        if not target.connected and now - target.disconnected_at >= UNREACHABLE_RETRY_SECONDS
    }
    if not unreachable:
        return
    for owned_partition in dispatcher.owned_partitions.values():
        for job in list(owned_partition.jobs.values()):
            if job.answer is None:
                _retry_unreachable_tasks(dispatcher, job, unreachable, now)


def _retry_unreachable_tasks(
    dispatcher: Dispatcher, job: Job, unreachable: set[str], now: float
) -> None:
    for index in list_placed(job):
        if job.answer is not None or job.states[index] != TaskState.PLACED:
            continue
        if job.placements[index].agent in unreachable and job.submission.tasks[index].idempotent:
            abandon_attempt(dispatcher, job, index, job.attempts[index], now)
