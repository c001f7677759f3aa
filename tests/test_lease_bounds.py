"""Bounds on how long a run outlasts its agent's knowledge, at runners with slow clocks.

All times are from the platform's pages: a runner's clock may be 2% slow, a stop takes at most
50 ms, and a lease is at most 1 s long.
"""

import unittest

from hypothesis import strategies as st

from comfreysill.exchange.messages import (
    LEASE_MARGIN_SECONDS,
    MAX_RUN_LEASE_SECONDS,
    RUN_LEASE_SECONDS,
)
from comfreysill.execution.calls import RenewCall
from comfreysill.execution.state import AgentState, grant_run_lease, record_clock
from tests.fuzzing import fuzz
from tests.platform_world import CPU_CAPACITY, NEVER
from tests.test_late_calls import DOWN_SECONDS, SEEDS, LateCallCase, find_runners

SLOWEST_RATE = 0.98
STOP_SECONDS = 0.05
# The clock in a reply is in whole milliseconds.
RESOLUTION_SECONDS = 0.001


class TestLeaseBounds(unittest.TestCase):
    # Guards against runs that are counted as gone while their lease goes on, as the runner's clock
    # is slow and was last read long ago.
    @fuzz(
        300,
        st.floats(SLOWEST_RATE, 1.0),
        st.floats(0.0, 30.0),
        st.floats(0.0, 5.0),
        st.floats(0.0, 5.0),
    )
    def test_a_granted_lease_has_ended_when_the_agent_counts_it_as_ended(
        self, rate, age, reply_delay, call_delay
    ):
        agent = AgentState(agent="a", lifetime="1", zone="z", token=1)
        read_at = 50.0
        record_clock(agent, int(rate * read_at * 1000), read_at + reply_delay)
        now = read_at + reply_delay + age
        lease_until_ms = grant_run_lease(agent, now)
        # The runner shortens the lease when it carries the call out.
        carried_out_at = rate * (now + call_delay)
        until = min(lease_until_ms / 1000, carried_out_at + MAX_RUN_LEASE_SECONDS)
        ends_at = until / rate + STOP_SECONDS
        self.assertLessEqual(ends_at, agent.leases_expire_at + RESOLUTION_SECONDS)

    def test_the_margin_allows_for_the_slowest_clock_and_a_stop(self):
        for seconds in (RUN_LEASE_SECONDS, MAX_RUN_LEASE_SECONDS):
            longest = seconds / SLOWEST_RATE + STOP_SECONDS
            self.assertLessEqual(longest, seconds + LEASE_MARGIN_SECONDS + RESOLUTION_SECONDS)


class TestLeasesOfAFirstMoment(LateCallCase):
    """A renewal of the lifetime before, whose lease lies far ahead, is carried out at a birth."""

    # Guards against a task that is started elsewhere while it runs on at a silent runner, as a late
    # call had given that runner a longer lease than its agent knew of: the agent goes on granting
    # leases for RENEWAL_GIVE_UP_SECONDS, so that it counts the runs as gone later than that.
    def test_a_late_renewal_at_a_birth_does_not_outlast_the_runs_that_are_given_up(self):
        for seed in SEEDS:
            world = self.build_world(seed)
            lifetime = world.runners["a0"].lifetime
            late = RenewCall(
                lifetime=lifetime,
                token=world.agents["a0"].state.token,
                ended_seen=0,
                lease_until_ms=int(world.now * 1000),
                wait_ms=0,
                sent_at=world.now,
            )
            for name in ("a1", "a2"):
                world.runners[name].set_cpu(0)
                world.report_now(name)
            world.crash_runner("a0", down_seconds=DOWN_SECONDS)
            world.late_calls["a0"].append(late)
            world.schedule(DOWN_SECONDS, world.carry_out_late, "a0", late)
            world.run(DOWN_SECONDS + 0.02)
            self.submit(world)
            self.run_until(world, lambda world=world: find_runners(world))
            world.delay_call = lambda process, call: NEVER if process.name == "a0" else None
            for name in ("a1", "a2"):
                world.runners[name].set_cpu(CPU_CAPACITY)
                world.report_now(name)
            self.check(world, seed)


if __name__ == "__main__":
    unittest.main()
