"""Breaks one rule at a time and shows that the fuzzer's oracle notices.

Run all with `make mutations`, or some with `python -m tests.mutations NAME...`. Exit status 0
when each mutation was caught.
"""

import os
import subprocess
import sys
import unittest
from unittest import mock

FRAME_HANDLING = "comfreysill.target.frame_handling"
DISPATCH = "comfreysill.dispatch"


def ignore_fence(ledger, entry, batch, now):
    return None


def accept_any_frame(real):
    def accept(ledger, frame, now):
        ledger.sessions[frame.entry].received_sequence = frame.sequence - 1
        return real(ledger, frame, now)

    return accept


def forget_known_job(real):
    def accept(dispatcher, job, submission, listener, now):
        from comfreysill.dispatch.jobs import enqueue_job, track_pending

        job.listeners.add(listener)
        if job.answer is None:
            job.pending.extend(i for i in range(len(job.states)) if i not in job.pending)
            track_pending(dispatcher, job)
            enqueue_job(dispatcher, job)

    return accept


def return_lost_task(job, index, attempt):
    from comfreysill.job.job import return_task

    return return_task(job, index, attempt)


def answer_at_once(dispatcher, answer, listeners, now):
    from comfreysill.dispatch.delivery import _send_answer

    _send_answer(dispatcher, answer, listeners)


def complete_early(job):

    job.unfinished = min(job.unfinished, 0 if job.any_ran else 1)
    return REAL_COMPLETE(job)


def _real(path):
    module, name = path.rsplit(".", 1)
    return getattr(__import__(module, fromlist=[name]), name)


REAL_COMPLETE = None

MUTATIONS = {
    "fence": (f"{FRAME_HANDLING}._check_batch", lambda real: ignore_fence),
    "agent-dedupe": (f"{FRAME_HANDLING}._allows_rerun", lambda real: lambda known, task: True),
    "owner-dedupe": (f"{DISPATCH}.admission._join_job", forget_known_job),
    "frame-order": (f"{FRAME_HANDLING}.receive_frame", accept_any_frame),
    "ledger-not-read": (f"{DISPATCH}.links.apply_ledger_record", lambda real: lambda *a: None),
    "lost-is-not-run": (f"{DISPATCH}.jobs.mark_task_lost", lambda real: return_lost_task),
    "not-run-unproven": (f"{DISPATCH}.jobs.deliver_answer", lambda real: answer_at_once),
    "lost-ledger": (f"{DISPATCH}.admission.may_be_in_lost_ledger", lambda real: lambda *a: False),
    "unread-ledger": (
        f"{DISPATCH}.admission.may_be_in_unread_ledger",
        lambda real: lambda *a: False,
    ),
    "unvalidated-claim": (f"{DISPATCH}.ownership._may_claim", lambda real: lambda *a: True),
    "listeners-not-told": (f"{DISPATCH}.links._notify_listeners", lambda real: lambda *a: None),
    "partial-answer": (f"{DISPATCH}.jobs.complete_job", lambda real: complete_early),
}

EXECUTION = "comfreysill.execution"
PLACEMENT = "comfreysill.placement"


def return_unconfirmed_run(agent, run, now):
    from comfreysill.execution.starts import _return_run

    _return_run(agent, run, now, "no answer")


def free_stopping(real):
    def stop(agent, run, now):
        if not run.stop_sent_at:
            agent.cpu_used -= run.batch.cpu
        real(agent, run, now)

    return stop


def keep_connected(real):
    def drop(state, agent):
        real(state, agent)
        agent.connected = True

    return drop


def ignore_port(real):
    return lambda actor, listening: real(actor, listening=True)


def resolve_at_once(agent, run, reply, is_listed, now):
    from comfreysill.execution.starts import requeue_start

    requeue_start(agent, run, now)


# Rules of the design on the platform, broken on the virtual floor.
FLOOR_MUTATIONS = {
    "link-lease": ("tests.platform_world.expire_sessions", lambda real: lambda *a: None),
    "orders-unchecked": (f"{EXECUTION}.frame_handling._check_order", lambda real: lambda *a: ""),
    "token-not-raised": (
        f"{EXECUTION}.starts._mark_start_unconfirmed",
        lambda real: return_unconfirmed_run,
    ),
    "unsure-settled-early": (
        f"{EXECUTION}.renewals._resolve_unconfirmed_start",
        lambda real: resolve_at_once,
    ),
    "stopping-frees-room": (f"{EXECUTION}.starts._queue_stop_call", free_stopping),
    "strays-kept": (f"{EXECUTION}.renewals._stop_orphaned_runs", lambda real: lambda *a: None),
    "gone-too-soon": (f"{PLACEMENT}.agents.AGENT_EXPIRY_SECONDS", lambda real: 0.3),
    "earlier-lifetimes-kept": (
        f"{EXECUTION}.frame_handling._end_sessions_of_earlier_lifetimes",
        lambda real: lambda *a: None,
    ),
    "stops-not-repeated": ("tests.platform_world.resend_stops", lambda real: lambda *a: None),
    "stalls-unseen": (f"{EXECUTION}.progress._stop_stalled", lambda real: lambda *a: None),
    "avoided-for-good": (f"{PLACEMENT}.placement._clear_avoided", lambda real: lambda *a: None),
    "lost-agents-counted": (f"{PLACEMENT}.subset._is_unavailable", lambda real: lambda *a: False),
    "panel-of-one-order": (f"{PLACEMENT}.agents.rank_agent", lambda real: lambda entry, agent: 0),
    "tasks-left-behind": (f"{PLACEMENT}.subset.remove_link", keep_connected),
    "all-hungry-told": (f"{EXECUTION}.frames.MAX_NOTIFIED_ENTRIES", lambda real: 99),
    "hunger-unranked": ("tests.test_placement.rank_demand", lambda real: lambda state: 1),
    "acceptance-not-told": (f"{EXECUTION}.frames.is_accepting", lambda real: lambda *a: True),
    "ready-without-port": ("tests.test_gateway.is_ready", lambda real: ignore_port(real)),
    "old-lists": ("tests.test_execution.receive_renewal", lambda real: forget_list_time(real)),
}
MUTATIONS |= FLOOR_MUTATIONS


def forget_list_time(real):
    def receive(agent, reply, now):
        agent.listed_at_ms = 0
        real(agent, reply, now)

    return receive


def build_suite(name):
    from tests import test_fuzz, test_ledger, test_platform_floor, test_takeover

    loader = unittest.defaultTestLoader
    if name in FLOOR_MUTATIONS:
        from tests import test_execution, test_gateway, test_placement, test_subset

        modules = [test_execution, test_placement, test_subset, test_gateway, test_platform_floor]
        return unittest.TestSuite(loader.loadTestsFromModule(module) for module in modules)
    suite = loader.loadTestsFromModule(test_takeover)
    suite.addTests(loader.loadTestsFromModule(test_ledger))
    suite.addTests(loader.loadTestsFromTestCase(test_fuzz.FloorTest))
    return suite


def run_mutated(name):
    """Runs the fuzzer under one mutation; exit status 1 when it was caught."""
    global REAL_COMPLETE
    path, build = MUTATIONS[name]
    REAL_COMPLETE = _real(f"{DISPATCH}.jobs.complete_job")
    suite = build_suite(name)
    with mock.patch(path, build(_real(path))), open(os.devnull, "w") as nowhere:
        result = unittest.TextTestRunner(stream=nowhere, failfast=True).run(suite)
    for test, text in result.failures + result.errors:
        print(f"by {test.id()}", end=": ")
        lines = [line for line in text.splitlines() if "Error" in line]
        print(lines[-1].strip(" |") if lines else text[-200:])
    return 0 if result.wasSuccessful() else 1


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
        caught = run.returncode == 1
        said = [line for line in run.stdout.splitlines() if not line.startswith("FUZZ")]
        print(f"{name}: {'caught' if caught else 'MISSED'} {said[-1] if said else ''}", flush=True)
        if not caught:
            missed.append(name)
    print(f"{len(names or MUTATIONS) - len(missed)} caught, {len(missed)} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        sys.exit(run_mutated(sys.argv[2]))
    sys.exit(main(sys.argv[1:]))
