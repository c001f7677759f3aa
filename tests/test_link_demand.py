"""Room that one entry can't see: links by need, alone and on the model of a deployment."""

import math
import random
import unittest
from unittest import mock

from comfreysill.exchange.messages import AgentFrame, Load, Profile
from comfreysill.placement.agents import begin_session, discover_agent, receive_agent_frame
from comfreysill.placement.effects import OpenLink
from comfreysill.placement.link_demand import (
    LATE_SECONDS,
    UNANSWERED_SECONDS,
    update_links_by_need,
)
from comfreysill.placement.link_need import (
    END_SECONDS,
    KEEP_SECONDS,
    MAX_VAIN_SECONDS,
    NeededLink,
    ServiceLinks,
    count_needed_links,
    judge_step,
)
from comfreysill.placement.placement import is_usable
from comfreysill.placement.queue import push_request
from comfreysill.placement.state import EntryState
from comfreysill.placement.subset import compute_subset_size, update_subset
from comfreysill.request.request import Request
from comfreysill.request.types import Specification, Step, Verdict
from comfreysill.waits.ledger import NearWait
from tests.platform_world import World

AGENTS, ENTRIES = 70, 12
TARGET_CPU, TASK_CPU = 32_000, 4_000
LOOK_SECONDS = 0.025


def build_specification(request_id, seconds=0.15, tasks=4, cpu=TASK_CPU, rack=""):
    step = Step(count=tasks, cpu=cpu, memory_mb=1, estimate=seconds, rack=rack)
    return Specification(
        request_id=request_id,
        route="r",
        service="s",
        payload=str(seconds),
        steps=(step,),
        priority=0,
        max_attempts=2,
        stretch=1.5,
        slack_seconds=0.08,
    )


class Entry:
    """One entry beside agents that answer each link, with the free CPU that `free_cpu` returns."""

    def __init__(self, name="e0", agents=AGENTS, entries=ENTRIES, max_share=0.75):
        self.now = 10.0
        self.free_cpu = lambda agent: TARGET_CPU
        # Agents that don't answer.
        self.silent = set()
        self.opened = []
        self.state = EntryState(
            name=f"{name}@1", zone="z1", unix_offset=0.0, max_link_share=max_share
        )
        self.state.entries = [f"{number}:1" for number in range(entries)]
        for number in range(agents):
            discover_agent(self.state, f"a{number}", f"a{number}:1", "s")
        self.run(0.5)
        self.base = self.list_linked()

    def run(self, seconds):
        for _ in range(round(seconds / LOOK_SECONDS)):
            self.now += LOOK_SECONDS
            self.state.ticked_at = self.now
            for agent in self.state.agents.values():
                if agent.link_requested_at and agent.name not in self.silent:
                    self.answer(agent)
            update_subset(self.state, self.now)
            update_links_by_need(self.state, self.now)
            effects, self.state.effects = self.state.effects, []
            self.opened += [effect.agent for effect in effects if isinstance(effect, OpenLink)]

    def answer(self, agent):
        if not agent.connected:
            begin_session(self.state, agent.name, self.now)
        number = int(agent.name[1:])
        frame = AgentFrame(
            agent=agent.name,
            lifetime="1",
            session=agent.session,
            seen=0,
            stamp=self.now,
            load=Load(
                accepting=True,
                cpu=self.free_cpu(agent.name),
                memory_mb=1000,
                gpus=0,
                slowness=1.0,
            ),
            profile=Profile(
                service="s",
                zone=f"z{number % 3}",
                cpu=TARGET_CPU,
                memory_mb=1000,
                gpus=0,
                labels=(f"rack-{number % 7}",),
            ),
            ended=[],
            active=[],
            opening=not agent.handshake_done,
            routes_version=0,
            routes_holder="",
            next_seconds=0.3,
        )
        receive_agent_frame(self.state, frame, self.now)

    def list_linked(self):
        return {agent.name for agent in self.state.agents.values() if agent.link_requested_at}

    def wait_for_room(self, requests=20, **fields):
        """Queues requests that find no room at the linked agents."""
        for number in range(requests):
            specification = build_specification(f"q{number}", seconds=1000.0, **fields)
            request = Request(specification=specification, received_at=self.now, unix_offset=0.0)
            push_request(self.state, request, self.now)

    def count_needed(self):
        return count_needed_links(self.state.link_demand)


class TestLinkDemand(unittest.TestCase):
    def test_need_is_answered_within_a_pass_and_in_growing_steps(self):
        entry = Entry()
        self.assertEqual(len(entry.base), compute_subset_size(AGENTS, ENTRIES))
        entry.wait_for_room(requests=200)
        sizes = []
        for _ in range(12):
            before = entry.count_needed()
            entry.run(LOOK_SECONDS)
            sizes.append(entry.count_needed() - before)
        self.assertEqual(sizes[0], 6)
        self.assertEqual([size for size in sizes if size], [6, 12, 6])
        self.assertLessEqual(sum(sizes[:8]), 0.75 * AGENTS)

    def test_links_go_back_one_by_one_when_the_need_ends(self):
        entry = Entry()
        entry.wait_for_room(requests=200)
        entry.run(0.5)
        used = max(entry.list_linked() - entry.base)
        entry.state.agents[used].tasks["x/0/0"] = mock.Mock()
        entry.state.queues.clear()
        entry.run(KEEP_SECONDS - 0.6)
        self.assertEqual(entry.count_needed(), 24)
        counts = []
        for _ in range(int(4 / LOOK_SECONDS)):
            entry.run(LOOK_SECONDS)
            counts.append(entry.count_needed())
        self.assertLessEqual(max(a - b for a, b in zip(counts, counts[1:], strict=False)), 1)
        self.assertEqual(entry.list_linked(), entry.base | {used})
        # It takes no more tasks, so that it can be given back.
        self.assertFalse(is_usable(entry.state, entry.state.agents[used], entry.now))
        entry.state.agents[used].tasks.clear()
        entry.run(0.1)
        self.assertEqual(entry.list_linked(), entry.base)
        entry.run(10.0)
        self.assertEqual(entry.state.link_demand.services, {})

    def test_a_used_link_is_kept_while_the_need_lasts(self):
        entry = Entry()
        entry.wait_for_room(requests=4)
        entry.run(0.2)
        used = max(entry.list_linked() - entry.base)
        task = mock.Mock()
        task.step = 0
        task.request.specification = build_specification("x")
        entry.state.agents[used].tasks["x/0/0"] = task
        entry.run(KEEP_SECONDS + 1.0)
        self.assertTrue(is_usable(entry.state, entry.state.agents[used], entry.now))
        # The need ends, and returns while the link is given back.
        entry.state.queues.clear()
        entry.run(END_SECONDS + KEEP_SECONDS + 0.3)
        self.assertFalse(is_usable(entry.state, entry.state.agents[used], entry.now))
        entry.wait_for_room(requests=20)
        entry.run(0.2)
        self.assertTrue(is_usable(entry.state, entry.state.agents[used], entry.now))

    # Guards against an entry that ends after hours in which all targets are full.
    def test_thousands_of_steps_in_vain_wait_no_longer_than_some(self):
        own = ServiceLinks()
        own.step, own.vain_tries = ("gone",), 5_000
        own.links["gone"] = NeededLink(requested_at=0.0)
        self.assertFalse(judge_step(own, 10.0))
        self.assertEqual(own.vain_until, 10.0 + MAX_VAIN_SECONDS)

    def test_nothing_is_widened_in_vain_for_ever_while_all_are_full(self):
        entry = Entry()
        entry.free_cpu = lambda agent: 0
        entry.wait_for_room(requests=200)
        entry.run(20.0)
        # After 0.5, 1, 2, 4 and 8 s, and then each 8 s.
        self.assertLessEqual(len(entry.opened) - len(entry.base), 6 + 5 * 4)
        self.assertEqual(entry.list_linked(), entry.base)
        entry.free_cpu = lambda agent: 0 if agent in entry.base else TARGET_CPU
        entry.run(8.5)
        self.assertGreater(entry.count_needed(), 0)

    def test_agents_that_die_or_are_cut_off_while_links_are_opened_dont_stall_the_others(self):
        entry = Entry()
        entry.silent = {f"a{number}" for number in range(AGENTS) if number % 3 == 0} - entry.base
        entry.wait_for_room(requests=200)
        entry.run(0.6)
        answered = entry.list_linked() - entry.base - entry.silent
        self.assertGreaterEqual(len(answered), 10)
        entry.run(UNANSWERED_SECONDS)
        counted = entry.state.counters["links_given_back"]
        self.assertGreater(counted, 0)
        self.assertLessEqual(len(entry.list_linked()), 2 * len(entry.base))

    def test_entries_under_the_same_load_choose_different_agents(self):
        chosen = {f"a{number}": 0 for number in range(AGENTS)}
        for number in range(ENTRIES):
            entry = Entry(f"edge-{number}")
            entry.wait_for_room(requests=5)
            entry.run(LOOK_SECONDS)
            for agent in entry.list_linked() - entry.base:
                chosen[agent] += 1
        self.assertLessEqual(max(chosen.values()), 5)

    def test_agents_of_a_rack_that_requests_name_come_first(self):
        entry = Entry()
        entry.wait_for_room(requests=200)
        entry.run(0.5)
        known = entry.list_linked() - entry.base
        entry.state.queues.clear()
        entry.run(6.0)
        entry.wait_for_room(requests=4, rack="rack-3")
        entry.run(LOOK_SECONDS)
        first = entry.list_linked() - entry.base
        in_rack = {name for name in known if int(name[1:]) % 7 == 3}
        self.assertTrue(in_rack and (first <= in_rack or in_rack <= first), (first, in_rack))

    def test_tasks_that_wait_for_a_place_near_their_data_open_none(self):
        entry = Entry()
        entry.wait_for_room(requests=10, rack="rack-3")
        for number in range(10):
            wait = NearWait(
                rack="rack-3",
                count=4,
                cpu=TASK_CPU,
                due_at=math.inf,
                priority=0,
                decided_at=entry.now,
                forecast_at=entry.now,
                ends_at=math.inf,
            )
            entry.state.waits.waits[f"q{number}", 0] = wait
        entry.run(0.5)
        self.assertEqual(entry.count_needed(), 0)
        wait.closed = True
        entry.run(0.5)
        self.assertGreater(entry.count_needed(), 0)

    def test_an_entry_that_is_short_of_processor_time_opens_none(self):
        entry = Entry()
        entry.now += 0.2
        entry.wait_for_room(requests=200)
        entry.run(LATE_SECONDS)
        self.assertEqual(entry.count_needed(), 0)
        entry.run(0.2)
        self.assertGreater(entry.count_needed(), 0)

    def test_deployments_with_all_links_and_a_share_of_0_are_served_as_before(self):
        for fields in ({"agents": 16}, {"entries": 3, "agents": 11}, {"max_share": 0.0}):
            entry = Entry(**fields)
            entry.wait_for_room(requests=200)
            entry.run(1.0)
            self.assertEqual(entry.list_linked(), entry.base)

    def test_steps_are_bounded_at_5500_agents(self):
        entry = Entry(agents=5500, entries=120)
        base_count = compute_subset_size(5500, 120)
        entry.wait_for_room(requests=2000)
        entry.run(LOOK_SECONDS)
        self.assertEqual(entry.count_needed(), 32)
        entry.run(0.4)
        self.assertLessEqual(entry.count_needed(), base_count)
        self.assertGreaterEqual(entry.count_needed(), 4 * 32)


class Play:
    """Requests at 70 targets of 8 cores; one in 12 of what they can do is 39 a second."""

    def __init__(self, max_share, rate, seconds, seed=1):
        self.random = random.Random(seed)
        self.world = World(seed, entries=ENTRIES, agents=AGENTS)
        for process in self.world.entries.values():
            process.state.link_demand.max_share = max_share
        self.answers = {}
        self.sent = {}
        self.idle_core_seconds = 0.0
        self.most_needed = 0
        handle_verdict = self.world.handle_verdict

        def record_verdict(entry, effect):
            request_id = self.world.callers.get(effect.caller, (None,))[0]
            self.answers.setdefault(request_id, (self.world.now, effect.verdict))
            handle_verdict(entry, effect)

        self.world.handle_verdict = record_verdict
        self.world.run(2.0)
        began_at = self.world.now
        for _ in range(round(seconds / LOOK_SECONDS)):
            self.send(rate, self.world.now - began_at)
            self.measure()
        self.world.run(1.0)

    def send(self, rate, at):
        """Sends the requests of the next LOOK_SECONDS."""
        ends_at = self.world.now + LOOK_SECONDS
        arrivals = []
        for number, entry in enumerate(self.world.entries):
            mean_seconds = 1.0 / rate(number, at)
            arrives_at = self.world.now + self.random.expovariate(1.0 / mean_seconds)
            while arrives_at < ends_at:
                arrivals.append((arrives_at, entry))
                arrives_at += self.random.expovariate(1.0 / mean_seconds)
        for arrives_at, entry in sorted(arrivals):
            self.world.run(arrives_at - self.world.now)
            seconds = 0.15 * self.random.lognormvariate(-0.08, 0.4)
            specification = build_specification(f"q{len(self.sent)}", seconds=seconds, cpu=2000)
            request_id = specification.request_id
            self.sent[request_id] = self.world.now + 1.5 * seconds + 0.08
            self.world.requests[request_id] = specification
            self.world.verdicts[request_id] = []
            self.world.send_request(request_id, entry)
        self.world.run(ends_at - self.world.now)

    def measure(self):
        """Adds the room that is idle while requests wait, at most what they wait for."""
        states = [process.state for process in self.world.entries.values()]
        waiting_cpu = sum(
            2000 * sum(map(len, request.pending.values()))
            for state in states
            for request in state.requests.values()
            if request.queued
        )
        free_cpu = sum(max(0, self.world.measure_free_cpu(name)) for name in self.world.agents)
        self.idle_core_seconds += LOOK_SECONDS * min(waiting_cpu, free_cpu) / 1000
        needed = sum(count_needed_links(state.link_demand) for state in states)
        self.most_needed = max(self.most_needed, needed)

    def count(self, verdict):
        return sum(answer[1] == verdict for answer in self.answers.values())

    def count_on_time(self):
        return sum(
            self.answers.get(request_id, (math.inf, None))[0] <= due_at
            and self.answers[request_id][1] == Verdict.COMPLETED
            for request_id, due_at in self.sent.items()
        )


class TestOnePool(unittest.TestCase):
    def compare(self, rate, seconds):
        """Returns the plays without and with links by need."""
        plays = [Play(max_share, rate, seconds) for max_share in (0.0, 0.75)]
        for play in plays:
            self.assertEqual(play.world.violations, [])
        return plays

    def test_a_burst_reaches_one_entry_of_several_while_others_are_idle(self):
        """Half of what all targets can do comes to one entry, linked to a third of them.

        Without links by need 12 of 100 are refused (a trial), while most of the room is idle.
        """
        off, on = self.compare(lambda number, at: 5 if number else 250, 2.0)
        self.assertGreater(off.count(Verdict.NOT_RUN), 0.05 * len(off.sent))
        self.assertLess(on.count(Verdict.NOT_RUN), 0.1 * off.count(Verdict.NOT_RUN))
        self.assertLess(on.idle_core_seconds, 0.1 * off.idle_core_seconds)
        self.assertGreater(on.count_on_time(), 0.98 * len(on.sent))
        on.world.run(8.0)
        states = [process.state for process in on.world.entries.values()]
        self.assertEqual(sum(count_needed_links(state.link_demand) for state in states), 0)

    def test_waves_out_of_phase(self):
        """Each third of the entries has its peak, of 2.3 times the mean, in its own second."""

        def rate(number, at):
            return 30 * (1 + 1.3 * math.sin(2 * math.pi * (at / 3 + number % 3 / 3))) + 1e-6

        off, on = self.compare(lambda number, at: max(1.0, rate(number, at)), 3.0)
        self.assertLess(on.idle_core_seconds, 0.5 * off.idle_core_seconds)
        self.assertGreaterEqual(on.count_on_time(), off.count_on_time())
