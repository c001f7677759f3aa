"""Simulates a deployment: real decision code on a fake network, a fake store and a virtual clock.

Each frame stays in the channel of its link until a step delivers it, so that delay, loss,
duplication and reordering are steps of a test. The oracle observes only starts and answers.
"""

from collections import deque

from comfreysill.dispatch import core, floors, links
from comfreysill.dispatch.cancellations import request_cancel
from comfreysill.dispatch.messages import (
    AdoptFloorUpdate,
    AnswerCaller,
    MarkLedgerLost,
    ReadRoster,
    RemoveEntry,
    SendAgentFrame,
    SendPeerFrame,
)
from comfreysill.dispatch.routing import submit_job
from comfreysill.dispatch.state import Dispatcher
from comfreysill.floor.document import Floor, Service, Team
from comfreysill.job.types import JobKey, Submission, TaskClass, TaskSpec, Verdict
from comfreysill.target import frame_handling, results
from comfreysill.target import ledger as ledgers
from comfreysill.target.messages import Outcome
from comfreysill.target.reports import collect_reports
from comfreysill.target.view import Registration

START_TIME = 1_000_000.0
SERVICE = "s"
SLOTS = 2


class Oracle:
    """Records the starts of each task and checks the answer to each caller against them.

    A call to a runner counts as a start from the moment it is made until the runner refuses it,
    also after its agent has ended: without an answer, it may be carried out at any later time, by
    the same process of the runner or a later one.
    """

    def __init__(self):
        self.starts = {}
        self.non_idempotent = set()
        self.answers = {}
        self.callers = {}
        self.contents = {}

    def record_start(self, key, index, idempotent):
        self.starts[key, index] = self.starts.get((key, index), 0) + 1
        if not idempotent:
            self.non_idempotent.add((key, index))
        assert not self.is_told_not_run(key), f"{key} starts after all answers said it did not"
        count = self.starts[key, index]
        assert count == 1 or (key, index) not in self.non_idempotent, (
            f"{key} task {index} started twice"
        )

    def record_refusal(self, key, index):
        """The runner refused a call: it certainly doesn't run the task."""
        self.starts[key, index] -= 1
        if not self.starts[key, index]:
            del self.starts[key, index]

    def is_told_not_run(self, key):
        """Whether all submissions of a job are answered, each as not run."""
        callers = [caller for caller, (known, _) in self.callers.items() if known == key]
        answers = [self.answers.get(caller) for caller in callers]
        return bool(answers) and all(
            answer is not None and answer.verdict == Verdict.NOT_RUN for answer in answers
        )

    def record_answer(self, caller, answer):
        key, size = self.callers[caller]
        assert caller not in self.answers, f"caller {caller} was answered twice"
        assert answer.key == key, f"caller {caller} got the answer of {answer.key}"
        self.answers[caller] = answer
        started = any(started_key == key for started_key, _ in self.starts)
        if answer.complete:
            expected = tuple(f"{key} {index}".encode() for index in range(size))
            assert answer.results == expected, f"{key} has a partial answer or one of other tasks"
        else:
            assert not answer.results, f"{key} failed with results"
        if answer.verdict == Verdict.NOT_RUN:
            assert not started, f"{key} ran, but the answer says it did not: {answer.detail}"


class Entry:
    def __init__(self, name, state, skew):
        self.name = name
        self.state = state
        self.skew = skew
        self.frozen = False
        self.inbox = deque()
        self.sessions = {}
        self.peer_links = set()
        self.roster_read_at = 0.0
        self.reaches_table = True


class Agent:
    def __init__(self, name, ledger, skew):
        self.name = name
        self.ledger = ledger
        self.skew = skew
        self.running = []


class World:
    """Entries, agents, their channels and the store."""

    def __init__(self, entries=2, agents=3):
        self.now = START_TIME
        self.oracle = Oracle()
        self.entries = {}
        self.agents = {}
        self.channels = {}
        self.rows = {}
        self.revision = 0
        self.store_up = True
        self.next_entry = 0
        self.next_incarnation = 0
        self.next_caller = 0
        # By name of each agent ever started: time at which its ledger was lost, 0 for never.
        self.lost_at = {}
        # Name of the entry that a caller submitted to, by caller number.
        self.submissions = {}
        self.blocked = set()
        # Channels whose frames are under way until they are taken out of this set.
        self.delayed = set()
        self.floor_version = 1
        self.seen_versions = {}
        for number in range(agents):
            self.start_agent(f"a{number}")
        for _ in range(entries):
            self.start_entry(0.0)

    # -- processes

    def start_entry(self, skew):
        self.next_entry += 1
        name = f"e{self.next_entry}"
        self.entries[name] = Entry(name, Dispatcher(name=name), skew)
        if self.store_up:
            self._read_floor(self.entries[name])
        self._register(f"entry/{name}", name)

    def kill_entry(self, name):
        del self.entries[name]
        for channel in [c for c in self.channels if name in c[:2]]:
            del self.channels[channel]
        for agent in self.agents.values():
            self._close_session(agent, name)
        for entry in self.entries.values():
            if name in entry.peer_links:
                self._drop_peer_link(entry, name)
        self.rows.pop(f"entry/{name}", None)

    def start_agent(self, name):
        self.next_incarnation += 1
        incarnation = f"{name}@{self.next_incarnation}"
        ledger = ledgers.Ledger(agent=name, incarnation=incarnation)
        ledger.slots = SLOTS
        ledger.queue_limit = SLOTS
        ledger.services = frozenset({SERVICE})
        started_before = f"agent/{name}" in self.rows
        started_before = started_before or name in self.lost_at
        # The ledger of an earlier incarnation is lost with its process.
        ledger.lost_at = max(self.now, self.lost_at.get(name, 0.0)) if started_before else 0.0
        self.lost_at[name] = ledger.lost_at
        self.agents[name] = Agent(name, ledger, 0.0)
        if self.store_up:
            self._register(f"agent/{name}", self._build_registration(name, ledger))

    def kill_agent(self, name):
        del self.agents[name]
        for entry in list(self.entries.values()):
            self.cut_agent_link(entry.name, name)

    def leave_entry(self, name):
        entry = self.entries[name]
        core.begin_shutdown(entry.state, self._clock(entry))
        self.rows.pop(f"entry/{name}", None)
        self._flush(entry)

    # -- steps

    def submit(self, entry_name, key, submission):
        entry = self.entries[entry_name]
        self.next_caller += 1
        self.oracle.callers[self.next_caller] = (key, len(submission.tasks))
        self.submissions[self.next_caller] = entry_name
        caller = self.next_caller
        self._run(entry, lambda now: submit_job(entry.state, caller, submission, now))

    def cancel(self, entry_name, key):
        entry = self.entries[entry_name]
        self._run(entry, lambda now: request_cancel(entry.state, key, now))

    def deliver(self, channel, duplicate=False, reorder=False):
        queue = self.channels.get(channel)
        if not queue:
            return
        if reorder:
            queue.rotate(-1)
        frame = queue[0] if duplicate else queue.popleft()
        self._deliver(channel, frame)

    def cut_agent_link(self, entry_name, agent_name):
        entry = self.entries.get(entry_name)
        for channel in ((entry_name, agent_name), (agent_name, entry_name)):
            self.channels.pop(channel, None)
        agent = self.agents.get(agent_name)
        if agent is not None:
            self._close_session(agent, entry_name)
        if entry is None:
            return
        session = entry.sessions.pop(agent_name, None)
        if session is not None:
            state = entry.state
            self._run(entry, lambda now: links.disconnect_agent(state, agent_name, session, now))

    def block(self, entry_name, name):
        """Cuts the links between an entry and another process; new connections get no answer."""
        self.blocked |= {(entry_name, name), (name, entry_name)}
        if name in self.entries:
            self.cut_peer_link(entry_name, name)
            self.cut_peer_link(name, entry_name)
        else:
            self.cut_agent_link(entry_name, name)

    def cut_off_table(self, entry_name):
        """Lets every call of one entry to the store fail; the others still reach it."""
        self.entries[entry_name].reaches_table = False

    def cut_peer_link(self, sender, receiver):
        entry = self.entries.get(sender)
        self.channels.pop((sender, receiver), None)
        if entry is not None and receiver in entry.peer_links:
            self._drop_peer_link(entry, receiver)

    def finish(self, agent_name, position, outcome):
        agent = self.agents[agent_name]
        if not agent.running:
            return
        record = agent.running.pop(position % len(agent.running))
        now = self.now + agent.skew
        key, index = record.batch.key, record.task.index
        payload = f"{key} {index}".encode()
        results.finish_record(agent.ledger, record, outcome, payload, 0.1, now)
        self._collect(agent)

    def refuse_call(self, agent_name, position):
        """A runner refuses to run a task that its agent passed to it."""
        agent = self.agents[agent_name]
        if not agent.running:
            return
        record = agent.running.pop(position % len(agent.running))
        self.oracle.record_refusal(record.batch.key, record.task.index)
        results.reject_record(agent.ledger, record, self.now + agent.skew)
        self._collect(agent)

    def drain(self, agent_name):
        ledgers.drain(self.agents[agent_name].ledger)
        self._collect(self.agents[agent_name], to_all_entries=True)

    def freeze(self, name):
        self.entries[name].frozen = True

    def thaw(self, name, tick_first=False):
        entry = self.entries[name]
        entry.frozen = False
        if tick_first:
            core.tick(entry.state, self._clock(entry))
            self._flush(entry)
        while entry.inbox:
            self._run(entry, entry.inbox.popleft())

    def advance(self, seconds):
        self.now += seconds
        for agent in self.agents.values():
            results.release_results(agent.ledger, self.now + agent.skew)
            ledgers.expire_records(agent.ledger, self.now + agent.skew)
            self._collect(agent)
        for entry in list(self.entries.values()):
            if not entry.frozen:
                self._tick(entry)

    def deliver_all(self):
        for _ in range(400):
            nonempty = [c for c, queue in self.channels.items() if queue and c not in self.delayed]
            if not nonempty:
                return
            for channel in nonempty:
                self.deliver(channel)

    def settle(self, seconds):
        """Ends all faults and advances the time while every started task runs to completion."""
        self.store_up = True
        self.blocked.clear()
        self.delayed.clear()
        self.end_unregistered_agents()
        for name in list(self.entries):
            if self.entries[name].frozen:
                self.thaw(name)
        for name in list(self.lost_at):
            if name not in self.agents:
                self.start_agent(name)
            agent = self.agents[name]
            if agent.ledger.draining:
                agent.ledger.draining = False
            self._register(f"agent/{name}", self._build_registration(name, agent.ledger))
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.advance(0.25)
            self.deliver_all()
            for agent in list(self.agents.values()):
                while agent.running:
                    self.finish(agent.name, 0, Outcome.DONE)
            self.deliver_all()

    # -- internals

    def _clock(self, entry):
        return self.now + entry.skew

    def _run(self, entry, action):
        if entry.frozen:
            entry.inbox.append(action)
            return
        action(self._clock(entry))
        self._flush(entry)

    def _tick(self, entry):
        now = self._clock(entry)
        registered = f"entry/{entry.name}" in self.rows
        if entry.reaches_table and not registered and not entry.state.leaving:
            self._register(f"entry/{entry.name}", entry.name)
        if now - entry.roster_read_at >= 1.0:
            self._read_roster(entry)
        self._connect(entry)
        core.tick(entry.state, now)
        self._flush(entry)

    def _flush(self, entry):
        for _ in range(5):
            effects = core.flush(entry.state, self._clock(entry))
            repeat = False
            for effect in effects:
                if isinstance(effect, ReadRoster):
                    self._read_roster(entry)
                    repeat = True
                elif isinstance(effect, SendAgentFrame):
                    if effect.agent in entry.sessions:
                        self._post((entry.name, effect.agent), effect.frame)
                elif isinstance(effect, SendPeerFrame):
                    if effect.entry in entry.peer_links:
                        self._post((entry.name, effect.entry), effect.frame)
                elif isinstance(effect, MarkLedgerLost):
                    if entry.reaches_table:
                        self._mark_lost(effect)
                elif isinstance(effect, RemoveEntry):
                    if self.store_up and entry.reaches_table:
                        self.rows.pop(f"entry/{effect.name}", None)
                elif isinstance(effect, AdoptFloorUpdate):
                    floor = build_test_floor(effect.update.version)
                    floors.adopt_floor(entry.state, floor, effect.update.document)
                    repeat = True
                elif isinstance(effect, AnswerCaller):
                    self.oracle.record_answer(effect.caller, effect.answer)
            if not repeat:
                return

    def _post(self, channel, frame):
        self.channels.setdefault(channel, deque()).append(frame)

    def _read_roster(self, entry):
        now = self._clock(entry)
        entry.roster_read_at = now
        if not self.store_up or not entry.reaches_table:
            entry.state.roster_failed_at = now
            return
        self._read_floor(entry)
        agents = [value for key, value in self.rows.items() if key.startswith("agent/")]
        names = [value for key, value in self.rows.items() if key.startswith("entry/")]
        lost_at = max(self.lost_at.values(), default=0.0)
        links.update_roster(entry.state, agents, self.revision, lost_at, now, now)
        core.update_peers(entry.state, names, now, now)
        entry.peer_links &= set(names)

    def _mark_lost(self, effect):
        row = self.rows.get(f"agent/{effect.agent}")
        if self.store_up and row is not None and row.incarnation == effect.incarnation:
            del self.rows[f"agent/{effect.agent}"]
            self.revision += 1
            self.lost_at[effect.agent] = max(self.lost_at[effect.agent], effect.lost_at)

    def end_unregistered_agents(self):
        """Restarts each agent whose incarnation isn't registered, as a new incarnation."""
        for name, agent in list(self.agents.items()):
            row = self.rows.get(f"agent/{name}")
            if row is None or row.incarnation != agent.ledger.incarnation:
                self.kill_agent(name)
                self.start_agent(name)

    def _read_floor(self, entry):
        floors.adopt_floor(entry.state, build_test_floor(self.floor_version), b"{}")

    def _connect(self, entry):
        for name in list(entry.state.targets):
            if (entry.name, name) in self.blocked:
                continue
            if name not in self.agents:
                links.handle_refused_connection(
                    entry.state, name, self._clock(entry), self._clock(entry)
                )
            elif name not in entry.sessions:
                session = entry.state.targets[name].session + 1
                entry.sessions[name] = session
                links.connect_agent(entry.state, name, session)
        for name in list(entry.state.peers):
            if (entry.name, name) in self.blocked:
                continue
            if name not in self.entries:
                core.handle_refused_peer(entry.state, name, self._clock(entry))
            elif name not in entry.peer_links:
                entry.peer_links.add(name)
                core.connect_peer(entry.state, name)

    def _deliver(self, channel, frame):
        sender, receiver = channel
        if receiver in self.agents:
            self._deliver_to_agent(sender, self.agents[receiver], frame)
        elif receiver in self.entries and sender in self.agents:
            entry = self.entries[receiver]

            def receive(now):
                if not links.receive_agent_frame(entry.state, frame, now):
                    self.cut_agent_link(receiver, sender)

            self._run(entry, receive)
        elif receiver in self.entries:
            entry = self.entries[receiver]
            self._run(entry, lambda now: core.receive_peer_frame(entry.state, frame, now))

    def _deliver_to_agent(self, sender, agent, frame):
        ledger = agent.ledger
        session = ledger.sessions.get(sender)
        if session is None or session.number < frame.session:
            ledgers.open_session(ledger, sender, frame.session)
        if not frame_handling.receive_frame(ledger, frame, self.now + agent.skew):
            self.cut_agent_link(sender, agent.name)
        self._collect(agent)

    def _collect(self, agent, to_all_entries=False):
        for record in agent.ledger.started:
            self.oracle.record_start(record.batch.key, record.task.index, record.task.idempotent)
            agent.running.append(record)
        agent.ledger.started = []
        for report in collect_reports(agent.ledger, self.now + agent.skew, to_all_entries):
            if report.entry in self.entries:
                self._post((agent.name, report.entry), report.frame)

    def _close_session(self, agent, entry_name):
        session = agent.ledger.sessions.get(entry_name)
        if session is not None:
            ledgers.close_session(agent.ledger, entry_name, session.number, self.now)

    def _drop_peer_link(self, entry, name):
        entry.peer_links.discard(name)
        self._run(entry, lambda now: core.disconnect_peer(entry.state, name, now))

    def _register(self, key, value):
        if self.store_up and self.rows.get(key) is not value:
            self.revision += 1
            if isinstance(value, Registration):
                known = self.rows.get(key)
                if known is not None and known.incarnation == value.incarnation:
                    return
                value.revision = self.revision
            self.rows[key] = value

    def _build_registration(self, name, ledger):
        return Registration(
            agent=name,
            incarnation=ledger.incarnation,
            host="127.0.0.1",
            port=1,
            zone="z",
            services=frozenset({SERVICE}),
            revision=self.revision,
        )


def build_test_floor(version):
    team = Team(name="t", weight=1.0, queued_tasks=0, services=frozenset())
    services = {SERVICE: Service(name=SERVICE, max_run_time=0.0)}
    return Floor(
        version=version, teams={"t": team}, services=services, queued_tasks=12, queue_share=0.5
    )


def build_submission(key, *, size, task_class, deadline, idempotent, issued_at, salt=b""):
    """Builds a submission whose digest covers its size, deadline, idempotence and `salt`."""
    tasks = tuple(TaskSpec(payload=b"p", run_time=0.1, idempotent=idempotent) for _ in range(size))
    return Submission(
        key=key,
        digest=f"{size} {deadline} {idempotent}".encode() + salt,
        task_class=TaskClass(task_class),
        deadline=deadline,
        service=SERVICE,
        tasks=tasks,
        issued_at=issued_at,
    )


def make_key(number):
    return JobKey(team="t", job_id=f"j{number}")
