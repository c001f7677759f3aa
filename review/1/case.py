"""An entry is paused for four seconds while callers send jobs; see claim.txt."""

import asyncio
import pathlib
import signal

import harness

FREEZE_SECONDS = 3.5
WAIT_SECONDS = 1.5
MAX_ATTEMPTS = 5
STEPS = [{"count": 4, "cpu": 1000, "mem-mb": 64, "estimate-ms": 1200}]
SPEC = "1.2"


async def run_client(floor, client, job):
    """Sends a job until it is answered with 200; after no answer or a 504, again 1.3 s later."""
    for attempt in range(MAX_ATTEMPTS):
        entry = harness.choose_entry(floor, client, attempt)
        status, _ = await harness.submit(floor, entry, job, STEPS, SPEC, WAIT_SECONDS)
        if status not in (0, 502, 504):
            return
        await asyncio.sleep(harness.RETRANSMIT_SECONDS)


async def main(folder, trouble):
    """Plays the case; returns the overlapping runs."""
    floor = harness.Floor(folder, pathlib.Path(__file__).parent, entries=3, agents=11)
    try:
        await harness.start_floor(floor)
        await asyncio.sleep(1.0)
        clients = []

        async def send_jobs():
            for number in range(30):
                call = run_client(floor, f"client-{number}", f"{number + 1:016x}")
                clients.append(asyncio.create_task(call))
                await asyncio.sleep(0.15)

        sender = asyncio.create_task(send_jobs())
        await asyncio.sleep(0.5)
        if trouble:
            harness.send_signal(floor, "entry-0", signal.SIGSTOP)
            await asyncio.sleep(FREEZE_SECONDS)
            harness.send_signal(floor, "entry-0", signal.SIGCONT)
        await sender
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
        runs = harness.read_runs(floor)
        harness.record_runs(floor, runs)
        overlaps = harness.find_overlaps(runs)
        for first, second in overlaps:
            length = min(first.ended_at, second.ended_at) - second.started_at
            floor.note(
                f"TWICE: {second.task} on {first.runner} and {second.runner} for {length:.3f} s",
                second.started_at,
            )
        floor.note(f"{len(runs)} runs, {len(overlaps)} of them beside another run of their task")
        return overlaps
    finally:
        await harness.stop_floor(floor)


harness.run_case(main)
