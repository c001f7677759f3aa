"""Simulates a deployment on a virtual clock: real entry and agent state, and a model of the runner.

Guarantees are checked only at the runners: a task that runs on two runners at the same time and a
runner whose runs need more than its capacity are listed in `World.violations`.

Callers behave as on the users' page: one that stops waiting closes its connection, and sends the
request again RESEND_DELAY_SECONDS later to any entry. The end of its connection may come late.

A call that gets no answer may be carried out up to MAX_CALL_DELAY_SECONDS later, also by a later
lifetime of the runner: a call names the runner's id alone.
"""

import heapq
import math
import random
from collections import deque

from comfreysill.crashes.ledger import expire_crashes
from comfreysill.execution.calls import (
    CallReply,
    ListedRun,
    RenewCall,
    RenewReply,
    ReplyStatus,
    RunEnd,
    RunnerLifetime,
    RunnerReport,
    StartCall,
    build_unanswered_reply,
)
from comfreysill.execution.frame_handling import (
    close_session,
    expire_links,
    expire_runs,
    receive_frame,
)
from comfreysill.execution.frames import collect_frames as collect_agent_frames
from comfreysill.execution.frames import compute_load
from comfreysill.execution.renewals import check_lease_expiry, queue_renewal, receive_renewal
from comfreysill.execution.runner import receive_deregistration, receive_report
from comfreysill.execution.starts import receive_call_reply, resend_stops, start_waiting
from comfreysill.execution.state import AgentState
from comfreysill.placement.agents import (
    begin_session,
    collect_frames,
    discover_agent,
    end_session,
    expire_agents,
    receive_agent_frame,
)
from comfreysill.placement.cancelling import begin_cancellation
from comfreysill.placement.closed_services import refuse_without_zones
from comfreysill.placement.closures import read_zones
from comfreysill.placement.crashes import judge_crashes, receive_crash
from comfreysill.placement.effects import (
    ClosePeerSession,
    CloseSession,
    OpenLink,
    OpenPeerLink,
    RemoveLink,
    RemovePeerLink,
    SendCancelReply,
    SendClaimReplies,
    SendClaims,
    SendFrame,
    SendVerdict,
)
from comfreysill.placement.link_demand import update_links_by_need
from comfreysill.placement.peer_links import (
    begin_peer_session,
    collect_claims,
    end_peer_session,
    expire_replies,
    receive_replies,
    refuse_peer,
    update_peers,
)
from comfreysill.placement.placement import place_waiting, refuse_unmeetable
from comfreysill.placement.registrar import close_claimant_session, receive_claims
from comfreysill.placement.requests import (
    conclude_remote_ends,
    disconnect_caller,
    expire_cached_verdicts,
    expire_requests,
    submit_request,
)
from comfreysill.placement.state import EntryState
from comfreysill.placement.subset import update_subset
from comfreysill.request.types import CancelOutcome, Specification, Step, Verdict
from comfreysill.zones.closures import ZoneReading, ZoneStatus
from tests.waits import build_wait

HOP_SECONDS = 0.001
STORE_SECONDS = 0.005
# From the time at which an entry can read the store again to its next call.
STORE_RETRY_SECONDS = 0.25
# A start in a closed zone that is sent later than this is a violation.
EVACUATION_SECONDS = 5.0
# An agent knows of a change after the next report, if that one is not delayed.
CAPACITY_CHANGE_SECONDS = 4.5
TICK_SECONDS = 0.05
REPORT_INTERVAL_SECONDS = 1.5
RESEND_DELAY_SECONDS = 1.3
# A request that is read at once may have arrived this long before.
POLL_SECONDS = 0.01
CALL_TIMEOUT_SECONDS = 0.25
MAX_CALL_DELAY_SECONDS = 12.0
# Probability that a late call is carried out as soon as its runner is born again.
FIRST_MOMENT_PROBABILITY = 0.3
# Seconds late that never come.
NEVER = float("inf")
# What the client of the runner reports of a connection that is refused.
REFUSED = ReplyStatus.REFUSED
# Open calls stay without an answer until they time out.
SILENT = None
# A run that is stopped goes on for this long.
STOP_SECONDS = 0.05
MAX_LEASE_SECONDS = 1.0
CPU_CAPACITY = 8000
CRASH_DOWN_SECONDS = 3.0
# After so many crashes under one task, so many more starts of it are a violation.
MAX_CRASHES_PER_TASK = 3
MAX_STARTS_AFTER_CRASHES = 3
# A request may be started for so long after its cancelling was answered.
CANCEL_SECONDS = 1.0
# Entries open links by need.
MAX_LINK_SHARE = 0.75


class ModelRunner:
    """One lifetime of a runner as specified by the platform: leases, tokens and ended runs.

    Its clock starts in the lifetime, and all lease times are on it. It does not enforce its own
    capacity, so that an excess is detected.
    """

    def __init__(self, world, name, lifetime, clock_started_at):
        self.world = world
        self.name = name
        self.lifetime = lifetime
        self.clock_started_at = clock_started_at
        self.token = 0
        # [run, completed seconds, seconds of work, time at which a stop ends it] by task.
        self.running = {}
        self.ended = []
        # Highest stopped or ended run by task.
        self.stopped = {}
        # On the runner's clock in seconds.
        self.lease = 0.0
        self.next_end = 1
        self.sequence = 0
        self.alive = True
        self.draining = False
        # Until then it refuses connections, while its runs go on.
        self.refuses_until = 0.0
        self.fails_tasks = False
        self.cpu = CPU_CAPACITY
        # Earlier capacities as (time of the change, capacity before it).
        self.capacity_changes = []
        self.speed = 1.0
        self.advanced_at = world.now
        # Renewals that wait for a run to end, as (process, its lifetime, call).
        self.waiting_calls = []

    def read_clock(self, now):
        """Returns the runner's clock in seconds."""
        return now - self.clock_started_at

    def set_cpu(self, cpu):
        """Changes the capacity; a smaller one binds agents after CAPACITY_CHANGE_SECONDS."""
        self.capacity_changes.append((self.world.now, self.cpu))
        self.cpu = cpu

    def get_capacity_limit(self, now):
        recent = [cpu for at, cpu in self.capacity_changes if now - at <= CAPACITY_CHANGE_SECONDS]
        return max([self.cpu, *recent])

    def answer_waiting_calls(self):
        """Answers the waiting renewals if a run has ended."""
        self.advance(self.world.now)
        if self.ended:
            calls, self.waiting_calls = self.waiting_calls, []
            for process, lifetime, call in calls:
                reply = self.build_reply(call, ReplyStatus.ACCEPTED)
                self.world.send_reply(process, lifetime, reply)

    def give_up_waiting(self, process, lifetime, call):
        if (process, lifetime, call) in self.waiting_calls:
            self.waiting_calls.remove((process, lifetime, call))
            self.advance(self.world.now)
            self.world.send_reply(process, lifetime, self.build_reply(call, ReplyStatus.ACCEPTED))

    def break_connections(self, status):
        """Breaks the connections of the waiting renewals, which then have this status."""
        calls, self.waiting_calls = self.waiting_calls, []
        delay = HOP_SECONDS
        if status == SILENT:
            status, delay = ReplyStatus.UNANSWERED, CALL_TIMEOUT_SECONDS
        for process, lifetime, call in calls:
            reply = build_unanswered_reply(call)
            reply.status = status
            self.world.schedule(delay, self.world.reply, process, lifetime, reply)

    def build_reply(self, call, status):
        """Builds the reply to a call, with the runner's clock, birth and lists of now."""
        if status == ReplyStatus.UNANSWERED:
            return build_unanswered_reply(call)
        clock_ms, started_at_ms = -1, 0
        if self.accepts_connections():
            clock_ms = int(self.read_clock(self.world.now) * 1000)
            started_at_ms = self.lifetime.started_at_ms
        if not isinstance(call, RenewCall):
            return CallReply(call=call, status=status, clock_ms=clock_ms)
        accepted = status == ReplyStatus.ACCEPTED
        rows = [
            ListedRun(task=task, run=run, percent=int(100 * done / work))
            for task, (run, done, work, _) in self.running.items()
        ]
        return RenewReply(
            call=call,
            status=status,
            clock_ms=clock_ms,
            started_at_ms=started_at_ms,
            running=rows if accepted else [],
            ended=list(self.ended) if accepted else [],
        )

    def accepts_connections(self):
        return self.alive and self.world.now >= self.refuses_until

    def advance(self, now):
        elapsed, self.advanced_at = (now - self.advanced_at) * self.speed, now
        for task, row in list(self.running.items()):
            row[1] += elapsed
            if self.read_clock(now) > self.lease:
                self.end(task, row[0], "lapsed")
            elif row[1] >= row[2]:
                self.end(task, row[0], "failed" if self.fails_tasks else "done")
            elif now >= row[3]:
                self.end(task, row[0], "stopped")

    def end(self, task, run, outcome):
        del self.running[task]
        self.stopped[task] = run
        self.ended.append(RunEnd(number=self.next_end, task=task, run=run, outcome=outcome))
        self.next_end += 1

    def handle_call(self, call, now):
        """Carries out a call; it is addressed to the runner's id, not to the lifetime."""
        self.advance(now)
        if not self.alive:
            return REFUSED
        if call.lifetime.runner_id != self.lifetime.runner_id:
            return ReplyStatus.GONE
        if call.token < self.token:
            return ReplyStatus.FENCED
        self.token = call.token
        lease_until_ms = getattr(call, "lease_until_ms", 0)
        if lease_until_ms:
            longest = self.read_clock(now) + MAX_LEASE_SECONDS
            self.lease = max(self.lease, min(lease_until_ms / 1000, longest))
        if isinstance(call, StartCall):
            return self.start(call, now)
        if isinstance(call, RenewCall):
            self.ended = [end for end in self.ended if end.number > call.ended_seen]
            return ReplyStatus.ACCEPTED
        known = self.running.get(call.task)
        if known is not None and known[0] <= call.run:
            known[3] = min(known[3], now + STOP_SECONDS)
            self.world.schedule(STOP_SECONDS, self.answer_waiting_calls)
        self.stopped[call.task] = max(self.stopped.get(call.task, 0), call.run)
        return ReplyStatus.ACCEPTED

    def start(self, call, now):
        known = self.running.get(call.task)
        if known is not None:
            return ReplyStatus.ACCEPTED if known[0] == call.run else ReplyStatus.OLD_RUN
        if call.run <= self.stopped.get(call.task, 0):
            return ReplyStatus.OLD_RUN
        if call.lease_until_ms / 1000 < self.read_clock(now):
            return ReplyStatus.LATE
        seconds = float(call.payload)
        self.running[call.task] = [call.run, 0.0, seconds, NEVER]
        if call.task in self.world.crash_delays:
            delay = self.world.crash_delays[call.task]
            self.world.schedule(delay, self.world.crash_under_task, self, call.task)
        if self.speed:
            self.world.schedule(seconds / self.speed + 1e-6, self.answer_waiting_calls)
        self.world.check_start(self, call.task)
        return ReplyStatus.ACCEPTED


class Process:
    """An entry or an agent process; while it is frozen, its actions are deferred."""

    def __init__(self, name):
        self.name = name
        self.state = None
        self.alive = False
        self.lifetime = 0
        self.frozen_at = 0.0
        self.frozen_until = 0.0
        self.deferred = []
        # True while it has read messages that it hasn't acted on.
        self.in_batch = False
        # True while its machine is gone as well; else connections to a dead process are refused.
        self.vanished = False


class World:
    """Entries, agents and runners, their links, and the queue of future events."""

    def __init__(self, seed, entries=2, agents=3, zones=1):
        self.random = random.Random(seed)
        self.now = 100.0
        self.event_count = 0
        self.events = []
        self.violations = []
        self.entries = {f"e{n}": Process(f"e{n}") for n in range(entries)}
        self.agents = {f"a{n}": Process(f"a{n}") for n in range(agents)}
        self.runners = {}
        # Availability zones of agents and their runners, by agent.
        self.zones = {
            name: f"z{number % zones}" if zones > 1 else "z"
            for number, name in enumerate(self.agents)
        }
        # Rows by which the operator has closed zones, as (version, time), by zone.
        self.zone_rows = {}
        self.store_version = 0
        # Times until which entries can't read the store, by entry.
        self.store_away_until = {}
        # Seconds from the rows to the starts that were sent to runners of closed zones after them.
        self.late_zone_starts = []
        for name in self.agents:
            lifetime = RunnerLifetime(runner_id=name, started_at_ms=1)
            self.runners[name] = ModelRunner(self, name, lifetime, clock_started_at=0.0)
        # Newest report of each lifetime of a runner, the earliest lifetime first.
        self.reports = {name: [] for name in self.agents}
        self.links = {}
        # Sessions of entries with registrars, as (session, lifetimes) by their names.
        self.peer_links = {}
        self.cut_until = {}
        # Probability that a call gets no answer and is carried out late; see `delay_call`.
        self.call_loss_probability = 0.0
        # Time until which all calls of a kind get no answer, by kind.
        self.lost_until = {}
        # Calls that are still to be carried out late, by the runner's name.
        self.late_calls = {name: [] for name in self.agents}
        # Seconds by which the time of day of an instance is set back, by agent.
        self.clock_lags = {}
        # Replies come up to so many seconds late, so that they overtake each other.
        self.max_reply_delay = 0.0
        # Tests replace it: seconds that a call is late without an answer, None for a normal call.
        self.delay_call = self.draw_call_delay
        # Seconds from the start of a task until it crashes its runner, by task.
        self.crash_delays = {}
        # Names of the runners that crashed under a task, in order, by task.
        self.crashes = {}
        self.starts_after_crashes = {}
        # Crash reports in the store; they outlive all processes.
        self.stored_crashes = []
        self.requests = {}
        # Seconds for which the callers of a request wait, by request; without an end if missing.
        self.waits = {}
        # Tests replace it: seconds from the end of a caller's wait until the end of its connection
        # is seen, NEVER if it isn't.
        self.draw_end_delay = lambda: HOP_SECONDS
        # Tests replace it: seconds for which the path from a caller holds its request and the end
        # of its connection.
        self.draw_path_delay = lambda entry: 0.0
        # Tests replace it: seconds from the sending until the connection breaks at its caller,
        # NEVER if it doesn't. The entry isn't told before `draw_end_delay` says so.
        self.draw_break_delay = lambda: NEVER
        # Whether a process that wakes reads from agents first, and from callers after that.
        self.reads_callers_last = False
        # Whether an entry that wakes reads its connections in any order, each as far as it likes,
        # and acts after any number of messages.
        self.wakes_in_any_order = False
        self.callers = {}
        # Request and entry by number of the canceller, for each one not answered yet.
        self.cancellers = {}
        # Answers to those that have cancelled a request, as (time, outcome), by request id.
        self.cancel_replies = {}
        self.verdicts = {}
        self.next_caller = 1
        self.starts = 0
        for name in self.entries:
            self.start_entry(name)
        for name in self.agents:
            self.start_agent(name)
            self.schedule(0.01, self.send_report, name)
        self.schedule(TICK_SECONDS, self.tick)

    # --- time -------------------------------------------------------------------------------
    def schedule(self, delay, action, *arguments):
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, action, arguments))

    def run(self, seconds):
        ends_at = self.now + seconds
        while self.events and self.events[0][0] <= ends_at:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = ends_at

    def tick(self):
        self.schedule(TICK_SECONDS, self.tick)
        for runner in self.runners.values():
            runner.advance(self.now)
        for process in self.entries.values():
            self.run_or_defer(process, self.tick_entry, process)
        for process in self.agents.values():
            self.run_or_defer(process, self.tick_agent, process)
        for entry in self.entries:
            for agent in self.agents:
                self.connect(entry, agent)
            for other in self.entries:
                self.connect_peer(entry, other)

    def run_or_defer(self, process, action, *arguments):
        """Runs an action in a process, or defers it while the process is frozen.

        Deferred actions run just before the first action after the freeze. Dropped are actions
        while the process isn't alive, deferred ones of an earlier lifetime, and deferred ones that
        are the same function as that first action, whatever their arguments. The last applies only
        to functions such as `end_session`: a bound method is a new object at each access.
        """
        if not process.alive:
            return
        if self.now < process.frozen_until:
            lifetime = process.lifetime
            process.deferred.append((lifetime, action, arguments))
            return
        deferred, process.deferred = process.deferred, []
        if self.reads_callers_last:
            deferred.sort(key=lambda item: item[1] in (self.handle_request, self.handle_disconnect))
        if self.wakes_in_any_order:
            deferred = self.shuffle_connections(deferred)
        for lifetime, deferred_action, deferred_arguments in deferred:
            if lifetime == process.lifetime and deferred_action is not action:
                # An action within a batch is followed by no placement.
                process.in_batch = self.wakes_in_any_order and self.random.random() < 0.8
                deferred_action(*deferred_arguments)
        process.in_batch = False
        action(*arguments)

    def shuffle_connections(self, deferred):
        """Merges the deferred actions of each connection in any order of the connections."""
        connections = {}
        for item in deferred:
            connections.setdefault(self.find_connection(item), []).append(item)
        waiting = [deque(items) for items in connections.values()]
        merged = []
        while waiting:
            connection = self.random.choice(waiting)
            for _ in range(self.random.randint(1, len(connection))):
                merged.append(connection.popleft())
            waiting = [other for other in waiting if other]
        return merged

    def find_connection(self, item):
        """Returns what tells the connection of a deferred action from others."""
        _, action, arguments = item
        if action == self.handle_agent_frame:
            return ("agent", arguments[1].agent)
        if action in (self.handle_claims, self.end_claimant):
            return ("claimant", str(arguments[1]).partition("@")[0])
        if action in (self.handle_replies, self.end_peer):
            return ("registrar", arguments[1])
        if action in (self.handle_request, self.handle_disconnect):
            return ("caller", arguments[1])
        return ("other", "")

    # --- processes --------------------------------------------------------------------------
    def start_entry(self, name):
        process = self.entries[name]
        process.lifetime += 1
        process.alive = True
        process.deferred = []
        process.state = EntryState(
            max_link_share=MAX_LINK_SHARE,
            name=f"{name}@{process.lifetime}",
            zone="z",
            unix_offset=0.0,
            retry_seconds=RESEND_DELAY_SECONDS,
        )
        process.state.entries = [name, *(other for other in self.entries if other != name)]
        for agent in self.agents:
            discover_agent(process.state, agent, agent)
        for report in self.stored_crashes:
            receive_crash(process.state, report, self.now)
        self.schedule(STORE_SECONDS, self.read_zones_again, process, process.lifetime)

    def start_agent(self, name):
        process = self.agents[name]
        process.lifetime += 1
        process.alive = True
        process.deferred = []
        token = int((self.now - self.clock_lags.get(name, 0.0)) * 1000)
        process.state = AgentState(
            agent=name, lifetime=str(process.lifetime), zone=self.zones[name], token=token
        )

    def send_report(self, name):
        self.schedule(REPORT_INTERVAL_SECONDS, self.send_report, name)
        self.report_now(name)

    def report_now(self, name):
        runner, process = self.runners[name], self.agents[name]
        if not runner.alive:
            return
        runner.sequence += 1
        report = RunnerReport(
            lifetime=runner.lifetime,
            service="s",
            address="",
            zone=self.zones[name],
            draining=runner.draining,
            sequence=runner.sequence,
            cpu=runner.cpu,
            memory_mb=100000,
            gpus=0,
            labels=(),
        )
        reports = self.reports[name]
        if reports and reports[-1].lifetime == runner.lifetime:
            reports.pop()
        reports.append(report)
        self.run_or_defer(process, self.handle_report, process, report)

    def handle_report(self, process, report):
        receive_report(process.state, report, self.now)
        self.flush_agent(process)

    def tick_entry(self, process):
        expire_agents(process.state, self.now)
        expire_replies(process.state, self.now)
        expire_cached_verdicts(process.state, self.now)
        judge_crashes(process.state, self.now)
        expire_crashes(process.state.crashes, self.now)
        refuse_without_zones(process.state, self.now)
        refuse_unmeetable(process.state, self.now)
        self.flush_entry(process)

    def tick_agent(self, process):
        expire_links(process.state, self.now)
        expire_runs(process.state, self.now)
        resend_stops(process.state, self.now)
        check_lease_expiry(process.state, self.now)
        self.flush_agent(process)

    def flush_entry(self, process):
        if process.in_batch:
            return
        state = process.state
        update_subset(state, self.now)
        update_peers(state, self.now)
        conclude_remote_ends(state, self.now)
        expire_requests(state, self.now)
        place_waiting(state, self.now)
        update_links_by_need(state, self.now)
        collect_frames(state, self.now)
        collect_claims(state, self.now)
        effects, state.effects = state.effects, []
        state.events.clear()
        for effect in effects:
            self.carry_out(process, effect)

    def carry_out(self, process, effect):
        if isinstance(effect, SendFrame):
            self.send(process.name, effect.agent, effect.frame)
        elif isinstance(effect, CloseSession | RemoveLink):
            self.drop_link(process.name, effect.agent)
        elif isinstance(effect, OpenLink):
            self.connect(process.name, effect.agent)
        elif isinstance(effect, SendClaims):
            self.send_to_peer(process.name, effect.address, self.handle_claims, effect.frame)
        elif isinstance(effect, SendClaimReplies):
            claimant = effect.entry.partition("@")[0]
            if self.entries[claimant].state.name == effect.entry:
                self.send_to_peer(process.name, claimant, self.handle_replies, effect.frame)
        elif isinstance(effect, ClosePeerSession | RemovePeerLink):
            self.drop_peer_link(process.name, effect.address)
        elif isinstance(effect, OpenPeerLink):
            self.connect_peer(process.name, effect.address)
        elif isinstance(effect, SendVerdict):
            self.handle_verdict(process.name, effect)
        elif isinstance(effect, SendCancelReply):
            self.handle_cancel_reply(effect)

    def flush_agent(self, process):
        agent = process.state
        start_waiting(agent, self.now)
        queue_renewal(agent, self.now)
        calls, agent.calls = agent.calls, []
        agent.events.clear()
        reports, agent.unsaved_crashes = agent.unsaved_crashes, []
        for report in reports:
            self.schedule(STORE_SECONDS, self.store_crash, report)
        for call in calls:
            self.call_runner(process, call)
        for entry, frame in collect_agent_frames(agent, True, self.now):
            # The connection of an earlier lifetime of the entry no longer exists.
            instance = entry.partition("@")[0]
            if self.entries[instance].state.name == entry:
                self.send_back(process, instance, frame)

    def store_crash(self, report):
        """Stores a crash report; the entries that are up learn of it."""
        self.stored_crashes.append(report)
        for process in self.entries.values():
            self.run_or_defer(process, self.handle_stored_crash, process, report)

    def handle_stored_crash(self, process, report):
        receive_crash(process.state, report, self.now)
        self.flush_entry(process)

    # --- the operator -----------------------------------------------------------------------
    def close_zone(self, zone):
        """Writes the row that closes a zone; it is acknowledged at once."""
        self.store_version += 1
        _, closed_at = self.zone_rows.get(zone, (0, self.now))
        self.zone_rows[zone] = (self.store_version, closed_at)
        self.announce_zone(ZoneStatus(zone=zone, version=self.store_version, closed=True))

    def open_zone(self, zone):
        if self.zone_rows.pop(zone, None) is None:
            return
        self.store_version += 1
        self.announce_zone(ZoneStatus(zone=zone, version=self.store_version, closed=False))

    def announce_zone(self, status):
        reading = ZoneReading(version=self.store_version, statuses=(status,))
        for process in self.entries.values():
            self.schedule(STORE_SECONDS, self.deliver_zones, process, process.lifetime, reading)

    def take_store_away(self, entry, seconds):
        """Keeps an entry from reading the store; it reads the whole table when it can again."""
        away_until = max(self.store_away_until.get(entry, 0.0), self.now + seconds)
        self.store_away_until[entry] = away_until

    def read_zones_again(self, process, lifetime):
        """Reads the table as a whole, as after a failed call."""
        if not self.store_version:
            # Plays without the operator go on as they did before there was one.
            return
        statuses = tuple(
            ZoneStatus(zone=zone, version=version, closed=True)
            for zone, (version, _) in self.zone_rows.items()
        )
        reading = ZoneReading(version=self.store_version, statuses=statuses, whole=True)
        self.deliver_zones(process, lifetime, reading)

    def deliver_zones(self, process, lifetime, reading):
        if process.lifetime != lifetime:
            return
        away_until = self.store_away_until.get(process.name, 0.0)
        if self.now < away_until:
            # Each call fails until then.
            delay = away_until - self.now + STORE_RETRY_SECONDS
            self.schedule(delay, self.read_zones_again, process, lifetime)
            return
        self.run_or_defer(process, self.handle_zones, process, reading)

    def handle_zones(self, process, reading):
        read_zones(process.state, reading, self.now)
        self.flush_entry(process)

    def check_zone(self, process, call):
        """Lists a start that is sent to a closed zone later than the bound after its row."""
        _, closed_at = self.zone_rows.get(self.zones[process.name], (0, NEVER))
        if not isinstance(call, StartCall) or closed_at == NEVER:
            return
        self.late_zone_starts.append(self.now - closed_at)
        # Entries that can't read the store may know of nothing.
        calm_since = max([closed_at, *self.store_away_until.values()])
        if self.now - calm_since > EVACUATION_SECONDS:
            zone = self.zones[process.name]
            self.violations.append(f"{self.now:.3f} start in closed zone {zone}: {call.task}")

    # --- links ------------------------------------------------------------------------------
    def is_cut(self, sender, receiver):
        return self.cut_until.get((sender, receiver), 0.0) > self.now

    def connect(self, entry, agent):
        entry_process, agent_process = self.entries[entry], self.agents[agent]
        frozen = max(entry_process.frozen_until, agent_process.frozen_until) > self.now
        if (
            (entry, agent) in self.links
            or not entry_process.alive
            or not agent_process.alive
            or frozen
        ):
            return
        if not entry_process.state.agents[agent].link_requested_at:
            return
        if self.is_cut(entry, agent) or self.is_cut(agent, entry):
            return
        session = begin_session(entry_process.state, agent, self.now)
        self.links[entry, agent] = (session, entry_process.lifetime, agent_process.lifetime)

    def drop_link(self, entry, agent):
        link = self.links.pop((entry, agent), None)
        if link is None:
            return
        entry_process, agent_process = self.entries[entry], self.agents[agent]
        self.run_or_defer(entry_process, end_session, entry_process.state, agent, link[0])
        name = entry_process.state.name
        self.run_or_defer(agent_process, close_session, agent_process.state, name, link[0])

    def send(self, entry, agent, frame):
        delay = max(HOP_SECONDS, self.cut_until.get((entry, agent), 0.0) - self.now + HOP_SECONDS)
        self.schedule(delay, self.deliver, entry, agent, self.agents[agent].lifetime, frame)

    def deliver(self, entry, agent, lifetime, frame):
        process = self.agents[agent]
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.handle_frame, process, entry, frame)

    def handle_frame(self, process, entry, frame):
        expire_links(process.state, self.now)
        expire_runs(process.state, self.now)
        receive_frame(process.state, frame, self.now)
        self.flush_agent(process)

    def send_back(self, process, entry, frame):
        delay = max(
            HOP_SECONDS, self.cut_until.get((process.name, entry), 0.0) - self.now + HOP_SECONDS
        )
        self.schedule(delay, self.deliver_back, entry, self.entries[entry].lifetime, frame)

    def deliver_back(self, entry, lifetime, frame):
        process = self.entries[entry]
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.handle_agent_frame, process, frame)

    def handle_agent_frame(self, process, frame):
        receive_agent_frame(process.state, frame, self.now)
        self.flush_entry(process)

    # --- links between entries --------------------------------------------------------------
    def connect_peer(self, claimant, registrar):
        """Opens the session of an entry with a registrar, unless there is one."""
        process, other = self.entries[claimant], self.entries[registrar]
        frozen = max(process.frozen_until, other.frozen_until) > self.now
        if process.alive and not other.alive and not other.vanished:
            self.schedule(HOP_SECONDS, self.refuse, process, process.lifetime, registrar)
        if not process.alive or not other.alive or frozen:
            return
        if (claimant, registrar) in self.peer_links or registrar not in process.state.peers:
            return
        if self.is_cut(claimant, registrar) or self.is_cut(registrar, claimant):
            return
        session = begin_peer_session(process.state, registrar, self.now)
        self.peer_links[claimant, registrar] = (session, process.lifetime, other.lifetime)
        self.flush_entry(process)

    def refuse(self, process, lifetime, registrar):
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.handle_refusal, process, registrar)

    def handle_refusal(self, process, registrar):
        refuse_peer(process.state, registrar, self.now)
        self.flush_entry(process)

    def drop_peer_link(self, claimant, registrar):
        link = self.peer_links.pop((claimant, registrar), None)
        if link is None:
            return
        process, other = self.entries[claimant], self.entries[registrar]
        session, lifetime, other_lifetime = link
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.end_peer, process, registrar, session)
        if other.lifetime == other_lifetime:
            name = f"{claimant}@{lifetime}"
            cut_seconds = max(0.0, self.cut_until.get((claimant, registrar), 0.0) - self.now)
            delay = HOP_SECONDS + cut_seconds
            self.schedule(delay, self.deliver_end, other, other_lifetime, name, session)

    def deliver_end(self, process, lifetime, name, session):
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.end_claimant, process, name, session)

    def end_peer(self, process, registrar, session):
        end_peer_session(process.state, registrar, session, self.now)

    def end_claimant(self, process, name, session):
        close_claimant_session(process.state, name, session, self.now)

    def send_to_peer(self, sender, receiver, handle, frame):
        cut_seconds = self.cut_until.get((sender, receiver), 0.0) - self.now
        lifetime = self.entries[receiver].lifetime
        delay = HOP_SECONDS + max(0.0, cut_seconds)
        self.schedule(delay, self.deliver_to_peer, sender, receiver, lifetime, handle, frame)

    def deliver_to_peer(self, sender, receiver, lifetime, handle, frame):
        process = self.entries[receiver]
        if process.lifetime == lifetime:
            self.run_or_defer(process, handle, process, sender, frame)

    def handle_claims(self, process, sender, frame):
        receive_claims(process.state, frame, self.now)
        self.flush_entry(process)

    def handle_replies(self, process, sender, frame):
        receive_replies(process.state, sender, frame, self.now)
        self.flush_entry(process)

    # --- the runner -------------------------------------------------------------------------
    def draw_call_delay(self, process, call):
        """Returns how many seconds late a call is carried out without an answer, None if it isn't.

        Half of the late calls come within 1.5 s.
        """
        is_lost = self.now < self.lost_until.get(type(call), 0.0)
        if is_lost or self.random.random() < self.call_loss_probability:
            return MAX_CALL_DELAY_SECONDS * self.random.random() ** 3
        return None

    def call_runner(self, process, call):
        self.check_zone(process, call)
        delay = self.delay_call(process, call)
        if delay is None:
            self.schedule(HOP_SECONDS, self.serve_call, process, process.lifetime, call)
            return
        if delay != NEVER:
            self.late_calls[process.name].append(call)
            self.schedule(delay + HOP_SECONDS, self.carry_out_late, process.name, call)
        reply = build_unanswered_reply(call)
        timeout = min(CALL_TIMEOUT_SECONDS, getattr(call, "answer_by", math.inf) - self.now)
        self.schedule(timeout, self.reply, process, process.lifetime, reply)

    def carry_out_late(self, name, call):
        """Carries out a call, unless it was before, at whatever lifetime of the runner is up."""
        runner, late_calls = self.runners[name], self.late_calls[name]
        is_due = call in late_calls
        if is_due:
            late_calls.remove(call)
        if is_due and runner.alive:
            runner.handle_call(call, self.now)

    def serve_call(self, process, lifetime, call):
        runner = self.runners[process.name]
        connected = runner.accepts_connections()
        status = runner.handle_call(call, self.now) if connected else REFUSED
        wait = getattr(call, "wait_ms", 0) / 1000
        if status != ReplyStatus.ACCEPTED or not wait or runner.ended:
            self.send_reply(process, lifetime, runner.build_reply(call, status))
            return
        runner.waiting_calls.append((process, lifetime, call))
        self.schedule(wait, runner.give_up_waiting, process, lifetime, call)

    def send_reply(self, process, lifetime, reply):
        delay = HOP_SECONDS
        if self.max_reply_delay:
            delay += self.random.random() * self.max_reply_delay
        self.schedule(delay, self.reply, process, lifetime, reply)

    def reply(self, process, lifetime, reply):
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.handle_reply, process, reply)

    def handle_reply(self, process, reply):
        if isinstance(reply, RenewReply):
            receive_renewal(process.state, reply, self.now)
        else:
            receive_call_reply(process.state, reply, self.now)
        self.flush_agent(process)

    def check_start(self, runner, task):
        """Lists a start of a task that another runner runs, or that exceeds the capacity.

        A run that is being stopped counts. Overlaps begin with a start, so that none is missed.
        """
        self.starts += 1
        for other in self.runners.values():
            other.advance(self.now)
            if other is not runner and other.alive and task in other.running:
                self.violations.append(
                    f"{self.now:.3f} double start: {task} {other.name} {runner.name}"
                )
        self.check_cancelled(task.partition("/")[0])
        if len(self.crashes.get(task, ())) >= MAX_CRASHES_PER_TASK:
            starts = self.starts_after_crashes[task] = self.starts_after_crashes.get(task, 0) + 1
            if starts >= MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"{self.now:.3f} crashes again and again: {task}")
        used = sum(self.get_cpu_demand(name) for name in runner.running)
        if used > runner.get_capacity_limit(self.now):
            self.violations.append(f"{self.now:.3f} capacity exceeded: {runner.name} {used}")

    def check_cancelled(self, request_id):
        """Lists a start of a request whose cancelling was answered CANCEL_SECONDS ago."""
        for at, outcome in self.cancel_replies.get(request_id, ()):
            is_answer = outcome in (CancelOutcome.ENDED, CancelOutcome.UNKNOWN)
            if is_answer and self.now - at > CANCEL_SECONDS:
                self.violations.append(f"{self.now:.3f} start after cancelling: {request_id}")

    def get_cpu_demand(self, task):
        return self.requests[task.partition("/")[0]].steps[0].cpu

    # --- callers ----------------------------------------------------------------------------
    def submit(
        self, request_id, entry, tasks=3, seconds=0.3, cpu=1000, priority=0, wait=NEVER, steps=1
    ):
        step_list = tuple(
            Step(
                count=tasks,
                cpu=cpu,
                memory_mb=10,
                estimate=seconds,
                after=(number - 1,) if number else (),
            )
            for number in range(steps)
        )
        self.waits[request_id] = wait
        self.requests[request_id] = Specification(
            request_id=request_id,
            route="r",
            service="s",
            payload=str(seconds),
            steps=step_list,
            priority=priority,
            max_attempts=2,
            stretch=1.6,
            slack_seconds=0.06,
        )
        self.verdicts.setdefault(request_id, [])
        self.send_request(request_id, entry)

    def send_request(self, request_id, entry):
        process = self.entries[entry]
        if not process.alive:
            live = sorted(name for name, other in self.entries.items() if other.alive)
            if not live:
                self.schedule(RESEND_DELAY_SECONDS, self.send_request, request_id, entry)
                return
            entry = self.random.choice(live)
            process = self.entries[entry]
        caller = self.next_caller
        self.next_caller += 1
        self.callers[caller] = (request_id, entry)
        wait = min(self.waits.get(request_id, NEVER), self.draw_break_delay())
        path_delay = self.draw_path_delay(entry)
        if wait != NEVER:
            self.schedule(wait, self.stop_waiting, caller, path_delay)
        if path_delay:
            lifetime = process.lifetime
            self.schedule(path_delay, self.deliver_request, process, lifetime, caller, request_id)
        else:
            self.run_or_defer(process, self.handle_request, process, caller, request_id, self.now)

    def deliver_request(self, process, lifetime, caller, request_id):
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.handle_request, process, caller, request_id, self.now)

    def handle_request(self, process, caller, request_id, sent_at):
        unread_seconds = POLL_SECONDS
        if sent_at < self.now:
            unread_seconds += self.now - process.frozen_at
        wait = build_wait(self.now, self.waits.get(request_id, NEVER), unread_seconds)
        submit_request(process.state, caller, self.requests[request_id], self.now, wait)
        self.flush_entry(process)

    def handle_verdict(self, entry, effect):
        request_id, _ = self.callers.pop(effect.caller, (None, None))
        if request_id is None:
            return
        self.verdicts[request_id].append(effect.verdict)
        if effect.verdict == Verdict.MAY_HAVE_RUN:
            self.schedule(RESEND_DELAY_SECONDS, self.send_request, request_id, self.choose_entry())

    def cancel(self, request_id, entry):
        """Cancels a request at an entry; the caller repeats it until it is acknowledged."""
        process = self.entries[entry]
        if not process.alive:
            self.schedule(RESEND_DELAY_SECONDS, self.cancel, request_id, self.choose_entry())
            return
        canceller = self.next_caller
        self.next_caller += 1
        self.cancellers[canceller] = (request_id, entry)
        self.run_or_defer(process, self.handle_cancel, process, canceller, request_id)

    def handle_cancel(self, process, canceller, request_id):
        begin_cancellation(process.state, canceller, request_id, self.now)
        self.flush_entry(process)

    def handle_cancel_reply(self, effect):
        request_id, _ = self.cancellers.pop(effect.canceller)
        self.cancel_replies.setdefault(request_id, []).append((self.now, effect.outcome))
        if effect.outcome == CancelOutcome.UNCERTAIN:
            delay = effect.retry_at - self.now
            self.schedule(delay, self.cancel, request_id, self.choose_entry())

    def choose_entry(self):
        return self.random.choice(sorted(self.entries))

    def stop_waiting(self, caller, path_delay=0.0):
        """Lets a caller without an answer close its connection, and send its request again."""
        if caller not in self.callers:
            return
        request_id, entry = self.callers.pop(caller)
        end_delay = self.draw_end_delay()
        if end_delay != NEVER:
            process = self.entries[entry]
            lifetime = process.lifetime
            self.schedule(
                path_delay + end_delay, self.deliver_disconnect, process, lifetime, caller
            )
        self.schedule(RESEND_DELAY_SECONDS, self.send_request, request_id, self.choose_entry())

    def deliver_disconnect(self, process, lifetime, caller):
        if process.lifetime == lifetime:
            self.run_or_defer(process, self.handle_disconnect, process, caller)

    def drop_caller(self, caller):
        request_id, entry = self.callers.pop(caller)
        process = self.entries[entry]
        self.run_or_defer(process, self.handle_disconnect, process, caller)
        return request_id

    def handle_disconnect(self, process, caller):
        disconnect_caller(process.state, caller, self.now)
        self.flush_entry(process)

    # --- faults -----------------------------------------------------------------------------
    def kill_entry(self, name, down_seconds=1.0, silent=False):
        """Kills an entry; if `silent`, agents aren't notified that its sessions ended."""
        process = self.entries[name]
        if not process.alive:
            return
        process.alive = False
        process.vanished = silent
        for agent in self.agents:
            if silent:
                self.links.pop((name, agent), None)
            else:
                self.drop_link(name, agent)
        for other in self.entries:
            for claimant, registrar in ((name, other), (other, name)):
                if silent:
                    self.peer_links.pop((claimant, registrar), None)
                else:
                    self.drop_peer_link(claimant, registrar)
        for caller, (request_id, entry) in list(self.callers.items()):
            if entry == name:
                del self.callers[caller]
                self.schedule(
                    RESEND_DELAY_SECONDS, self.send_request, request_id, self.choose_entry()
                )
        for canceller, (request_id, entry) in list(self.cancellers.items()):
            if entry == name:
                del self.cancellers[canceller]
                self.schedule(RESEND_DELAY_SECONDS, self.cancel, request_id, self.choose_entry())
        self.schedule(down_seconds, self.start_entry, name)

    def kill_agent(self, name, down_seconds=0.5, silent=False):
        """Kills an agent; if `silent`, entries aren't notified that its sessions ended."""
        process = self.agents[name]
        if not process.alive:
            return
        process.alive = False
        for entry in self.entries:
            if silent:
                self.links.pop((entry, name), None)
            else:
                self.drop_link(entry, name)
        self.schedule(down_seconds, self.start_agent, name)

    def freeze(self, process, seconds):
        if self.now >= process.frozen_until:
            process.frozen_at = self.now
        process.frozen_until = max(process.frozen_until, self.now + seconds)

    def cut(self, sender, receiver, seconds):
        """Delays frames in one direction until the cut ends; meanwhile no session begins."""
        self.cut_until[sender, receiver] = max(
            self.cut_until.get((sender, receiver), 0.0), self.now + seconds
        )

    def crash_runner(self, name, down_seconds=1.0, runner_id=""):
        """Crashes a runner: its connections break, and calls to it are refused until it is back.

        It is born again under the id that it had, or under another one if `runner_id` is given.
        """
        old = self.runners[name]
        if not old.alive:
            return
        old.alive = False
        old.break_connections(ReplyStatus.DISCONNECTED)
        self.schedule(down_seconds, self.start_runner, name, runner_id or old.lifetime.runner_id)

    def start_runner(self, name, runner_id):
        """Starts the next lifetime of a runner: its clock and all of its counts start anew."""
        started_at_ms = self.runners[name].lifetime.started_at_ms + 1
        lifetime = RunnerLifetime(runner_id=runner_id, started_at_ms=started_at_ms)
        self.runners[name] = ModelRunner(self, name, lifetime, clock_started_at=self.now)
        self.schedule(HOP_SECONDS, self.report_now, name)
        for call in list(self.late_calls[name]):
            if self.random.random() < FIRST_MOMENT_PROBABILITY:
                self.carry_out_late(name, call)

    def refuse_connections(self, name, seconds, status=ReplyStatus.UNANSWERED):
        """Lets a runner that is up refuse connections; its open connections break.

        They are reset, or closed as by the end of a process (DISCONNECTED), or SILENT.
        """
        runner = self.runners[name]
        runner.refuses_until = max(runner.refuses_until, self.now + seconds)
        runner.break_connections(status)

    def deregister(self, name, lifetime):
        """Delivers the deregistration that a lifetime of a runner has sent, perhaps long ago."""
        process = self.agents[name]
        self.run_or_defer(process, self.handle_deregistration, process, lifetime)

    def handle_deregistration(self, process, lifetime):
        receive_deregistration(process.state, lifetime.runner_id, self.now)
        self.flush_agent(process)

    def leave_runner(self, name, seconds, drain_seconds=0.0, born_again=True):
        """Lets a runner drain and deregister; it ends `seconds` later, its ack having been lost.

        It is then born again under its id, or under another one.
        """
        runner = self.runners[name]
        if not runner.alive or runner.draining:
            return
        runner.draining = True
        self.report_now(name)
        runner_id = "" if born_again else f"{name}-{runner.lifetime.started_at_ms + 1}"
        self.schedule(drain_seconds, self.deregister, name, runner.lifetime)
        self.schedule(drain_seconds + seconds, self.end_runner, runner, runner_id)

    def end_runner(self, runner, runner_id):
        if self.runners[runner.name] is runner:
            self.crash_runner(runner.name, down_seconds=0.5, runner_id=runner_id)

    def repeat_report(self, name, number):
        """Delivers a report of the runner again, perhaps of an earlier lifetime."""
        reports, process = self.reports[name], self.agents[name]
        if reports:
            report = reports[number % len(reports)]
            self.run_or_defer(process, self.handle_report, process, report)

    def repeat_deregistration(self, name, number):
        """Delivers the deregistration of an earlier lifetime of the runner, if there was one."""
        earlier = self.reports[name][:-1]
        if earlier:
            self.deregister(name, earlier[number % len(earlier)].lifetime)

    def crash_under_task(self, runner, task):
        """Crashes a runner if the task still runs on it."""
        if runner.alive and task in runner.running:
            self.crashes.setdefault(task, []).append(runner.name)
            self.crash_runner(runner.name, CRASH_DOWN_SECONDS)

    def make_deadly(self, task, delay=0.05):
        """Lets a task crash each runner that starts it, after a delay in seconds."""
        self.crash_delays[task] = delay

    def set_speed(self, name, speed):
        runner = self.runners[name]
        runner.advance(self.now)
        runner.speed = speed

    def measure_free_cpu(self, name):
        return compute_load(self.agents[name].state, self.now).cpu
