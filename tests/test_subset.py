import unittest

from comfreysill.placement.agents import begin_session, discover_agent
from comfreysill.placement.effects import OpenLink, RemoveLink
from comfreysill.placement.state import EntryState
from comfreysill.placement.subset import (
    AGENT_REPLACEMENT_SECONDS,
    SUBSET_INTERVAL_SECONDS,
    compute_subset_size,
    update_subset,
)

AGENTS = 63
ENTRIES = 11


class TestSubset(unittest.TestCase):
    def setUp(self):
        self.now = 10.0

    def build_state(self, agents=AGENTS, entries=ENTRIES, name="e0@1", services=("s",)):
        state = EntryState(name=name, zone="z", unix_offset=0.0)
        state.entries = [f"{number}:1" for number in range(entries)]
        for number in range(agents):
            service = services[number % len(services)]
            discover_agent(state, f"a{number}", f"a{number}:1", service)
        return state

    def update(self, state, seconds=SUBSET_INTERVAL_SECONDS):
        """Returns the agents to which links are requested, and those whose links are removed."""
        self.now += seconds
        state.effects.clear()
        update_subset(state, self.now)
        opened = [effect.agent for effect in state.effects if isinstance(effect, OpenLink)]
        removed = [effect.agent for effect in state.effects if isinstance(effect, RemoveLink)]
        return opened, removed

    def test_an_entry_links_to_all_agents_of_a_small_installation(self):
        state = self.build_state(agents=16, entries=3)
        self.assertEqual(len(self.update(state)[0]), 16)
        self.assertEqual(self.update(state), ([], []))

    def test_links_of_an_agent_dont_grow_with_the_entries(self):
        links = {f"a{number}": 0 for number in range(AGENTS)}
        for entry in range(ENTRIES):
            for agent in self.update(self.build_state(name=f"e{entry}@1"))[0]:
                links[agent] += 1
        self.assertEqual(sum(links.values()), ENTRIES * compute_subset_size(AGENTS, ENTRIES))
        self.assertGreater(min(links.values()), 0, "an agent is linked to no entry")

    def test_a_restarted_entry_chooses_the_same_agents(self):
        before, after = self.build_state(name="e0@1"), self.build_state(name="e0@2")
        self.assertEqual(self.update(before)[0], self.update(after)[0])

    def test_each_service_has_its_own_subset(self):
        state = self.build_state(agents=80, services=("s", "t"))
        opened, _ = self.update(state)
        services = [state.agents[name].service for name in opened]
        self.assertEqual(services.count("s"), services.count("t"))

    def test_unreachable_agents_are_replaced_until_they_are_back(self):
        state = self.build_state()
        opened, _ = self.update(state)
        for name in opened[2:]:
            self.establish_link(state, name)
        replacements, _ = self.update(state, AGENT_REPLACEMENT_SECONDS + 0.1)
        self.assertEqual(len(replacements), 2)
        for name in opened[:2]:
            self.establish_link(state, name)
        self.assertEqual(sorted(self.update(state)[1]), sorted(replacements))

    def test_the_link_to_an_agent_with_tasks_is_not_removed(self):
        state = self.build_state(agents=1)
        self.update(state)
        state.agents["a0"].tasks["r/0/0"] = object()
        for number in range(200):
            discover_agent(state, f"b{number}", f"b{number}:1", "s")
        state.agents["a0"].subset_rank = 1 << 40
        self.assertEqual(self.update(state)[1], [])
        state.agents["a0"].tasks.clear()
        self.assertEqual(self.update(state)[1], ["a0"])
        self.assertFalse(state.agents["a0"].connected)

    def test_an_agent_with_a_new_address_gets_a_new_link(self):
        state = self.build_state(agents=3)
        self.update(state)
        state.effects.clear()
        discover_agent(state, "a1", "a1:2", "s")
        update_subset(state, self.now)
        kinds = [type(effect) for effect in state.effects]
        self.assertEqual(kinds, [RemoveLink, OpenLink])
        self.assertEqual(state.effects[1].address, "a1:2")

    def establish_link(self, state, name):
        agent = state.agents[name]
        begin_session(state, name, self.now)
        agent.handshake_done = True
        agent.profile = type("P", (), {"service": "s", "zone": "z"})
