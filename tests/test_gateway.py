import unittest

from comfreysill.clock import read_boot_clock
from comfreysill.exchange.messages import Load, Profile
from comfreysill.gateway.keeper import Keeper, is_ready
from comfreysill.placement.agents import discover_agent, open_link
from comfreysill.placement.state import EntryState
from comfreysill.routes.table import RouteTable


def build_keeper():
    state = EntryState(name="e", zone="z", unix_offset=0.0)
    state.routes = RouteTable(version=1, max_body_bytes=1000, routes=())
    now = read_boot_clock()
    discover_agent(state, "a", "address")
    open_link(state, "a", now)
    agent = state.agents["a"]
    agent.handshake_done = True
    agent.last_frame_at = now
    agent.next_seconds = 60.0
    agent.profile = Profile(service="s", zone="z", cpu=1, memory_mb=1, gpus=0, labels=())
    agent.load = Load(accepting=True, cpu=1, memory_mb=1, gpus=0, slowness=1.0)
    return Keeper(state=state)


class TestReadiness(unittest.IsolatedAsyncioTestCase):
    async def test_not_ready_before_port_accepts_connections(self):
        keeper = build_keeper()
        self.assertFalse(is_ready(keeper, listening=False))
        self.assertTrue(is_ready(keeper, listening=True))

    async def test_not_ready_without_routes_or_agents_or_during_shutdown(self):
        for change in ("routes", "agent", "end"):
            keeper = build_keeper()
            if change == "routes":
                keeper.state.routes = RouteTable(version=0, max_body_bytes=0, routes=())
            elif change == "agent":
                keeper.state.agents["a"].load.accepting = False
            else:
                keeper.closing = True
            self.assertFalse(is_ready(keeper, listening=True), change)
