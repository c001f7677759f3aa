"""Requests at their entry: taken in, abandoned, ended."""

from comfreysill.exchange.messages import Outcome
from comfreysill.placing.desk import (
    Desk,
    KeptVerdict,
    TellCaller,
    Waiter,
    count,
    note_event,
)
from comfreysill.placing.queue import push_request
from comfreysill.request.request import (
    Request,
    Task,
    fail_task,
    finish_task,
    return_task,
    settle_request,
)
from comfreysill.request.types import Specification, Verdict

KEEP_SECONDS = 10.0
RETRY_SECONDS = 1.0


def submit_request(desk: Desk, caller: int, specification: Specification, now: float) -> None:
    """Takes a request from a caller, or lets the caller join the run of the same id."""
    key = specification.request_id
    kept = desk.kept.get(key)
    if kept is not None and kept.expires_at > now:
        count(desk, "requests_repeated")
        desk.effects.append(TellCaller(caller=caller, verdict=kept.verdict))
        return
    known = desk.requests.get(key)
    if known is not None:
        count(desk, "requests_joined")
        desk.callers[caller] = key
        if known.verdict is None:
            known.callers.add(caller)
        else:
            waiter = Waiter(caller=caller, specification=specification)
            desk.waiters.setdefault(key, []).append(waiter)
        return
    _open_request(desk, caller, specification, now)


def _open_request(desk: Desk, caller: int, specification: Specification, now: float) -> None:
    request = Request(specification=specification, received_at=now, unix_offset=desk.unix_offset)
    request.callers.add(caller)
    desk.callers[caller] = specification.request_id
    desk.requests[specification.request_id] = request
    count(desk, "requests_taken")
    note_event(
        desk,
        "request taken",
        request=specification.request_id,
        route=specification.route,
        routes_version=desk.routes.version,
        tasks=sum(step.count for step in specification.steps),
        objective=round(request.due_at - now, 3),
    )
    push_request(desk, request, now)


def abandon_caller(desk: Desk, caller: int, now: float) -> None:
    """Records that a caller has left; a request without callers is stopped."""
    key = desk.callers.pop(caller, None)
    if key is None:
        return
    waiters = desk.waiters.get(key, [])
    waiters[:] = [waiter for waiter in waiters if waiter.caller != caller]
    request = desk.requests.get(key)
    if request is None or caller not in request.callers:
        return
    request.callers.discard(caller)
    if not request.callers and request.verdict is None:
        age = round(now - request.received_at, 3)
        note_event(desk, "request abandoned by its caller", request=key, age=age)
        conclude_request(desk, request, Verdict.MAY_HAVE_RUN, "its caller left", now)


def conclude_request(
    desk: Desk, request: Request, verdict: Verdict, detail: str, now: float
) -> None:
    """Fixes a request's verdict, tells its callers and stops what still runs."""
    if settle_request(request, verdict) is not None:
        publish_verdict(desk, request, detail, now)


def publish_verdict(desk: Desk, request: Request, detail: str, now: float) -> None:
    """Tells the callers of a request its verdict and stops what still runs."""
    key = request.specification.request_id
    verdict = request.verdict
    count(desk, f"requests_{verdict.name.lower()}")
    desk.observe("request_seconds", now - request.received_at, request.specification.route)
    if verdict in (Verdict.COMPLETED, Verdict.FAILED):
        desk.kept[key] = KeptVerdict(verdict=verdict, expires_at=now + KEEP_SECONDS)
        desk.kept_order.append(key)
    note_event(
        desk,
        "request ended",
        request=key,
        verdict=verdict.name,
        why=detail,
        age=round(now - request.received_at, 3),
        late=now > request.due_at,
    )
    retry_at = 0.0 if verdict in (Verdict.COMPLETED, Verdict.FAILED) else now + RETRY_SECONDS
    for caller in request.callers:
        desk.callers.pop(caller, None)
        desk.effects.append(
            TellCaller(caller=caller, verdict=verdict, detail=detail, retry_at=retry_at)
        )
    request.callers.clear()
    for task in request.placed.values():
        agent = desk.agents[task.agent]
        agent.stops.append(task.name)
    _clear_request(desk, request, now)


def _clear_request(desk: Desk, request: Request, now: float) -> None:
    """Forgets a request once nothing of it runs, and opens its successor."""
    if request.verdict is None or request.placed:
        return
    key = request.specification.request_id
    desk.requests.pop(key, None)
    waiters = desk.waiters.pop(key, None)
    if not waiters:
        return
    kept = desk.kept.get(key)
    for waiter in waiters:
        desk.callers.pop(waiter.caller, None)
        if kept is not None:
            desk.effects.append(TellCaller(caller=waiter.caller, verdict=kept.verdict))
        else:
            submit_request(desk, waiter.caller, waiter.specification, now)


def end_task(desk: Desk, task: Task, outcome: Outcome, detail: str, now: float) -> None:
    """Takes the end of an attempt."""
    request = task.request
    agent = task.agent
    verdict = None
    if outcome == Outcome.DONE:
        verdict = finish_task(task)
    elif outcome == Outcome.FAILED:
        verdict = fail_task(task)
        note_event(desk, "task failed", task=task.name, agent=agent, failures=task.failures)
    elif outcome == Outcome.BUSY:
        count(desk, "tasks_bounced")
        return_task(task)
    else:
        task.avoided = (*task.avoided[-2:], agent)
        return_task(task)
        name, attempt = task.name, task.attempt
        note_event(desk, "task returned", task=name, attempt=attempt, agent=agent, why=detail)
    if verdict is not None:
        why = detail or outcome.name.lower()
        publish_verdict(desk, request, f"task {task.step}/{task.index}: {why}", now)
    elif request.verdict is not None:
        _clear_request(desk, request, now)
    else:
        push_request(desk, request, now)


def expire_requests(desk: Desk, now: float) -> None:
    """Forgets kept verdicts that are due."""
    while desk.kept_order:
        kept = desk.kept.get(desk.kept_order[0])
        if kept is not None and kept.expires_at > now:
            return
        desk.kept.pop(desk.kept_order.popleft(), None)
