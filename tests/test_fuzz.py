import os
import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from comfreysill.dispatch.messages import MarkLedgerLost
from comfreysill.target.messages import Outcome
from tests.fuzzing import SEED, apply_seed
from tests.world import World, build_submission, make_key

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "60"))
STEPS = int(os.environ.get("FUZZ_STEPS", "60"))
SHRINK = "FUZZ_SHRINK" in os.environ

indexes = st.integers(min_value=0, max_value=1_000)


class FloorMachine(RuleBasedStateMachine):
    """Drives entries and agents through random jobs, faults and changes of the floor document."""

    @initialize(entries=st.integers(1, 3), agents=st.integers(1, 4), warm=st.booleans())
    def build(self, entries, agents, warm):
        self.world = World(entries=entries, agents=agents)
        self.jobs = []
        if warm:
            for _ in range(8):
                self.world.advance(0.3)
                self.world.deliver_all()

    def choose(self, items, number):
        items = sorted(items)
        return items[number % len(items)] if items else None

    @rule(
        entry=indexes,
        size=st.integers(1, 5),
        task_class=st.integers(0, 2),
        within=st.floats(0.5, 20),
        idempotent=st.booleans(),
        stated=st.booleans(),
    )
    def submit(self, entry, size, task_class, within, idempotent, stated):
        name = self.choose(self.world.entries, entry)
        if name is None:
            return
        key = make_key(len(self.jobs))
        submission = build_submission(
            key,
            size=size,
            task_class=task_class,
            deadline=self.world.now + within,
            idempotent=idempotent,
            issued_at=self.world.now if stated else 0.0,
        )
        self.jobs.append(submission)
        self.world.submit(name, key, submission)

    @rule(entry=indexes, job=indexes)
    def resubmit(self, entry, job):
        name = self.choose(self.world.entries, entry)
        if name is not None and self.jobs:
            submission = self.jobs[job % len(self.jobs)]
            self.world.submit(name, submission.key, submission)

    @rule(entry=indexes, job=indexes, later=st.floats(0, 5))
    def resubmit_with_other_deadline(self, entry, job, later):
        name = self.choose(self.world.entries, entry)
        if name is None or not self.jobs:
            return
        known = self.jobs[job % len(self.jobs)]
        if self.world.now > known.deadline + 20 or not known.issued_at:
            return
        changed = build_submission(
            known.key,
            size=len(known.tasks),
            task_class=known.task_class,
            deadline=known.deadline + later,
            idempotent=known.tasks[0].idempotent,
            issued_at=known.issued_at,
            salt=b"changed",
        )
        self.world.submit(name, known.key, changed)

    @rule(channel=indexes)
    def deliver(self, channel):
        nonempty = [c for c, queue in self.world.channels.items() if queue]
        chosen = self.choose(nonempty, channel)
        if chosen is not None:
            self.world.deliver(chosen)

    @rule()
    def deliver_all(self):
        self.world.deliver_all()

    @rule(channel=indexes, duplicate=st.booleans())
    def deliver_duplicated_or_reordered(self, channel, duplicate):
        """Frames on agent links are numbered; a duplicate or a gap has to end the link."""
        agents = self.world.agents
        nonempty = [c for c, queue in self.world.channels.items() if queue and set(c) & set(agents)]
        chosen = self.choose(nonempty, channel)
        if chosen is not None:
            self.world.deliver(chosen, duplicate=duplicate, reorder=not duplicate)

    @rule(agent=indexes, position=indexes, outcome=st.sampled_from([2, 2, 2, 2, 3, 4]))
    def finish(self, agent, position, outcome):
        nonempty = [name for name, a in self.world.agents.items() if a.running]
        name = self.choose(nonempty, agent)
        if name is not None:
            self.world.finish(name, position, Outcome(outcome))

    @rule(agent=indexes, position=indexes)
    def refuse_call(self, agent, position):
        """A runner answers that it won't run a task."""
        nonempty = [name for name, a in self.world.agents.items() if a.running]
        name = self.choose(nonempty, agent)
        if name is not None:
            self.world.refuse_call(name, position)

    @rule(channel=indexes)
    def delay_channel(self, channel):
        """Frames of a channel stay under way until `end_delays`; single ones are delivered."""
        chosen = self.choose(self.world.channels, channel)
        if chosen is not None:
            self.world.delayed.add(chosen)

    @rule()
    def end_delays(self):
        self.world.delayed.clear()

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5, 6.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(seconds=st.sampled_from([1.0, 3.0, 8.0]))
    def run_for(self, seconds):
        for _ in range(int(seconds * 4)):
            self.world.advance(0.25)
            self.world.deliver_all()

    @rule(entry=indexes, agent=indexes)
    def cut_agent_link(self, entry, agent):
        name = self.choose(self.world.entries, entry)
        target = self.choose(self.world.agents, agent)
        if name is not None and target is not None:
            self.world.cut_agent_link(name, target)

    @rule(sender=indexes, receiver=indexes)
    def cut_peer_link(self, sender, receiver):
        name = self.choose(self.world.entries, sender)
        other = self.choose(self.world.entries, receiver)
        if name is not None and name != other:
            self.world.cut_peer_link(name, other)

    @rule(entry=indexes, other=indexes, whole=st.booleans())
    def block(self, entry, other, whole):
        """Blocks the links between an entry and one other process, or all other processes."""
        name = self.choose(self.world.entries, entry)
        names = sorted(set(self.world.entries) | set(self.world.lost_at))
        if name is None:
            return
        chosen = names if whole else [names[other % len(names)]]
        for victim in chosen:
            if victim != name:
                self.world.block(name, victim)

    @rule()
    def unblock(self):
        self.world.blocked.clear()

    @rule(agent=indexes)
    def lose_machine(self, agent):
        """The machine of an agent fails: connections to it get no answer."""
        name = self.choose(self.world.agents, agent)
        if name is not None:
            self.world.kill_agent(name)
            for entry in self.world.entries:
                self.world.block(entry, name)

    @rule(agent=indexes)
    def mark_lost(self, agent):
        """An entry removes the registration of an agent it can't reach, even if that still runs."""
        name = self.choose(self.world.lost_at, agent)
        row = self.world.rows.get(f"agent/{name}")
        if row is not None:
            lost_at = self.world.now + 6.0
            self.world._mark_lost(
                MarkLedgerLost(agent=name, incarnation=row.incarnation, lost_at=lost_at)
            )

    @rule()
    def end_unregistered_agents(self):
        if self.world.store_up:
            self.world.end_unregistered_agents()

    @rule(entry=indexes)
    def kill_entry(self, entry):
        name = self.choose(self.world.entries, entry)
        if name is not None:
            self.world.kill_entry(name)

    @rule(skew=st.sampled_from([0.0, 0.2, -0.2]))
    def start_entry(self, skew):
        if len(self.world.entries) < 3:
            self.world.start_entry(skew)

    @rule(entry=indexes)
    def leave_entry(self, entry):
        name = self.choose(self.world.entries, entry)
        if name is not None and not self.world.entries[name].frozen:
            self.world.leave_entry(name)

    @rule(entry=indexes, tick_first=st.booleans())
    def freeze_or_thaw(self, entry, tick_first):
        name = self.choose(self.world.entries, entry)
        if name is None:
            return
        if self.world.entries[name].frozen:
            self.world.thaw(name, tick_first)
        else:
            self.world.freeze(name)

    @rule(agent=indexes, restart=st.booleans())
    def kill_agent(self, agent, restart):
        name = self.choose(self.world.agents, agent)
        if name is None:
            return
        self.world.kill_agent(name)
        if restart:
            self.world.start_agent(name)

    @rule(agent=indexes)
    def start_agent(self, agent):
        missing = set(self.world.lost_at) - set(self.world.agents)
        name = self.choose(missing, agent)
        if name is not None:
            self.world.start_agent(name)

    @rule(agent=indexes)
    def drain_agent(self, agent):
        name = self.choose(self.world.agents, agent)
        if name is not None:
            self.world.drain(name)

    @rule()
    def change_floor(self):
        if self.world.store_up:
            self.world.floor_version += 1

    @invariant()
    def floor_versions_never_decrease(self):
        world = getattr(self, "world", None)
        if world is None:
            return
        found = {name: entry.state.floor.version for name, entry in world.entries.items()}
        agents = world.agents.values()
        found |= {a.ledger.incarnation: a.ledger.floor_version for a in agents}
        for name, version in found.items():
            assert version >= world.seen_versions.get(name, 0), (
                f"{name} has a lower floor version than before"
            )
        world.seen_versions |= found

    @rule(up=st.booleans())
    def switch_store(self, up):
        self.world.store_up = up

    @rule(entry=indexes, job=indexes)
    def cancel(self, entry, job):
        name = self.choose(self.world.entries, entry)
        if name is not None and self.jobs:
            self.world.cancel(name, self.jobs[job % len(self.jobs)].key)

    @invariant()
    def counters_match_the_jobs(self):
        for entry in getattr(self, "world", World(entries=0, agents=0)).entries.values():
            state = entry.state
            jobs = [job for h in state.owned_partitions.values() for job in h.jobs.values()]
            assert state.queued_tasks == sum(len(job.pending) for job in jobs)
            assert state.job_count == len(jobs)

    def teardown(self):
        """Ends all faults; every caller has to be answered and a new job has to complete."""
        world = getattr(self, "world", None)
        if world is None:
            return
        if not world.entries:
            world.start_entry(0.0)
        world.settle(30.0)
        for entry in world.entries.values():
            assert entry.state.floor.version == world.floor_version, (
                "the latest floor version was not adopted"
            )
        for agent in world.agents.values():
            assert agent.ledger.floor_version == world.floor_version, (
                "the latest floor version was not adopted"
            )
        for caller, name in world.submissions.items():
            if name in world.entries:
                assert caller in world.oracle.answers, f"caller {caller} has no answer"
        fresh = build_submission(
            make_key("fresh"),
            size=3,
            task_class=0,
            deadline=world.now + 10,
            idempotent=False,
            issued_at=world.now + 0.01,
        )
        alive = [n for n, e in world.entries.items() if not e.state.leaving]
        if alive:
            world.submit(alive[0], fresh.key, fresh)
            caller = world.next_caller
            world.settle(9.0)
            assert world.oracle.answers[caller].complete, world.oracle.answers[caller].detail


FloorTest = FloorMachine.TestCase
FloorTest.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=SEED is None,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate, Phase.shrink) if SHRINK else (Phase.generate,),
)
# Hypothesis reads the seed from the machine, not from its test case.
apply_seed(FloorMachine)

if __name__ == "__main__":
    unittest.main()
