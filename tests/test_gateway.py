import unittest

from comfreysill.clock import read_boot_clock
from comfreysill.exchange.messages import Load, Profile
from comfreysill.gateway.actor import Actor, is_ready
from comfreysill.placement.agents import begin_session, discover_agent
from comfreysill.placement.state import EntryState
from comfreysill.routes.table import RouteTable


def build_actor():
    state = EntryState(name="e", zone="z", unix_offset=0.0)
    state.routes = RouteTable(version=1, max_body_bytes=1000, routes=())
    now = read_boot_clock()
    discover_agent(state, "a", "address")
    begin_session(state, "a", now)
    agent = state.agents["a"]
    agent.handshake_done = True
    agent.last_frame_at = now
    agent.next_seconds = 60.0
    agent.profile = Profile(service="s", zone="z", cpu=1, memory_mb=1, gpus=0, labels=())
    agent.load = Load(accepting=True, cpu=1, memory_mb=1, gpus=0, slowness=1.0)
    return Actor(state=state)


class TestReadiness(unittest.IsolatedAsyncioTestCase):
    async def test_not_ready_before_port_accepts_connections(self):
        actor = build_actor()
        self.assertFalse(is_ready(actor, listening=False))
        self.assertTrue(is_ready(actor, listening=True))

    async def test_not_ready_without_routes_or_agents_or_during_shutdown(self):
        for change in ("routes", "agent", "end"):
            actor = build_actor()
            if change == "routes":
                actor.state.routes = RouteTable(version=0, max_body_bytes=0, routes=())
            elif change == "agent":
                actor.state.agents["a"].load.accepting = False
            else:
                actor.stopping = True
            self.assertFalse(is_ready(actor, listening=True), change)
