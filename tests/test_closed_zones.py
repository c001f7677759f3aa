import asyncio
import unittest

from comfreysill.address import parse_address
from comfreysill.execution.calls import RenewCall, StartCall
from comfreysill.gateway.discovery import watch_routes
from comfreysill.gateway.messages import ZonesRead
from comfreysill.mailbox import Mailbox
from comfreysill.placement.closures import read_zones
from comfreysill.placement.state import EntryState
from comfreysill.platform.store import open_store
from comfreysill.request.types import Verdict
from comfreysill.zones.closures import (
    MAX_ZONES,
    NO_CLOSURES,
    ToldZones,
    ZoneReading,
    ZoneStatus,
    apply_reading,
    apply_statuses,
    is_closed,
    list_closed,
    list_news,
    note_heard,
    take_news,
)
from standins.platform_store import apply_transaction
from tests.platform_world import CPU_CAPACITY, NEVER, World
from tests.test_odd_entries import StoreServer

SEEDS = range(5)


def status(zone, version, closed=True):
    return ZoneStatus(zone=zone, version=version, closed=closed)


def name_closed(closures):
    return [known.zone for known in list_closed(closures)]


class TestClosures(unittest.TestCase):
    def test_the_newest_status_of_a_zone_holds(self):
        closures = apply_statuses(NO_CLOSURES, [status("a", 5), status("b", 6)], 1.0)
        self.assertEqual(name_closed(closures), ["a", "b"])
        # An older reading takes nothing back, and the same one changes nothing.
        for older in (status("a", 4, False), status("a", 5), status("b", 6, False)):
            self.assertIs(apply_statuses(closures, [older], 2.0), closures)
        opened = apply_statuses(closures, [status("a", 7, False)], 3.0)
        self.assertEqual(name_closed(opened), ["b"])
        self.assertIs(apply_statuses(opened, [status("a", 6)], 4.0), opened)
        again = apply_statuses(opened, [status("a", 8), status("b", 9)], 5.0)
        self.assertEqual([known.since for known in list_closed(again)], [5.0, 1.0])

    def test_any_order_of_arrival_gives_the_same(self):
        changes = [status("a", 5), status("a", 5, False), status("a", 4), status("a", 3, False)]
        for shift in range(len(changes)):
            for order in (1, -1):
                closures = NO_CLOSURES
                for change in (changes[shift:] + changes[:shift])[::order]:
                    closures = apply_statuses(closures, [change], 1.0)
                self.assertTrue(is_closed(closures, "a"))

    def test_a_whole_reading_opens_zones_without_rows(self):
        closures = apply_statuses(NO_CLOSURES, [status("a", 5), status("b", 6)], 1.0)
        part = ZoneReading(version=9, statuses=(status("a", 5),))
        self.assertIs(apply_reading(closures, part, 2.0), closures)
        for version in (0, 3):
            older = ZoneReading(version=version, statuses=(), whole=True)
            self.assertIs(apply_reading(closures, older, 2.0), closures)
        whole = ZoneReading(version=9, statuses=(status("a", 5),), whole=True)
        self.assertEqual(name_closed(apply_reading(closures, whole, 2.0)), ["a"])

    def test_a_row_without_a_version_closes_its_zone_once(self):
        reading = ZoneReading(version=4, statuses=(), undated=("a",), whole=True)
        closures = apply_reading(NO_CLOSURES, reading, 1.0)
        self.assertEqual(name_closed(closures), ["a"])
        later = ZoneReading(version=8, statuses=(), undated=("a",), whole=True)
        self.assertIs(apply_reading(closures, later, 2.0), closures)

    def test_zones_are_bounded(self):
        statuses = [status(f"open{n}", n + 1, False) for n in range(MAX_ZONES)]
        closures = apply_statuses(NO_CLOSURES, statuses, 1.0)
        statuses = [status(f"closed{n}", 1000 + n) for n in range(MAX_ZONES + 5)]
        closures = apply_statuses(closures, [*statuses, status("z" * 300, 5000)], 2.0)
        self.assertEqual(len(closures.statuses), MAX_ZONES)
        self.assertEqual(len(list_closed(closures)), MAX_ZONES)
        self.assertTrue(is_closed(closures, "closed0"))

    def test_news_are_what_the_other_side_does_not_know(self):
        told = ToldZones()
        closures = apply_statuses(NO_CLOSURES, [status("a", 5), status("b", 6)], 1.0)
        note_heard(told, [status("a", 5)])
        self.assertEqual([news.zone for news in list_news(told, closures)], ["b"])
        self.assertEqual([news.zone for news in take_news(told, closures)], ["b"])
        self.assertEqual(list_news(told, closures), ())
        closures = apply_statuses(closures, [status("a", 7, False)], 2.0)
        self.assertEqual([news.zone for news in take_news(told, closures)], ["a"])

    # Guards against a peer that goes on starting tasks in a zone that it knows as open.
    def test_a_closing_is_news_to_one_that_knows_the_zone_as_open(self):
        told = ToldZones()
        closures = apply_statuses(NO_CLOSURES, [status("a", 5)], 1.0)
        note_heard(told, [status("a", 5, False)])
        self.assertEqual([news.zone for news in list_news(told, closures)], ["a"])


class ZonesCase(unittest.TestCase):
    def open_world(self, seed, entries=2, agents=4, zones=2):
        world = World(seed, entries=entries, agents=agents, zones=zones)
        world.run(1.0)
        return world

    def load(self, world, requests=6, seconds=0.4, tasks=6):
        """Submits more than the targets can run at once."""
        for number in range(requests):
            entry = sorted(world.entries)[number % len(world.entries)]
            key = f"r{len(world.requests)}"
            world.submit(key, entry, tasks=tasks, seconds=seconds, cpu=1000)

    def list_running(self, world, zone):
        return [
            task
            for name, runner in world.runners.items()
            if world.zones[name] == zone
            for task in runner.running
        ]

    def count_starts(self, world, zone):
        return sum(
            process.state.counters.get("starts", 0)
            for name, process in world.agents.items()
            if world.zones[name] == zone
        )

    def check_done(self, world, seed):
        self.assertEqual(world.violations, [], seed)
        for request_id, verdicts in world.verdicts.items():
            self.assertEqual(verdicts, [Verdict.COMPLETED], (seed, request_id))


class TestClosedZones(ZonesCase):
    def test_a_zone_is_closed_and_taken_back(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            self.load(world)
            world.run(0.1)
            running = self.list_running(world, "z0")
            self.assertTrue(running, seed)
            world.close_zone("z0")
            world.run(0.02)
            starts = self.count_starts(world, "z0")
            self.load(world)
            world.run(0.05)
            # What ran there goes on.
            self.assertEqual(self.list_running(world, "z0"), running, seed)
            world.run(3.0)
            self.assertEqual(self.count_starts(world, "z0"), starts, seed)
            self.assertLess(max(world.late_zone_starts, default=0.0), 0.02, seed)
            world.open_zone("z0")
            world.run(0.02)
            self.load(world)
            world.run(3.0)
            self.assertGreater(self.count_starts(world, "z0"), starts, seed)
            self.check_done(world, seed)

    def test_waiting_runs_are_placed_elsewhere_without_a_failed_attempt(self):
        for seed in SEEDS:
            world = self.open_world(seed, agents=2)
            world.set_speed("a0", 0.0)
            world.submit("r0", "e0", tasks=8, seconds=0.3)
            world.run(0.05)
            # Without capacity for them they wait at the agent.
            world.runners["a0"].set_cpu(0)
            world.report_now("a0")
            world.set_speed("a0", 1.0)
            world.runners["a0"].set_cpu(8000)
            world.report_now("a0")
            world.submit("r1", "e1", tasks=8, seconds=0.3)
            world.close_zone("z0")
            world.run(3.0)
            self.check_done(world, seed)
            for process in world.agents.values():
                self.assertEqual(process.state.counters.get("runs_failed", 0), 0)

    def test_orders_on_their_way_are_refused(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            # One entry can't read the store and doesn't hear of it from agents.
            world.take_store_away("e1", 1.0)
            for agent in world.agents:
                world.cut(agent, "e1", 0.1)
            world.close_zone("z0")
            world.run(0.02)
            starts = self.count_starts(world, "z0")
            for number in range(3):
                world.submit(f"q{number}", "e1", tasks=6, seconds=0.2)
            world.run(0.05)
            refused = sum(
                process.state.counters.get("starts_refused_zone_closed", 0)
                for process in world.agents.values()
            )
            self.assertGreater(refused, 0, seed)
            world.run(3.0)
            self.assertEqual(self.count_starts(world, "z0"), starts, seed)
            self.check_done(world, seed)

    def test_two_zones_and_one_without_machines(self):
        for seed in SEEDS:
            world = self.open_world(seed, agents=6, zones=3)
            for zone in ("z0", "z1", "nowhere"):
                world.close_zone(zone)
            world.run(0.02)
            starts = [self.count_starts(world, zone) for zone in ("z0", "z1")]
            self.load(world)
            world.run(5.0)
            self.assertEqual([self.count_starts(world, zone) for zone in ("z0", "z1")], starts)
            self.check_done(world, seed)

    def test_all_zones_and_back(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            for zone in ("z0", "z1"):
                world.close_zone(zone)
            world.run(0.02)
            starts = world.starts
            self.load(world, requests=2, seconds=0.3)
            world.run(0.1)
            self.assertEqual(world.starts, starts, seed)
            # Callers are told at once that nothing was run.
            verdicts = {verdict for told in world.verdicts.values() for verdict in told}
            self.assertEqual(verdicts, {Verdict.NOT_RUN}, seed)
            for zone in ("z0", "z1"):
                world.open_zone(zone)
            world.run(0.02)
            # The free capacity grows.
            first = world.measure_free_cpu("a0")
            self.assertLess(first, CPU_CAPACITY / 3, seed)
            world.submit("late", "e0", tasks=2, seconds=0.3)
            world.run(1.0)
            self.assertEqual(world.verdicts["late"], [Verdict.COMPLETED], seed)
            self.assertGreater(world.measure_free_cpu("a0"), first, seed)
            world.run(4.0)
            self.assertEqual(world.measure_free_cpu("a0"), CPU_CAPACITY, seed)
            self.assertEqual(world.violations, [], seed)

    # Guards against: a caller is told that nothing ran while its request runs at another entry.
    def test_a_request_that_goes_on_elsewhere_is_not_refused(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            world.submit("r0", "e0", tasks=2, seconds=1.0)
            world.run(0.1)
            for zone in ("z0", "z1"):
                world.close_zone(zone)
            world.run(0.1)
            world.send_request("r0", "e1")
            world.run(3.0)
            self.assertEqual(world.verdicts["r0"], [Verdict.COMPLETED] * 2, seed)
            self.assertEqual(world.violations, [], seed)

    def test_closed_again_at_once(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            for _ in range(3):
                world.close_zone("z0")
                world.open_zone("z0")
            world.close_zone("z0")
            world.run(0.02)
            starts = self.count_starts(world, "z0")
            self.load(world)
            world.run(3.0)
            self.assertEqual(self.count_starts(world, "z0"), starts, seed)
            self.check_done(world, seed)

    def test_an_entry_without_the_store_hears_of_it_from_agents(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            world.take_store_away("e1", 30.0)
            world.close_zone("z0")
            world.run(0.02)
            self.assertTrue(is_closed(world.entries["e1"].state.closures, "z0"), seed)
            world.open_zone("z0")
            world.run(0.02)
            self.assertFalse(is_closed(world.entries["e1"].state.closures, "z0"), seed)

    def test_a_closing_and_a_removal_that_were_missed(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            world.close_zone("z1")
            world.run(0.1)
            for entry in world.entries:
                world.take_store_away(entry, 2.0)
            world.close_zone("z0")
            world.open_zone("z1")
            world.run(1.9)
            self.assertEqual(name_closed(world.entries["e0"].state.closures), ["z1"], seed)
            world.run(0.5)
            for process in (*world.entries.values(), *world.agents.values()):
                self.assertEqual(name_closed(process.state.closures), ["z0"], seed)

    def test_an_entry_and_agents_restart_while_the_store_is_away(self):
        for seed in SEEDS:
            world = self.open_world(seed)
            world.close_zone("z0")
            world.run(0.1)
            for entry in world.entries:
                world.take_store_away(entry, 60.0)
            starts = self.count_starts(world, "z0")
            world.kill_entry("e0", down_seconds=0.5)
            world.run(1.5)
            for agent in world.agents:
                if world.zones[agent] == "z0":
                    world.kill_agent(agent, down_seconds=0.5)
            world.run(1.5)
            world.kill_entry("e1", down_seconds=0.5, silent=True)
            self.load(world, requests=3)
            world.run(4.0)
            self.assertLessEqual(self.count_starts(world, "z0"), starts, seed)
            for process in (*world.entries.values(), *world.agents.values()):
                self.assertTrue(is_closed(process.state.closures, "z0"), seed)

    # Guards against: a start that may be carried out late, and the task starts elsewhere meanwhile.
    def test_a_start_without_an_answer_keeps_its_binding(self):
        for seed in SEEDS:
            for delay in (NEVER, 1.2, 4.0):
                world = self.open_world(seed, agents=2)
                world.delay_call = lambda process, call, delay=delay: (
                    delay if process.name == "a0" and isinstance(call, StartCall) else None
                )
                world.submit("r0", "e0", tasks=12, seconds=0.5)
                world.run(0.05)
                world.close_zone("z0")
                world.run(30.0)
                self.assertEqual(world.violations, [], (seed, delay))
                self.assertEqual(world.verdicts["r0"][-1], Verdict.COMPLETED, (seed, delay))

    def test_a_closed_zone_whose_runners_crash_and_whose_calls_are_lost(self):
        for seed in SEEDS:
            world = self.open_world(seed, agents=4)
            self.load(world)
            world.run(0.05)
            world.lost_until[RenewCall] = world.now + 0.3
            world.close_zone("z0")
            world.run(0.1)
            for agent, zone in world.zones.items():
                if zone == "z0":
                    world.crash_runner(agent, down_seconds=0.5)
            world.run(20.0)
            self.assertEqual(world.violations, [], seed)
            self.assertLess(max(world.late_zone_starts, default=0.0), 0.02, seed)


class TestWatchedZones(unittest.TestCase):
    """The rows in the store, as the watch of the operator's table hands them on."""

    def run_watch(self, scenario):
        async def run(server):
            client = open_store(parse_address(server.url.removeprefix("http://")))
            inbox = Mailbox()
            task = asyncio.create_task(watch_routes(client, inbox, asyncio.Event()))
            try:
                await asyncio.wait_for(scenario(server, inbox), 30)
                self.assertFalse(task.done())
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await client.session.close()

        with StoreServer() as server:
            asyncio.run(run(server))

    async def expect(self, inbox, state, zones):
        async with asyncio.timeout(5):
            while name_closed(state.closures) != zones:
                for message in await inbox.get_batch():
                    if isinstance(message, ZonesRead):
                        read_zones(state, message.reading, 1.0)

    def remove(self, server, key):
        apply_transaction(server.store, {"remove": [{"table": "op", "part": "", "key": key}]})

    def test_rows_close_zones_and_their_removal_opens_them(self):
        async def scenario(server, inbox):
            state = EntryState(name="e@1", zone="z", unix_offset=0.0)
            server.put("op", "evacuate/a", {})
            await self.expect(inbox, state, ["a"])
            for key, value in (("b", b"\xff"), ("c", b"x" * 10_000), ("d", [1]), ("", {})):
                server.put("op", f"evacuate/{key}", value)
            await self.expect(inbox, state, ["a", "b", "c", "d"])
            for key in "ab":
                self.remove(server, f"evacuate/{key}")
            await self.expect(inbox, state, ["c", "d"])
            # Changes that are missed, in a history that is gone.
            server.store.outage = True
            await asyncio.sleep(0.1)
            server.put("op", "evacuate/a", {})
            self.remove(server, "evacuate/c")
            server.store.history.clear()
            server.store.compacted_version = server.store.version
            await asyncio.sleep(0.5)
            server.store.outage = False
            await self.expect(inbox, state, ["a", "d"])

        with self.assertLogs("comfreysill.platform.rejections") as logs:
            self.run_watch(scenario)
        texts = [record.message for record in logs.records]
        self.assertEqual(texts.count("odd row; its zone is closed all the same"), 2)
        self.assertEqual(len(texts), 3)

    # Guards against: a row that can't be decoded as a row is taken for a removal.
    def test_a_row_of_another_type_closes_its_zone(self):
        async def scenario(server, inbox):
            state = EntryState(name="e@1", zone="z", unix_offset=0.0)
            server.put("op", "evacuate/a", {})
            await self.expect(inbox, state, ["a"])
            odd_row = b'{"table":"op","part":"","key":"evacuate/%s","value":5,"ver":"x"}'
            server.store.odd_rows["op"] = [odd_row % b"b"]
            await self.expect(inbox, state, ["a", "b"])
            version = state.closures.statuses["b"].version
            self.remove(server, "evacuate/a")
            await self.expect(inbox, state, ["b"])
            self.assertEqual(state.closures.statuses["b"].version, version)
            server.store.odd_rows["op"] = []
            server.store.compacted_version = server.store.version + 1
            await asyncio.sleep(0.5)
            server.store.compacted_version = 0
            server.put("op", "evacuate/c", {})
            await self.expect(inbox, state, ["c"])

        with self.assertLogs("comfreysill.platform.rejections"):
            self.run_watch(scenario)
