"""Admission: which requests are refused early, how routes share room, when callers come back."""

import json
import math
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from comfreysill.exchange.messages import Load, Profile
from comfreysill.placement.admission import (
    JUDGE_INTERVAL_SECONDS,
    LET_THROUGH_INTERVAL,
    MAX_WAIT_PART,
    Admission,
    begin_pass,
    choose_return,
    count_pending,
    end_pass,
    find_useless,
    get_room,
    is_judging_due,
    note_placed,
    note_queued,
)
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.agents import begin_session, discover_agent
from comfreysill.placement.orders import Candidate
from comfreysill.placement.placement import place_waiting
from comfreysill.placement.queue import pop_request, push_request
from comfreysill.placement.requests import submit_request
from comfreysill.placement.reservations import (
    RESERVATION_SECONDS,
    reserve_for_head,
    select_unreserved,
)
from comfreysill.placement.returns import (
    MAX_TURNED_AWAY,
    RETRY_AFTER_SECONDS,
    RETRY_SPREAD_SECONDS,
    TURNED_AWAY_SECONDS,
    TurnedAway,
    book_return,
    has_returned,
    note_turned_away,
)
from comfreysill.placement.room import (
    MAX_WAIT_FACTOR,
    MIN_WAIT_FACTOR,
    RouteRoom,
    ServiceRoom,
    add_to_meter,
    measure_rate,
    record_outcome,
    record_wrong_refusal,
)
from comfreysill.placement.state import EntryState
from comfreysill.platform.settings import read_instance_settings
from comfreysill.platform.settings_file import SETTINGS_VARIABLE
from comfreysill.request.request import Request, place_task
from comfreysill.request.types import Specification, Step
from standins.admission import SCENARIOS, Play, is_on_time, measure_share, measure_value
from tests.waits import build_wait

INSTANCE = {
    "node": "e1",
    "zone": "z",
    "ip": "10.0.0.1",
    "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "port-range": [7720, 7729],
    "platform": {"address": "10.0.0.9:9"},
    "bounds": {"grace-s": 6},
}
# Of four plays of the same load, shares differ by a few hundredths without a cause.
CHANCE = 0.03


def build_request(request_id, route="q", tasks=2, estimate=0.2, priority=0, cpu=1000, now=100.0):
    specification = Specification(
        request_id=request_id,
        route=route,
        service="s",
        payload="",
        steps=(Step(count=tasks, cpu=cpu, memory_mb=1, estimate=estimate),),
        priority=priority,
        max_attempts=2,
        stretch=1.6,
        slack_seconds=0.06,
    )
    return Request(specification=specification, received_at=now, unix_offset=0.0)


def place_all(admission, request, now):
    """Places all tasks of a request; returns the name of the counter of its forecast's outcome."""
    before, was_begun = count_pending(request), request.begun
    for tasks in list(request.pending.values()):
        for task in list(tasks):
            place_task(task, "a")
    return note_placed(admission, request, before, was_begun, now)


class TestEarlyRefusals(unittest.TestCase):
    def setUp(self):
        self.admission = Admission(refuses_early=True)
        self.room = get_room(self.admission, "s")
        self.now = 100.0
        self.count = 0

    def contend(self, seconds, starts, route="q"):
        """Lets requests wait for a time in which some of two tasks start."""
        for _ in range(starts):
            self.now += seconds / starts
            begin_pass(self.admission, self.room, self.now)
            self.count += 1
            place_all(self.admission, self.queue(f"started{self.count}", route), self.now)
            end_pass(self.room, is_contended=True)

    def queue(self, request_id, route="q", **fields):
        request = build_request(request_id, route, now=self.now, **fields)
        note_queued(self.admission, request, self.now)
        return request

    def queue_many(self, number):
        return [self.queue(f"waiting{index}") for index in range(number)]

    def find_useless(self, waiting):
        self.now += JUDGE_INTERVAL_SECONDS
        found = find_useless(self.admission, self.room, waiting, 1.0, self.now)
        return [judgement.request for judgement in found]

    def test_an_entry_that_has_just_started_refuses_nothing(self):
        end_pass(self.room, is_contended=True)
        self.assertFalse(is_judging_due(self.admission, self.room, self.now))

    def test_what_was_learned_long_ago_refuses_nothing(self):
        self.contend(1.0, 20)
        self.assertTrue(is_judging_due(self.admission, self.room, self.now))
        end_pass(self.room, is_contended=False)
        self.assertFalse(is_judging_due(self.admission, self.room, self.now + 5.0))

    def test_few_starts_refuse_nothing(self):
        self.contend(0.1, 2)
        for _ in range(20):
            self.now += 0.05
            begin_pass(self.admission, self.room, self.now)
        self.assertEqual(self.find_useless(self.queue_many(200)), [])

    def test_rate_at_which_room_comes(self):
        self.contend(2.0, 40)
        self.assertAlmostEqual(measure_rate(self.room, "q", self.now), 40.0, delta=4.0)

    def test_new_requests_behind_a_long_queue_are_refused_at_once(self):
        """Requests were held for their objective and more, and refused then."""
        self.contend(2.0, 40)
        admitted = self.queue_many(3)
        self.assertEqual(self.find_useless(admitted), [])
        new = [self.queue(f"new{index}") for index in range(100)]
        refused = self.find_useless(admitted + new)
        self.assertGreater(len(refused), 50)
        self.assertFalse(set(admitted) & set(refused))

    def test_short_queues_refuse_nothing(self):
        self.contend(2.0, 40)
        self.assertEqual(self.find_useless(self.queue_many(4)), [])

    def test_late_requests_wait_while_there_is_spare_room(self):
        self.contend(0.4, 20)
        late = self.queue("late")
        self.now = late.due_at - 0.1
        self.assertEqual(self.find_useless([late]), [])

    def test_late_requests_are_refused_while_others_wait(self):
        late = self.queue("late")
        self.contend(2.0, 40)
        self.assertEqual(self.find_useless([late]), [late])

    def test_none_waits_long_while_others_have_waited(self):
        """A queue as long as the objective lets all its requests start too late."""
        self.contend(2.0, 40)
        waiting = self.queue("waiting", estimate=10.0)
        self.assertEqual(self.find_useless([waiting]), [])
        self.now += 1.1 * MAX_WAIT_PART * (waiting.due_at - waiting.received_at)
        begin_pass(self.admission, self.room, self.now)
        self.contend(1.0, 40)
        self.assertEqual(self.find_useless([waiting]), [waiting])

    def test_with_spare_room_requests_may_wait(self):
        self.contend(0.4, 20)
        waiting = self.queue("waiting", estimate=10.0)
        self.now += 1.1 * MAX_WAIT_PART * (waiting.due_at - waiting.received_at)
        self.assertEqual(self.find_useless([waiting]), [])

    def test_a_part_is_let_through(self):
        """An entry that refuses everything would never learn of new room."""
        self.contend(2.0, 40)
        for index in range(4 * LET_THROUGH_INTERVAL * 10):
            self.queue(f"n{index}")
        waiting = [self.queue(f"w{index}") for index in range(40 * LET_THROUGH_INTERVAL)]
        refused = self.find_useless(waiting)
        let_through = 1 - len(refused) / len(waiting)
        self.assertGreater(let_through, 0.5 / LET_THROUGH_INTERVAL)
        self.assertLess(let_through, 4.0 / LET_THROUGH_INTERVAL)

    def test_who_was_turned_away_is_not_refused_early_again(self):
        self.contend(2.0, 40)
        waiting = self.queue_many(100)
        refused = self.find_useless(waiting)[-1]
        choose_return(self.admission, refused, self.now)
        again = self.queue(refused.specification.request_id)
        self.assertNotIn(again, self.find_useless([*waiting, again]))

    def test_forecasts_are_checked(self):
        self.contend(2.0, 40)
        request = self.queue("checked")
        self.find_useless([request])
        self.assertEqual(place_all(self.admission, request, self.now), "admission_admitted_on_time")
        late = self.queue("late")
        self.find_useless([late])
        outcome = place_all(self.admission, late, self.now + 1.0)
        self.assertEqual(outcome, "admission_admitted_late")

    def test_wrong_estimates_correct_themselves(self):
        room = RouteRoom()
        for _ in range(200):
            record_outcome(room, is_lost=True)
        self.assertEqual(room.wait_factor, MAX_WAIT_FACTOR)
        for _ in range(200):
            record_outcome(room, is_lost=False)
        self.assertEqual(room.wait_factor, MIN_WAIT_FACTOR)
        room.wait_factor = MAX_WAIT_FACTOR
        for _ in range(4):
            record_wrong_refusal(room)
        self.assertEqual(room.wait_factor, MIN_WAIT_FACTOR)


class TestContention(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.state = EntryState(name="e@1", zone="z", unix_offset=0.0)
        self.state.admission = Admission(refuses_early=True, least_share=0.5)
        discover_agent(self.state, "a", "a:1")
        begin_session(self.state, "a", self.now)

    def is_contended(self, cpu, cpu_of_task=1000):
        """Returns whether a request waits for room after one pass over its queue."""
        agent = self.state.agents["a"]
        agent.handshake_done, agent.next_seconds, agent.last_frame_at = True, 1.0, self.now
        agent.profile = Profile(service="s", zone="z", cpu=8000, memory_mb=9, gpus=0, labels=())
        agent.load = Load(accepting=True, cpu=cpu, memory_mb=9, gpus=0, slowness=1.0)
        specification = build_request("r", cpu=cpu_of_task).specification
        submit_request(self.state, 1, specification, self.now, build_wait(self.now))
        place_waiting(self.state, self.now)
        return get_room(self.state.admission, "s").is_contended

    def test_requests_wait_for_room(self):
        self.assertTrue(self.is_contended(cpu=500))

    def test_requests_that_wait_for_certain_targets_do_not_wait_for_room(self):
        """Requests were refused although targets were free."""
        self.assertFalse(self.is_contended(cpu=8000, cpu_of_task=9000))

    def test_what_is_placed_does_not_wait(self):
        self.assertFalse(self.is_contended(cpu=8000))


class TestShares(unittest.TestCase):
    def setUp(self):
        self.state = EntryState(name="e@1", zone="z", unix_offset=0.0)
        self.state.admission = Admission(least_share=0.5)
        self.room = get_room(self.state.admission, "s")
        self.now = 100.0

    def starve(self, seconds):
        """Route `low` gets a tenth of what it asks for, `high` all."""
        for index in range(int(seconds / 0.1)):
            self.now += 0.1
            begin_pass(self.state.admission, self.room, self.now)
            for route, priority, placed in (("high", 0, True), ("low", 2, index % 10 == 0)):
                request = build_request(f"{route}{index}", route, priority=priority, now=self.now)
                note_queued(self.state.admission, request, self.now)
                if placed:
                    place_all(self.state.admission, request, self.now)
            end_pass(self.room, is_contended=True)
        begin_pass(self.state.admission, self.room, self.now)

    def pop_routes(self):
        """Queues a request of each route; returns the routes in the order of their placement."""
        for route, priority in (("high", 0), ("low", 2)):
            push_request(
                self.state,
                build_request(f"{route}!", route, priority=priority, now=self.now, estimate=0.1),
                self.now,
            )
        popped = [pop_request(self.state.queues["s"])[4] for _ in range(2)]
        return [request.specification.route for request in popped]

    def test_priority_holds_while_routes_get_their_share(self):
        self.assertEqual(self.pop_routes(), ["high", "low"])

    def test_a_route_that_gets_nothing_gets_its_share(self):
        """A burst of a route of high priority took all room from the others."""
        self.starve(3.0)
        self.assertEqual(self.room.short_routes, {"low"})
        low = build_request("low!", "low", priority=2, now=self.now, estimate=0.05)
        push_request(self.state, low, self.now)
        push_request(self.state, build_request("high!", "high", now=self.now), self.now)
        self.assertIs(pop_request(self.state.queues["s"])[4], low)

    def test_shares_change_nothing_while_there_is_room(self):
        self.starve(3.0)
        end_pass(self.room, is_contended=False)
        begin_pass(self.state.admission, self.room, self.now + 3.0)
        self.assertEqual(self.room.short_routes, frozenset())


class TestReservations(unittest.TestCase):
    def build_candidates(self, *rooms):
        candidates = []
        for number, cpu in enumerate(rooms):
            agent = Agent(name=f"a{number}", address="")
            agent.load = Load(accepting=True, cpu=cpu, memory_mb=9, gpus=0, slowness=1.0)
            candidates.append(Candidate(agent=agent))
        return candidates

    def select(self, room, request, candidates, now):
        step = request.specification.steps[0]
        return select_unreserved(room, request, step, candidates, now)

    def test_small_tasks_do_not_pass_over_a_large_one_for_ever(self):
        room, candidates = ServiceRoom(), self.build_candidates(1000, 3000)
        large = build_request("large", cpu=5000)
        reserve_for_head(room, large, candidates, 100.0)
        small = build_request("small", estimate=0.2)
        self.assertEqual(self.select(room, small, candidates, 100.0), candidates[:1])
        self.assertEqual(self.select(room, large, candidates, 100.0), candidates)

    def test_kept_room_is_used_by_what_ends_before(self):
        room, candidates = ServiceRoom(), self.build_candidates(3000)
        reserve_for_head(room, build_request("large", cpu=5000), candidates, 100.0)
        brief = build_request("brief", estimate=RESERVATION_SECONDS / 2)
        self.assertEqual(self.select(room, brief, candidates, 100.0), candidates)

    def test_room_is_kept_once_for_a_time(self):
        room, candidates = ServiceRoom(), self.build_candidates(3000)
        large = build_request("large", cpu=5000)
        reserve_for_head(room, large, candidates, 100.0)
        later = 100.0 + 1.1 * RESERVATION_SECONDS
        small = build_request("small", now=later)
        self.assertEqual(self.select(room, small, candidates, later), candidates)
        reserve_for_head(room, large, candidates, later)
        self.assertEqual(self.select(room, small, candidates, later), candidates)

    def test_nothing_is_kept_for_what_fits(self):
        room = ServiceRoom()
        reserve_for_head(room, build_request("r", cpu=500), self.build_candidates(900), 100.0)
        self.assertIsNone(room.reservation)


class TestReturns(unittest.TestCase):
    def test_returns_are_spread_over_the_time_in_which_room_comes(self):
        """Callers that were refused together came back in the same second."""
        turned_away = TurnedAway()
        times = [book_return(turned_away, "s", 0.05, 100.0) for _ in range(60)]
        delays = [math.ceil(at - 100.0) for at in times]
        self.assertGreaterEqual(min(times), 100.0 + RETRY_AFTER_SECONDS)
        self.assertLess(max(times), 100.0 + RETRY_AFTER_SECONDS + RETRY_SPREAD_SECONDS)
        self.assertLess(max(map(delays.count, set(delays))) / len(delays), 0.5)

    def test_a_little_room_is_booked_at_once(self):
        self.assertEqual(book_return(TurnedAway(), "s", 9.0, 100.0), 100.0 + RETRY_AFTER_SECONDS)

    def test_memory_of_those_turned_away_is_bounded(self):
        turned_away = TurnedAway()
        for index in range(MAX_TURNED_AWAY + 10):
            note_turned_away(turned_away, str(index), 100.0)
        self.assertFalse(has_returned(turned_away, "0", 100.0))
        self.assertTrue(has_returned(turned_away, str(MAX_TURNED_AWAY), 100.0))
        self.assertLessEqual(len(turned_away.expires_at), MAX_TURNED_AWAY)
        note_turned_away(turned_away, "new", 100.0 + TURNED_AWAY_SECONDS)
        self.assertEqual(list(turned_away.expires_at), ["new"])

    def test_who_comes_back_and_is_refused_again_comes_back_first(self):
        admission = Admission(refuses_early=True)
        room = get_room(admission, "s")
        request = build_request("r", tasks=4)
        for meter, amount in (
            (room.contended, 1.0),
            (room.routes.setdefault("q", RouteRoom()).placed, 10.0),
            (room.routes["q"].starts, 10.0),
        ):
            add_to_meter(meter, amount, 100.0)
        choose_return(admission, request, 100.0)
        other = choose_return(admission, build_request("other", tasks=4), 100.0)
        self.assertGreater(other, 100.0 + RETRY_AFTER_SECONDS)
        self.assertEqual(choose_return(admission, request, 100.0), 100.0 + RETRY_AFTER_SECONDS)


class TestSettings(unittest.TestCase):
    def read(self, document):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.yaml"
            path.write_text(json.dumps(document) if isinstance(document, dict) else document)
            with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
                return read_instance_settings()

    def test_settings_beside_those_of_the_instance_switch_admission_on(self):
        admission = {"early-refusal": True, "least-share": 0.5}
        settings = self.read({"instance": INSTANCE, "admission": admission})
        self.assertEqual((settings.name, settings.refuses_early), ("e1", True))
        self.assertEqual(settings.least_share, 0.5)

    def test_without_its_settings_admission_is_off(self):
        settings = self.read(INSTANCE)
        self.assertEqual((settings.refuses_early, settings.least_share), (False, 0.0))


def find_scenario(name):
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


class TestPlayedLoads(unittest.TestCase):
    def play(self, name, seconds, seed=1, **options):
        play = Play(find_scenario(name), seed, seconds, **options)
        requests = play.run()
        self.assertEqual(play.world.violations, [])
        return requests

    def test_with_room_free_nothing_changes(self):
        """Load 0.5: each answer comes at the same moment as without admission."""
        before = self.play("0.5", 4.0)
        after = self.play("0.5", 4.0, share=0.5, refuses_early=True)
        self.assertEqual([sent.ended_at for sent in before], [sent.ended_at for sent in after])

    def test_refusals_come_while_callers_can_go_elsewhere(self):
        """Load 2.0: requests were held for their objective and more, and refused then.

        Half of the refused ones learn of it within 0.3 of their objective. No more requests are
        late, and no less work is answered on time, than without admission.
        """
        before, after = [], []
        for seed in (1, 2):
            before += self.play("2.0", 6.0, seed)
            after += self.play("2.0", 6.0, seed, share=0.5, refuses_early=True)
        refused = [sent for sent in after if sent.ended_at is None and sent.refused_at]
        held = sorted((sent.refused_at - sent.sent_at) / sent.objective for sent in refused)
        self.assertLess(held[len(held) // 2], 0.3)
        self.assertGreater(measure_value(after), measure_value(before) - CHANCE)
        self.assertGreater(measure_share(after), measure_share(before) - CHANCE)
        self.assertLessEqual(count_late(after), count_late(before))


def count_late(requests):
    return sum(sent.ended_at is not None and not is_on_time(sent) for sent in requests)
