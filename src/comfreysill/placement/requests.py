"""Life cycle of requests at their entry on the platform: acceptance, cancellation, verdict."""

import math

from comfreysill.claims.cancellations import is_cancelled, keep_cancellation
from comfreysill.crashes.ledger import find_deadly_task, is_suspect
from comfreysill.exchange.messages import Outcome
from comfreysill.placement.admission import choose_return
from comfreysill.placement.allotment import charge_request, has_memory, release_request
from comfreysill.placement.bindings import choose_refusal
from comfreysill.placement.claims import (
    claim_request,
    is_awaited,
    is_contested,
    release_claim,
    renew_claim,
)
from comfreysill.placement.confinement import record_demand
from comfreysill.placement.deadlines import (
    compute_stop_at,
    extend_request,
    pop_overdue,
    push_deadline,
)
from comfreysill.placement.effects import SendVerdict
from comfreysill.placement.queue import push_request
from comfreysill.placement.registrar import deliver_late_replies
from comfreysill.placement.returns import spread_return
from comfreysill.placement.state import CachedVerdict, EntryState, Waiter, count, note_event
from comfreysill.request.request import (
    Request,
    Task,
    fail_task,
    finish_task,
    reschedule_task,
    set_verdict,
    suspect_task,
)
from comfreysill.request.types import FINAL_VERDICTS, CallerWait, Specification, Verdict

# A final verdict is cached this long to answer repetitions of the request.
VERDICT_CACHE_SECONDS = 10.0
MEMORY_REASON = "the open requests take all memory that is meant for them"


def submit_request(
    state: EntryState,
    caller: int,
    specification: Specification,
    now: float,
    wait: CallerWait,
) -> None:
    """Accepts a request, unless there is one with its id or its caller may have left.

    The caller joins an open request with this id, or gets a cached verdict. A request that was
    cancelled isn't run. If the earlier request has ended without a cached verdict and tasks of it
    are still placed, the caller waits until those have ended. A request that was read so late that
    its caller may have sent it again is refused at once.
    """
    request_id = specification.request_id
    stop_at = compute_stop_at(wait, state.retry_seconds)
    cached = state.cached.get(request_id)
    if cached is not None and cached.expires_at > now:
        _note_submission(state, "request repeated", specification, wait)
        _answer_repetition(state, caller, cached.verdict, "")
        return
    request = state.requests.get(request_id)
    if request is not None:
        waiter = Waiter(caller=caller, specification=specification, wait=wait)
        _join_request(state, request, waiter, stop_at, now)
        return
    if is_cancelled(state.registry.cancelled, request_id, now):
        note_event(state, "request not taken: it was cancelled", request=request_id)
        _answer_repetition(state, caller, Verdict.CANCELLED, "it was cancelled")
        return
    if now >= stop_at:
        count(state, "requests_read_late")
        text = "request refused: its caller may have left"
        _note_submission(state, text, specification, wait)
        _refuse_submission(state, caller, specification, "it was read too late", now)
        return
    if not has_memory(state.allotment, specification):
        count(state, "requests_without_memory")
        _note_submission(state, "request refused: no memory", specification, wait)
        _refuse_submission(state, caller, specification, MEMORY_REASON, now)
        return
    request = Request(
        specification=specification,
        received_at=now,
        unix_offset=state.unix_offset,
        stop_at=stop_at,
    )
    objective = round(request.due_at - now, 3)
    _note_submission(state, "request accepted", specification, wait, objective=objective)
    _accept_request(state, caller, request, now)


def _answer_repetition(state: EntryState, caller: int, verdict: Verdict, detail: str) -> None:
    count(state, "requests_repeated")
    state.effects.append(SendVerdict(caller=caller, verdict=verdict, detail=detail))


def _join_request(
    state: EntryState, request: Request, waiter: Waiter, stop_at: float, now: float
) -> None:
    request_id = request.specification.request_id
    count(state, "requests_joined")
    _note_submission(
        state,
        "request joined",
        waiter.specification,
        waiter.wait,
        callers=len(request.callers),
        has_verdict=request.verdict is not None,
    )
    state.callers[waiter.caller] = request_id
    if request.verdict is None:
        request.callers.add(waiter.caller)
        extend_request(state, request, stop_at)
        renew_claim(state, request, now)
    else:
        state.waiters.setdefault(request_id, []).append(waiter)


def _refuse_submission(
    state: EntryState, caller: int, specification: Specification, detail: str, now: float
) -> None:
    """Refuses a request that isn't accepted, and of which nothing was placed here."""
    state.effects.append(
        SendVerdict(
            caller=caller,
            verdict=choose_refusal(state, specification.request_id, now),
            detail=detail,
            retry_at=spread_return(specification.request_id, now),
        )
    )


def _note_submission(
    state: EntryState, text: str, specification: Specification, wait: CallerWait, **fields: object
) -> None:
    note_event(
        state,
        text,
        request=specification.request_id,
        route=specification.route,
        routes_version=state.routes.version,
        tasks=sum(step.count for step in specification.steps),
        unread=round(wait.read_at - wait.sent_after, 3),
        connection=(
            None if wait.connected_at is None else round(wait.read_at - wait.connected_at, 3)
        ),
        wait=round(wait.ends_at - wait.read_at, 3) if wait.ends_at < math.inf else None,
        retry=state.retry_seconds,
        **fields,
    )


def _accept_request(state: EntryState, caller: int, request: Request, now: float) -> None:
    specification = request.specification
    request.callers.add(caller)
    state.callers[caller] = specification.request_id
    state.requests[specification.request_id] = request
    charge_request(state.allotment, specification)
    push_deadline(state, request)
    count(state, "requests_taken")
    record_demand(state, specification, now)
    suspect_tasks(state, request)
    deadly_task = find_deadly_task(state.crashes, specification.request_id)
    if deadly_task:
        give_up_request(state, request, deadly_task, now)
    else:
        claim_request(state, request, now)


def conclude_remote_ends(state: EntryState, now: float) -> None:
    """Concludes the requests that have ended by what another entry did; precedes each placement."""
    deliver_late_replies(state, now)
    while state.remote_ends:
        ends, state.remote_ends = state.remote_ends, []
        for end in ends:
            conclude_request(state, end.request, end.verdict, end.detail, now)
        deliver_late_replies(state, now)


def suspect_tasks(state: EntryState, request: Request) -> None:
    """Marks the tasks of a request that may have crashed a runner."""
    if request.specification.request_id not in state.crashes.requests:
        return
    pending = [task for tasks in request.pending.values() for task in tasks]
    for task in [*pending, *request.placed.values()]:
        if is_suspect(state.crashes, task.name):
            suspect_task(task)


def give_up_request(state: EntryState, request: Request, deadly_task: str, now: float) -> None:
    """Fails a request one of whose tasks crashes the runners that start it."""
    count(state, "requests_given_up")
    detail = f"task {deadly_task.partition('/')[2]} crashes the runners that start it"
    conclude_request(state, request, Verdict.FAILED, detail, now)


def _note_departure(
    state: EntryState, request: Request, caller: int, waiter_count: int, now: float
) -> None:
    """Notes that a caller has left which was one of several, or waited for tasks to end."""
    is_served = caller in request.callers
    remaining = len(request.callers) - 1 if is_served else waiter_count
    if is_served and not remaining:
        return
    note_event(
        state,
        "caller disconnected",
        request=request.specification.request_id,
        age=round(now - request.received_at, 3),
        callers=remaining,
    )


def disconnect_caller(state: EntryState, caller: int, now: float) -> None:
    """Removes a caller that has disconnected; a request whose last caller this was is cancelled."""
    request_id = state.callers.pop(caller, None)
    if request_id is None:
        return
    waiters = state.waiters.get(request_id, [])
    waiters[:] = [waiter for waiter in waiters if waiter.caller != caller]
    request = state.requests.get(request_id)
    if request is not None:
        _note_departure(state, request, caller, len(waiters), now)
    if request is None or caller not in request.callers:
        return
    request.callers.discard(caller)
    if not request.callers and request.verdict is None:
        age = round(now - request.received_at, 3)
        if is_awaited(state, request, now):
            note_event(state, "request goes on for another entry", request=request_id, age=age)
            return
        note_event(
            state, "request cancelled: its last caller disconnected", request=request_id, age=age
        )
        conclude_request(state, request, Verdict.MAY_HAVE_RUN, "its caller left", now)


def conclude_request(
    state: EntryState, request: Request, verdict: Verdict, detail: str, now: float
) -> None:
    """Sets and publishes the verdict of a request that has none."""
    if set_verdict(request, verdict) is not None:
        publish_verdict(state, request, detail, now)


def refuse_request(state: EntryState, request: Request, detail: str, now: float) -> None:
    """Concludes a request of which no task was placed here; see `choose_refusal`.

    If another entry had it, it may have run there.
    """
    verdict = choose_refusal(state, request.specification.request_id, now)
    if is_contested(state, request):
        verdict = Verdict.MAY_HAVE_RUN
    conclude_request(state, request, verdict, detail, now)


def publish_verdict(state: EntryState, request: Request, detail: str, now: float) -> None:
    """Queues the verdict of a request for its callers, and the stopping of its remaining tasks."""
    request_id = request.specification.request_id
    verdict = request.verdict
    count(state, f"requests_{verdict.name.lower()}")
    state.observe("request_seconds", now - request.received_at, request.specification.route)
    if verdict in FINAL_VERDICTS:
        state.cached[request_id] = CachedVerdict(
            verdict=verdict, expires_at=now + VERDICT_CACHE_SECONDS
        )
        state.cached_ids.append(request_id)
    if verdict == Verdict.CANCELLED:
        keep_cancellation(state.registry.cancelled, request_id, now)
    note_event(
        state,
        "request ended",
        request=request_id,
        verdict=verdict.name,
        why=detail,
        age=round(now - request.received_at, 3),
        late=now > request.due_at,
    )
    retry_at = 0.0
    if verdict not in FINAL_VERDICTS:
        retry_at = choose_return(state.admission, request, now)
    for caller in request.callers:
        state.callers.pop(caller, None)
        state.effects.append(
            SendVerdict(caller=caller, verdict=verdict, detail=detail, retry_at=retry_at)
        )
    request.callers.clear()
    for task in request.placed.values():
        agent = state.agents[task.agent]
        agent.stops.append(task.name)
    _release_request(state, request, now)


def _release_request(state: EntryState, request: Request, now: float) -> None:
    """Removes an ended request once none of its tasks is placed; answers or submits its waiters."""
    if request.verdict is None or request.placed:
        return
    request_id = request.specification.request_id
    if state.requests.pop(request_id, None) is not None:
        release_request(state.allotment, request.specification)
    release_claim(state, request, now)
    waiters = state.waiters.pop(request_id, None)
    if not waiters:
        return
    cached = state.cached.get(request_id)
    for waiter in waiters:
        state.callers.pop(waiter.caller, None)
        if cached is not None:
            state.effects.append(SendVerdict(caller=waiter.caller, verdict=cached.verdict))
        else:
            submit_request(state, waiter.caller, waiter.specification, now, waiter.wait)


def end_task(state: EntryState, task: Task, outcome: Outcome, detail: str, now: float) -> None:
    """Processes the end of an attempt, and what follows for the task and its request."""
    request = task.request
    agent = task.agent
    verdict = None
    if outcome == Outcome.DONE:
        verdict = finish_task(task)
        # Tasks of the next step are known to the request from now on.
        suspect_tasks(state, request)
    elif outcome == Outcome.FAILED:
        verdict = fail_task(task)
        note_event(state, "task failed", task=task.name, agent=agent, failures=task.failures)
    elif outcome == Outcome.BUSY:
        count(state, "tasks_bounced")
        reschedule_task(task)
    else:
        task.moves += outcome == Outcome.LOST
        # At most the last three agents are avoided.
        task.avoided_agents = (*task.avoided_agents[-2:], agent)
        reschedule_task(task)
        name, attempt = task.name, task.attempt
        note_event(
            state,
            "task rescheduled",
            task=name,
            attempt=attempt,
            agent=agent,
            outcome=outcome.name,
            moves=task.moves,
            why=detail,
        )
    if verdict is not None:
        why = detail or outcome.name.lower()
        publish_verdict(state, request, f"task {task.step}/{task.index}: {why}", now)
    elif request.verdict is not None:
        _release_request(state, request, now)
    else:
        push_request(state, request, now)


def expire_requests(state: EntryState, now: float) -> None:
    """Ends the requests whose callers have stopped waiting; has to precede each placement.

    After a suspension these may be requests accepted before it, or whose tasks have just been
    returned.
    """
    for request in pop_overdue(state, now):
        count(state, "requests_expired")
        detail = "its caller has stopped waiting"
        if request.begun:
            conclude_request(state, request, Verdict.MAY_HAVE_RUN, detail, now)
        else:
            refuse_request(state, request, detail, now)


def expire_cached_verdicts(state: EntryState, now: float) -> None:
    """Removes expired verdicts from the cache."""
    while state.cached_ids:
        cached = state.cached.get(state.cached_ids[0])
        if cached is not None and cached.expires_at > now:
            return
        state.cached.pop(state.cached_ids.popleft(), None)
