"""Breaks one rule of the design at a time and checks that a test fails.

`make mutations` runs all mutations, `python -m tests.mutations NAME...` some of them. The exit
status is 0 if each mutation was caught.
"""

import math
import os
import random
import subprocess
import sys
import unittest
from unittest import mock

from tests.run import read_known_red
from tests.unclaimed import settle_at_once

FRAME_HANDLING = "comfreysill.target.frame_handling"
DISPATCH = "comfreysill.dispatch"


def ignore_fence(ledger, entry, batch, now):
    return None


def accept_any_frame(original):
    def accept(ledger, frame, now):
        ledger.sessions[frame.entry].received_sequence = frame.sequence - 1
        return original(ledger, frame, now)

    return accept


def forget_known_job(original):
    def accept(dispatcher, job, submission, listener, now):
        from comfreysill.dispatch.jobs import enqueue_job, track_pending

        job.listeners.add(listener)
        if job.answer is None:
            job.pending.extend(i for i in range(len(job.states)) if i not in job.pending)
            track_pending(dispatcher, job)
            enqueue_job(dispatcher, job)

    return accept


def return_lost_task(job, index, attempt):
    from comfreysill.job.job import make_pending

    return make_pending(job, index, attempt)


def send_answer_immediately(dispatcher, answer, listeners, now):
    from comfreysill.dispatch.delivery import _send_answer

    _send_answer(dispatcher, answer, listeners)


def complete_early(job):

    job.unfinished = min(job.unfinished, 0 if job.any_ran else 1)
    return ORIGINAL_COMPLETE_JOB(job)


def keep_told_starts(original):
    def open_session(agent, frame, now):
        known = agent.links.get(frame.entry)
        sent = known.unfinal_start_sent if known is not None else 0
        link = original(agent, frame, now)
        link.unfinal_start_sent = sent
        return link

    return open_session


def record_as_only(original):
    def record(agent, run, now):
        original(agent, run, now)
        agent.unfinal_starts[run.task].run = run

    return record


def resolve_path(path):
    module, name = path.rsplit(".", 1)
    return getattr(__import__(module, fromlist=[name]), name)


ORIGINAL_COMPLETE_JOB = None

# By name: path of the object to replace, and a function that makes its replacement from the
# original.
MUTATIONS = {
    "fence-ignored": (f"{FRAME_HANDLING}._check_batch", lambda original: ignore_fence),
    "agent-dedupe": (f"{FRAME_HANDLING}._allows_rerun", lambda original: lambda known, task: True),
    "owner-dedupe": (f"{DISPATCH}.admission._join_job", forget_known_job),
    "frame-order": (f"{FRAME_HANDLING}.receive_frame", accept_any_frame),
    "ledger-not-read": (f"{DISPATCH}.links.apply_ledger_record", lambda original: lambda *a: None),
    "lost-treated-as-not-run": (
        f"{DISPATCH}.jobs.mark_task_lost",
        lambda original: return_lost_task,
    ),
    "not-run-unconfirmed": (
        f"{DISPATCH}.jobs.deliver_answer",
        lambda original: send_answer_immediately,
    ),
    "lost-ledger-ignored": (
        f"{DISPATCH}.admission.may_be_unrecovered",
        lambda original: lambda *a: False,
    ),
    "unread-ledger-ignored": (
        f"{DISPATCH}.admission.may_be_in_unread_ledger",
        lambda original: lambda *a: False,
    ),
    "unvalidated-claim": (f"{DISPATCH}.ownership._may_claim", lambda original: lambda *a: True),
    "roster-read-once": (
        f"{DISPATCH}.ownership._require_roster",
        lambda original: lambda *a: None,
    ),
    "listeners-not-notified": (
        f"{DISPATCH}.links._notify_listeners",
        lambda original: lambda *a: None,
    ),
    "partial-answer": (f"{DISPATCH}.jobs.complete_job", lambda original: complete_early),
}

# Exit status of a process whose mutation was noticed by a test; 1 is that of any exception.
CAUGHT_STATUS = 3
EXECUTION = "comfreysill.execution"
PLACEMENT = "comfreysill.placement"
CRASHES = "comfreysill.crashes"


def return_unconfirmed_run(agent, run, now):
    from comfreysill.execution.starts import _return_run

    _return_run(agent, run, now, "no answer")


def free_capacity_on_stop(original):
    def stop(agent, run, now):
        if not run.stop_sent_at:
            agent.cpu_used -= run.batch.cpu
        original(agent, run, now)

    return stop


def keep_connected(original):
    def drop(state, agent):
        original(state, agent)
        agent.connected = True

    return drop


def assume_listening(original):
    return lambda actor, listening: original(actor, listening=True)


def count_as_conclusive(original):
    def add(ledger, crash, amount):
        original(ledger, crash, amount)
        for tasks in ledger.requests.values():
            for crashes in tasks.values():
                crashes.conclusive = crashes.total

    return add


def judge_at_once(original):
    def receive(state, report, now, is_recent=False):
        original(state, report, now, is_recent=False)

    return receive


def report_crash_on_departure(original):
    def receive(agent, runner_id, now):
        from comfreysill.execution.crashes import record_crash

        record_crash(agent, "departed", now)
        original(agent, runner_id, now)

    return receive


def rank_randomly():
    generator = random.Random(1)
    return lambda name: generator.random()


def resolve_immediately(agent, run, reply, is_listed, now):
    from comfreysill.execution.starts import requeue_start

    requeue_start(agent, run, now)


def grant_held(original):
    def apply(state, claim, replica, reply, now):
        from comfreysill.exchange.claims import ClaimStatus

        if reply.status == ClaimStatus.HELD:
            reply.status = ClaimStatus.GRANTED
        original(state, claim, replica, reply, now)

    return apply


def grant_any(registry, entry, request, now):
    from comfreysill.exchange.claims import ClaimReply, ClaimStatus

    return ClaimReply(
        request_id=request.request_id, number=request.number, status=ClaimStatus.GRANTED
    )


def repeat_no_claims(original):
    def build(*, address, frame):
        if frame.opening:
            frame.claims.clear()
        return original(address=address, frame=frame)

    return build


# Mutations that are run against the tests of `placement`, `execution` and `gateway`, and the fuzzer
# of the platform.
PLATFORM_MUTATIONS = {
    "closings-not-read": (
        "comfreysill.placement.closures.apply_reading",
        lambda original: lambda closures, reading, now: closures,
    ),
    "closings-ignored-by-entries": (
        "comfreysill.placement.closures.is_closed",
        lambda original: lambda closures, zone: False,
    ),
    "closings-ignored-by-agents": (
        "comfreysill.execution.closures.is_closed",
        lambda original: lambda closures, zone: False,
    ),
    "closings-not-told": (
        "comfreysill.placement.agents.list_news",
        lambda original: lambda told, closures: (),
    ),
    "older-zone-readings-believed": (
        "comfreysill.zones.closures._is_newer",
        lambda original: lambda status, known: True,
    ),
    "cancelling-not-told": (
        "comfreysill.placement.cancelling._tell_peer",
        lambda original: lambda *a: None,
    ),
    "cancelling-not-repeated": (
        "comfreysill.placement.peer_links.list_known_cancellations",
        lambda original: lambda *a: [],
    ),
    "cancelled-claims-granted": (
        "comfreysill.claims.registry.is_cancelled",
        lambda original: lambda *a: False,
    ),
    "cancelled-requests-taken": (
        "comfreysill.placement.requests.is_cancelled",
        lambda original: lambda *a: False,
    ),
    "unheard-entries-ignored": (
        "comfreysill.placement.cancelling._choose_outcome",
        lambda original: lambda cancellation, *a: original(cancellation, True, True),
    ),
    "lone-holder-answers": (
        "comfreysill.placement.cancelling._is_granted_elsewhere",
        lambda original: lambda claim: True,
    ),
    "sessions-never-expire": (
        "tests.platform_world.expire_links",
        lambda original: lambda *a: None,
    ),
    "orders-unchecked": (
        f"{EXECUTION}.frame_handling._check_order",
        lambda original: lambda *a: "",
    ),
    "token-not-raised": (
        f"{EXECUTION}.starts.mark_unconfirmed",
        lambda original: return_unconfirmed_run,
    ),
    "unconfirmed-resolved-early": (
        f"{EXECUTION}.renewals._resolve_unconfirmed_start",
        lambda original: resolve_immediately,
    ),
    "stopping-frees-capacity": (f"{EXECUTION}.starts._queue_stop_call", free_capacity_on_stop),
    "orphaned-runs-kept": (
        f"{EXECUTION}.renewals._stop_orphaned_runs",
        lambda original: lambda *a: None,
    ),
    "agents-expire-early": (f"{PLACEMENT}.agents.AGENT_EXPIRY_SECONDS", lambda original: 0.3),
    "earlier-lifetimes-kept": (
        f"{EXECUTION}.frame_handling._end_links_of_earlier_lifetimes",
        lambda original: lambda *a: None,
    ),
    "stops-not-repeated": ("tests.platform_world.resend_stops", lambda original: lambda *a: None),
    "stalls-undetected": (f"{EXECUTION}.progress._stop_stalled", lambda original: lambda *a: None),
    "avoided-never-cleared": (
        f"{PLACEMENT}.steps.clear_avoided",
        lambda original: lambda *a: None,
    ),
    "lost-agents-counted": (
        f"{PLACEMENT}.subset.is_unavailable",
        lambda original: lambda *a: False,
    ),
    "same-subset-for-all-entries": (
        f"{PLACEMENT}.agents.rank_agent",
        lambda original: lambda entry, agent: 0,
    ),
    "dropped-agent-stays-connected": (f"{PLACEMENT}.subset.remove_link", keep_connected),
    "all-entries-notified": (f"{EXECUTION}.frames.MAX_NOTIFIED_ENTRIES", lambda original: 99),
    "demand-unranked": ("tests.test_placement.rank_demand", lambda original: lambda state: 1),
    "accepting-not-reported": (
        f"{EXECUTION}.frames.is_accepting",
        lambda original: lambda *a: True,
    ),
    "ready-without-port": (
        "tests.test_gateway.is_ready",
        lambda original: assume_listening(original),
    ),
    "old-lists-accepted": (
        "tests.test_execution.receive_renewal",
        lambda original: accept_old_lists(original),
    ),
    "failed-renewals-unpaused": (
        f"{EXECUTION}.renewals.RENEWAL_RETRY_SECONDS",
        lambda original: 0.0,
    ),
    "departed-runner-adopted": (
        f"{EXECUTION}.renewals.end_runner_lifetime",
        lambda original: forget_departure(original),
    ),
    "capacity-not-reserved": (f"{PLACEMENT}.placement.RESERVED_CAPACITY_SHARE", lambda o: -1.0),
    "retries-not-spread": (f"{PLACEMENT}.returns.RETRY_SPREAD_SECONDS", lambda original: 1),
    "long-waits-allowed": (f"{PLACEMENT}.admission.MAX_WAIT_PART", lambda original: 100.0),
    "nothing-let-through": (f"{PLACEMENT}.admission.LET_THROUGH_INTERVAL", lambda o: 10**9),
    "rare-routes-judged": (f"{PLACEMENT}.room.MIN_STARTS", lambda original: 0.0),
    "shares-not-kept": (
        f"{PLACEMENT}.admission.find_short_routes",
        lambda original: lambda room, least_share, now: frozenset(),
    ),
    "second-hand-members-believed": (
        "comfreysill.gateway.handlers.is_unknown",
        lambda original: lambda state, name, address: True,
    ),
    "address-owner-kept": (
        f"{PLACEMENT}.agents.release_agent",
        lambda original: lambda state, name, reason: None,
    ),
    "failed-frame-not-contained": (
        "comfreysill.gateway.handlers.contain_failed_frame",
        lambda original: lambda state, name, now: None,
    ),
    "guilt-never-proved": (f"{CRASHES}.ledger.MIN_CRASHES", lambda original: 99),
    "guilt-by-company": (f"{CRASHES}.ledger._add_crash", count_as_conclusive),
    "crash-prone-targets-trusted": (
        f"{CRASHES}.ledger.is_crash_prone",
        lambda original: lambda *a: False,
    ),
    "refused-starts-blamed": (
        f"{EXECUTION}.crashes._is_start_open",
        lambda original: lambda *a: False,
    ),
    "broken-off-starts-not-blamed": (
        f"{EXECUTION}.starts.settle_crash",
        lambda original: lambda *a: None,
    ),
    "later-reports-of-a-crash-ignored": (
        f"{CRASHES}.ledger._extend_crash",
        lambda original: lambda *a: [],
    ),
    "coincident-crashes-trusted": (
        f"{CRASHES}.ledger._is_coincident",
        lambda original: lambda *a: False,
    ),
    "coincident-crashes-excused-for-ever": (
        f"{CRASHES}.ledger.MIN_INCONCLUSIVE_CRASHES",
        lambda original: 99,
    ),
    "recent-crashes-judged-at-once": (f"{PLACEMENT}.agents.receive_crash", judge_at_once),
    "suspects-placed-before-the-judgement": (
        f"{PLACEMENT}.isolation.is_judgement_open",
        lambda original: lambda *a: False,
    ),
    "suspects-placed-beside-others": (
        f"{PLACEMENT}.crashes.suspect_tasks",
        lambda original: lambda *a: None,
    ),
    "isolated-runs-started-beside-others": (
        f"{EXECUTION}.starts.may_start",
        lambda original: lambda *a: True,
    ),
    "isolating-target-shared": (
        f"{EXECUTION}.frame_handling.check_isolation",
        lambda original: lambda *a: "",
    ),
    "crashes-not-reported": (
        f"{EXECUTION}.frames.list_unsent_crashes",
        lambda original: lambda *a: (),
    ),
    "stored-crashes-not-read": (
        "tests.platform_world.receive_crash",
        lambda original: lambda *a: None,
    ),
    "planned-ends-taken-for-crashes": (
        "tests.test_execution.receive_deregistration",
        lambda original: report_crash_on_departure(original),
    ),
    "routes-not-confined": (
        f"{PLACEMENT}.confinement.list_confined_routes",
        lambda original: lambda *a: set(),
    ),
    "confinement-of-one-entry": (
        f"{PLACEMENT}.confinement._rank_name",
        lambda original: rank_randomly(),
    ),
    "excess-runs-kept": (f"{EXECUTION}.runner.return_excess_runs", lambda o: lambda *a: None),
    "capacity-changes-unnoticed": (
        f"{EXECUTION}.runner._get_capacity",
        lambda original: lambda report: report.cpu,
    ),
    "unanswered-starts-given-back": (
        f"{EXECUTION}.runner._hold_run",
        lambda original: lose_run,
    ),
    "any-clock-confirms-a-start": (
        f"{EXECUTION}.starts.is_clock_continuous",
        lambda original: lambda *a: True,
    ),
    "leases-renewed-beside-overdue-stops": (
        f"{EXECUTION}.renewals.is_stop_overdue",
        lambda original: lambda *a: False,
    ),
    "bound-tasks-placed-anywhere": (
        f"{PLACEMENT}.steps.may_place",
        lambda original: lambda *a: True,
    ),
    "late-starts-not-told": (
        f"{EXECUTION}.frames.take_late_starts",
        lambda original: lambda *a: (),
    ),
    "late-starts-told-once": (f"{EXECUTION}.frame_handling._open_session", keep_told_starts),
    "final-starts-not-withdrawn": (
        f"{EXECUTION}.unfinal_starts._withdraw",
        lambda original: lambda *a: None,
    ),
    "starts-settled-by-any-run": (f"{EXECUTION}.starts.record_unfinal_start", record_as_only),
    "told-starts-not-bound": (
        f"{PLACEMENT}.agents.receive_late_starts",
        lambda original: lambda *a: None,
    ),
    "bound-tasks-go-on-elsewhere": (
        f"{PLACEMENT}.bindings._stop_elsewhere",
        lambda original: lambda *a: None,
    ),
    "bound-tasks-go-on-in-the-next-session": (
        f"{PLACEMENT}.agents.may_place",
        lambda original: lambda *a: True,
    ),
    "other-runs-not-reported": (
        f"{EXECUTION}.frame_handling.OTHER_RUN_SECONDS",
        lambda original: 0.0,
    ),
    "tasks-with-other-runs-not-held": (
        f"{PLACEMENT}.agents.hold_task",
        lambda original: lambda *a: None,
    ),
    "tasks-with-other-runs-ordered-at-once": (
        f"{PLACEMENT}.bindings.OTHER_RUN_RETRY_SECONDS",
        lambda original: 0.0,
    ),
    "bindings-of-earlier-lifetimes-released": (
        f"{PLACEMENT}.bindings.release_task",
        lambda original: lambda state, task, agent, lifetime: state.bindings.pop(task, None),
    ),
    "unconfirmed-tasks-of-dead-agents-placed-at-once": (
        f"{PLACEMENT}.agents.LATE_START_SECONDS",
        lambda original: 0.0,
    ),
    "waits-of-callers-unknown": (
        f"{PLACEMENT}.requests.compute_stop_at",
        lambda original: lambda *a: math.inf,
    ),
    "waits-counted-from-the-reading": (
        f"{PLACEMENT}.deadlines.measure_excess",
        lambda original: lambda *a: 0.0,
    ),
    "expired-requests-placed": (
        "tests.test_placement.expire_requests",
        lambda original: lambda *a: None,
    ),
    "orders-without-stop-time": (
        f"{PLACEMENT}.orders._convert_to_agent_clock",
        lambda original: lambda *a: math.inf,
    ),
    "expired-runs-go-on": (
        "tests.platform_world.expire_runs",
        lambda original: lambda *a: None,
    ),
    "requests-not-claimed": (
        f"{PLACEMENT}.claims._begin_claim",
        lambda original: settle_at_once,
    ),
    "lapsed-claims-used": (
        f"{PLACEMENT}.claims.find_lease_end",
        lambda original: lambda *a: math.inf,
    ),
    "grants-of-restarted-registrars-believed": (
        f"{PLACEMENT}.claims.is_witnessed",
        lambda original: lambda *a: True,
    ),
    "earlier-holders-not-restored": (
        "comfreysill.claims.registry._replace_holder",
        lambda original: lambda *a: None,
    ),
    "held-claims-taken-for-granted": (f"{PLACEMENT}.claims._apply_reply", grant_held),
    "claims-granted-to-everyone": (
        f"{PLACEMENT}.registrar.receive_claim",
        lambda original: grant_any,
    ),
    "claims-released-without-a-verdict": (
        f"{PLACEMENT}.claims.FINAL_VERDICTS",
        lambda original: frozenset(),
    ),
    "claims-not-repeated-on-new-links": (
        f"{PLACEMENT}.peer_links.SendClaims",
        repeat_no_claims,
    ),
    "silent-registrars-not-replaced": (
        f"{PLACEMENT}.claims._replace_lost",
        lambda original: lambda *a: None,
    ),
    "requests-placed-before-the-first-links": (
        f"{PLACEMENT}.claims.is_linking",
        lambda original: lambda *a: False,
    ),
    "entries-that-are-not-up-ignored-at-the-start": (
        f"{PLACEMENT}.claim_leases.count_unknown",
        lambda original: lambda *a: 0,
    ),
    "not-all-entries-asked-at-the-start": (
        f"{PLACEMENT}.claims.is_everyone_asked",
        lambda original: lambda *a: False,
    ),
    "waits-of-other-entries-callers-ignored": (
        f"{PLACEMENT}.claims._record_wait",
        lambda original: lambda *a: None,
    ),
    "polls-forgotten": (
        "comfreysill.arrivals.find_earliest_arrival",
        lambda original: lambda poll_times, now: now,
    ),
    "suspension-forgotten": (
        "comfreysill.arrivals.measure_suspension",
        lambda original: lambda *a: 0.0,
    ),
}
MUTATIONS |= PLATFORM_MUTATIONS


def forget_departure(original):
    def end(agent, now, reason, is_certain=True):
        original(agent, now, reason, False)

    return end


def lose_run(agent, run, now, reason):
    from comfreysill.exchange.messages import Outcome
    from comfreysill.execution.run import RunState
    from comfreysill.execution.state import end_run

    was_waiting = run.state == RunState.WAITING
    end_run(agent, run, Outcome.RETURNED if was_waiting else Outcome.LOST, now, reason)


def accept_old_lists(original):
    def receive(agent, reply, now):
        agent.listed_at_ms = 0
        original(agent, reply, now)

    return receive


def build_suite(name):
    from tests import (
        test_fuzz,
        test_ledger,
        test_platform_floor,
        test_starts_in_doubt,
        test_takeover,
    )

    loader = unittest.defaultTestLoader
    if name in PLATFORM_MUTATIONS:
        from tests import (
            test_admission,
            test_caller_waits,
            test_cancelling,
            test_claim_interleavings,
            test_claim_leases,
            test_claims,
            test_closed_zones,
            test_confinement,
            test_containment,
            test_crash_ledger,
            test_crashes,
            test_departed_callers,
            test_execution,
            test_gateway,
            test_lapsed_claims,
            test_late_calls,
            test_link_demand,
            test_load_patterns,
            test_paused_entries,
            test_placement,
            test_starting_entries,
            test_subset,
            test_told_starts,
            test_unfinal_starts,
        )

        modules = [
            test_admission,
            test_execution,
            test_placement,
            test_cancelling,
            test_told_starts,
            test_subset,
            test_closed_zones,
            test_gateway,
            test_containment,
            test_crash_ledger,
            test_crashes,
            test_confinement,
            test_late_calls,
            test_unfinal_starts,
            test_paused_entries,
            test_caller_waits,
            test_departed_callers,
            test_claims,
            test_claim_interleavings,
            test_claim_leases,
            test_lapsed_claims,
            test_starting_entries,
            test_load_patterns,
            test_link_demand,
            test_platform_floor,
        ]
        suites = [loader.loadTestsFromModule(module) for module in modules]
        return unittest.TestSuite(drop_known_red(suites))
    suite = loader.loadTestsFromModule(test_takeover)
    suite.addTests(loader.loadTestsFromModule(test_starts_in_doubt))
    suite.addTests(loader.loadTestsFromModule(test_ledger))
    suite.addTests(loader.loadTestsFromTestCase(test_fuzz.FloorTest))
    return suite


def drop_known_red(suites):
    """Returns the tests of the suites that aren't known to fail without any mutation."""
    known = read_known_red("test") | read_known_red("sometimes")
    tests = [test for suite in suites for case in suite for test in case]
    return [test for test in tests if test.id() not in known]


def run_mutated(name):
    """Runs the tests for one mutation; returns CAUGHT_STATUS if a test failed, otherwise 0."""
    global ORIGINAL_COMPLETE_JOB
    path, build_replacement = MUTATIONS[name]
    ORIGINAL_COMPLETE_JOB = resolve_path(f"{DISPATCH}.jobs.complete_job")
    suite = build_suite(name)
    with mock.patch(path, build_replacement(resolve_path(path))), open(os.devnull, "w") as devnull:
        result = unittest.TextTestRunner(stream=devnull, failfast=True).run(suite)
    for test, text in result.failures + result.errors:
        print(f"by {test.id()}", end=": ")
        lines = [line for line in text.splitlines() if "Error" in line]
        print(lines[-1].strip(" |") if lines else text[-200:])
    return 0 if result.wasSuccessful() else CAUGHT_STATUS


def main(names):
    missed = []
    for name in names or MUTATIONS:
        environment = {"FUZZ_EXAMPLES": "400", "FUZZ_SEED": "1", "FLOOR_EXAMPLES": "600"}
        environment |= os.environ
        environment["PYTHONHASHSEED"] = "0"
        run = subprocess.run(
            [sys.executable, "-m", "tests.mutations", "--one", name],
            env=environment,
            capture_output=True,
            text=True,
        )
        caught = run.returncode == CAUGHT_STATUS
        output = [line for line in run.stdout.splitlines() if not line.startswith("FUZZ")]
        if run.returncode not in (0, CAUGHT_STATUS):
            # Another exit status shows no failed test, but that none was run.
            output = run.stderr.splitlines()
        print(
            f"{name}: {'caught' if caught else 'MISSED'} {output[-1] if output else ''}",
            flush=True,
        )
        if not caught:
            missed.append(name)
    print(f"{len(names or MUTATIONS) - len(missed)} caught, {len(missed)} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        sys.exit(run_mutated(sys.argv[2]))
    sys.exit(main(sys.argv[1:]))
