"""A floor under a virtual clock: real desks and books, a model of the runner, and an oracle.

The oracle sees only what runners do: two runs of one task at a time, and runs beyond capacity.
"""

import heapq
import random

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
)
from comfreysill.execution.frame_handling import close_session, expire_sessions, receive_frame
from comfreysill.execution.frames import collect_frames as collect_agent_frames
from comfreysill.execution.frames import measure_load
from comfreysill.execution.renewals import check_lease_expiry, queue_renewal, receive_renewal
from comfreysill.execution.runner import receive_report
from comfreysill.execution.starts import receive_call_reply, resend_stops, start_waiting
from comfreysill.execution.state import AgentState
from comfreysill.placement.agents import (
    close_link,
    collect_frames,
    discover_agent,
    expire_agents,
    open_link,
    receive_agent_frame,
)
from comfreysill.placement.placement import place_waiting, refuse_unmeetable
from comfreysill.placement.requests import disconnect_caller, expire_cached_verdicts, submit_request
from comfreysill.placement.state import CloseSession, EntryState, OpenLink, RemoveLink, SendFrame
from comfreysill.placement.subset import update_subset
from comfreysill.request.types import Specification, Step, Verdict

HOP = 0.001
TICK = 0.05
REPORT_SECONDS = 1.5
RESEND_SECONDS = 1.3
CALL_LIMIT = 0.25
CAPACITY = 8000


class ModelRunner:
    """A runner by its published rules: leases, tokens, lists of ends, no guard of its room."""

    def __init__(self, world, name, started_at_ms):
        self.world = world
        self.name = name
        self.lifetime = RunnerLifetime(runner_id=name, started_at_ms=started_at_ms)
        self.token = 0
        self.running = {}
        self.ended = []
        self.stopped = {}
        self.lease = 0.0
        self.next_end = 1
        self.sequence = 0
        self.alive = True
        self.fails = False
        self.speed = 1.0
        self.advanced_at = 0.0

    def advance(self, now):
        passed, self.advanced_at = (now - self.advanced_at) * self.speed, now
        for task, row in list(self.running.items()):
            row[1] += passed
            if now > self.lease:
                self.end(task, row[0], "lapsed")
            elif row[1] >= row[2]:
                self.end(task, row[0], "failed" if self.fails else "done")

    def end(self, task, run, outcome):
        del self.running[task]
        self.stopped[task] = run
        self.ended.append(RunEnd(number=self.next_end, task=task, run=run, outcome=outcome))
        self.next_end += 1

    def carry_out(self, call, now):
        self.advance(now)
        if call.lifetime != self.lifetime or not self.alive:
            return ReplyStatus.GONE
        if call.token < self.token:
            return ReplyStatus.FENCED
        self.token = call.token
        lease_until_ms = getattr(call, "lease_until_ms", 0)
        if lease_until_ms:
            self.lease = max(self.lease, min(lease_until_ms / 1000, now + 1.0))
        if isinstance(call, StartCall):
            return self.start(call, now)
        if isinstance(call, RenewCall):
            self.ended = [end for end in self.ended if end.number > call.ended_seen]
            return ReplyStatus.ACCEPTED
        known = self.running.get(call.task)
        if known is not None and known[0] <= call.run:
            self.end(call.task, known[0], "stopped")
        self.stopped[call.task] = max(self.stopped.get(call.task, 0), call.run)
        return ReplyStatus.ACCEPTED

    def start(self, call, now):
        known = self.running.get(call.task)
        if known is not None:
            return ReplyStatus.ACCEPTED if known[0] == call.run else ReplyStatus.OLD_RUN
        if call.run <= self.stopped.get(call.task, 0):
            return ReplyStatus.OLD_RUN
        if call.lease_until_ms / 1000 < now:
            return ReplyStatus.LATE
        seconds = float(call.payload)
        self.running[call.task] = [call.run, 0.0, seconds]
        self.world.judge_start(self, call.task)
        return ReplyStatus.ACCEPTED


class Process:
    """A desk or a book with its clock, its frozen state and its lifetime."""

    def __init__(self, name):
        self.name = name
        self.state = None
        self.alive = False
        self.lifetime = 0
        self.frozen_until = 0.0
        self.held = []


class World:
    """The floor; `run` plays it up to a time."""

    def __init__(self, seed, entries=2, agents=3):
        self.random = random.Random(seed)
        self.now = 100.0
        self.order = 0
        self.events = []
        self.violations = []
        self.entries = {f"e{n}": Process(f"e{n}") for n in range(entries)}
        self.agents = {f"a{n}": Process(f"a{n}") for n in range(agents)}
        self.runners = {name: ModelRunner(self, name, 1) for name in self.agents}
        self.links = {}
        self.cuts = {}
        self.lost_calls = 0.0
        self.requests = {}
        self.callers = {}
        self.verdicts = {}
        self.next_caller = 1
        self.starts = 0
        for name in self.entries:
            self.boot_entry(name)
        for name in self.agents:
            self.boot_agent(name)
            self.at(0.01, self.report, name)
        self.at(TICK, self.tick)

    # --- time -------------------------------------------------------------------------------
    def at(self, delay, action, *arguments):
        self.order += 1
        heapq.heappush(self.events, (self.now + delay, self.order, action, arguments))

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until

    def tick(self):
        self.at(TICK, self.tick)
        for runner in self.runners.values():
            runner.advance(self.now)
        for process in self.entries.values():
            self.wake(process, self.tick_entry, process)
        for process in self.agents.values():
            self.wake(process, self.tick_agent, process)
        for entry in self.entries:
            for agent in self.agents:
                self.connect(entry, agent)

    def wake(self, process, action, *arguments):
        """Runs an action in a process, later if it stands still."""
        if not process.alive:
            return
        if self.now < process.frozen_until:
            lifetime = process.lifetime
            process.held.append((lifetime, action, arguments))
            return
        held, process.held = process.held, []
        for lifetime, kept, kept_arguments in held:
            if lifetime == process.lifetime and kept is not action:
                kept(*kept_arguments)
        action(*arguments)

    # --- processes --------------------------------------------------------------------------
    def boot_entry(self, name):
        process = self.entries[name]
        process.lifetime += 1
        process.alive = True
        process.held = []
        process.state = EntryState(name=f"{name}@{process.lifetime}", zone="z", unix_offset=0.0)
        process.state.entries = list(self.entries)
        for agent in self.agents:
            discover_agent(process.state, agent, agent)

    def boot_agent(self, name):
        process = self.agents[name]
        process.lifetime += 1
        process.alive = True
        process.held = []
        token = int(self.now * 1000)
        process.state = AgentState(
            agent=name, lifetime=str(process.lifetime), zone="z", token=token
        )

    def report(self, name):
        self.at(REPORT_SECONDS, self.report, name)
        runner, process = self.runners[name], self.agents[name]
        if not runner.alive:
            return
        runner.sequence += 1
        report = RunnerReport(
            lifetime=runner.lifetime,
            service="s",
            address="",
            zone="z",
            draining=False,
            sequence=runner.sequence,
            cpu=CAPACITY,
            memory_mb=100000,
            gpus=0,
            labels=(),
        )
        self.wake(process, self.take_report, process, report)

    def take_report(self, process, report):
        receive_report(process.state, report, self.now)
        self.flush_agent(process)

    def tick_entry(self, process):
        expire_agents(process.state, self.now)
        expire_cached_verdicts(process.state, self.now)
        refuse_unmeetable(process.state, self.now)
        self.flush_entry(process)

    def tick_agent(self, process):
        expire_sessions(process.state, self.now)
        resend_stops(process.state, self.now)
        check_lease_expiry(process.state, self.now)
        self.flush_agent(process)

    def flush_entry(self, process):
        state = process.state
        update_subset(state, self.now)
        place_waiting(state, self.now)
        collect_frames(state, self.now)
        effects, state.effects = state.effects, []
        state.events.clear()
        for effect in effects:
            if isinstance(effect, SendFrame):
                self.send(process.name, effect.agent, effect.frame)
            elif isinstance(effect, CloseSession | RemoveLink):
                self.drop_link(process.name, effect.agent)
            elif isinstance(effect, OpenLink):
                self.connect(process.name, effect.agent)
            else:
                self.take_verdict(process.name, effect)

    def flush_agent(self, process):
        agent = process.state
        start_waiting(agent, self.now)
        queue_renewal(agent, self.now)
        calls, agent.calls = agent.calls, []
        agent.events.clear()
        for call in calls:
            self.call_runner(process, call)
        for entry, frame in collect_agent_frames(agent, True, self.now):
            # A frame for an earlier lifetime goes to a connection that is gone.
            instance = entry.partition("@")[0]
            if self.entries[instance].state.name == entry:
                self.send_back(process, instance, frame)

    # --- links ------------------------------------------------------------------------------
    def is_cut(self, sender, receiver):
        return self.cuts.get((sender, receiver), 0.0) > self.now

    def connect(self, entry, agent):
        source, target = self.entries[entry], self.agents[agent]
        frozen = max(source.frozen_until, target.frozen_until) > self.now
        if (entry, agent) in self.links or not source.alive or not target.alive or frozen:
            return
        if not source.state.agents[agent].link_requested_at:
            return
        if self.is_cut(entry, agent) or self.is_cut(agent, entry):
            return
        session = open_link(source.state, agent, self.now)
        self.links[entry, agent] = (session, source.lifetime, target.lifetime)

    def drop_link(self, entry, agent):
        link = self.links.pop((entry, agent), None)
        if link is None:
            return
        source, target = self.entries[entry], self.agents[agent]
        self.wake(source, close_link, source.state, agent, link[0])
        name = source.state.name
        self.wake(target, close_session, target.state, name, link[0])

    def send(self, entry, agent, frame):
        delay = max(HOP, self.cuts.get((entry, agent), 0.0) - self.now + HOP)
        self.at(delay, self.deliver, entry, agent, self.agents[agent].lifetime, frame)

    def deliver(self, entry, agent, lifetime, frame):
        process = self.agents[agent]
        if process.lifetime == lifetime:
            self.wake(process, self.take_frame, process, entry, frame)

    def take_frame(self, process, entry, frame):
        expire_sessions(process.state, self.now)
        receive_frame(process.state, frame, self.now)
        self.flush_agent(process)

    def send_back(self, process, entry, frame):
        delay = max(HOP, self.cuts.get((process.name, entry), 0.0) - self.now + HOP)
        self.at(delay, self.deliver_back, entry, self.entries[entry].lifetime, frame)

    def deliver_back(self, entry, lifetime, frame):
        process = self.entries[entry]
        if process.lifetime == lifetime:
            self.wake(process, self.take_agent_frame, process, frame)

    def take_agent_frame(self, process, frame):
        receive_agent_frame(process.state, frame, self.now)
        self.flush_entry(process)

    # --- the runner -------------------------------------------------------------------------
    def call_runner(self, process, call):
        runner = self.runners[process.name]
        lifetime = process.lifetime
        if self.random.random() < self.lost_calls:
            late = self.random.choice([0.0, 0.1, 0.5, 2.0, 4.0])
            self.at(late + HOP, runner.carry_out, call, self.now + late + HOP)
            self.at(CALL_LIMIT, self.reply, process, lifetime, call, ReplyStatus.UNANSWERED)
            return
        self.at(HOP, self.serve_call, process, lifetime, runner, call)

    def serve_call(self, process, lifetime, runner, call):
        reply = runner.carry_out(call, self.now)
        wait = getattr(call, "wait_ms", 0) / 1000
        ready = not wait or runner.ended
        self.at(HOP if ready else wait, self.reply, process, lifetime, call, reply)

    def reply(self, process, lifetime, call, reply):
        if process.lifetime == lifetime:
            self.wake(process, self.take_reply, process, call, reply)

    def take_reply(self, process, call, reply):
        runner, agent = self.runners[process.name], process.state
        clock = int(self.now * 1000) if reply != ReplyStatus.UNANSWERED else -1
        if isinstance(call, RenewCall):
            runner.advance(self.now)
            accepted = reply == ReplyStatus.ACCEPTED
            rows = [
                ListedRun(task=task, run=run, percent=int(100 * done / work))
                for task, (run, done, work) in runner.running.items()
            ]
            answer = RenewReply(
                call=call,
                status=reply,
                clock_ms=clock,
                started_at_ms=runner.lifetime.started_at_ms,
                running=rows if accepted else [],
                ended=list(runner.ended) if accepted else [],
            )
            receive_renewal(agent, answer, self.now)
        else:
            receive_call_reply(agent, CallReply(call=call, status=reply, clock_ms=clock), self.now)
        self.flush_agent(process)

    def judge_start(self, runner, task):
        self.starts += 1
        for other in self.runners.values():
            other.advance(self.now)
            if other is not runner and other.alive and task in other.running:
                self.violations.append(f"{self.now:.3f} twice: {task} {other.name} {runner.name}")
        used = sum(self.need(name) for name in runner.running)
        if used > CAPACITY:
            self.violations.append(f"{self.now:.3f} room: {runner.name} {used}")

    def need(self, task):
        return self.requests[task.partition("/")[0]].steps[0].cpu

    # --- callers ----------------------------------------------------------------------------
    def submit(self, key, entry, tasks=3, seconds=0.3, cpu=1000, priority=0):
        step = Step(count=tasks, cpu=cpu, memory_mb=10, estimate=seconds)
        self.requests[key] = Specification(
            request_id=key,
            route="r",
            service="s",
            payload=str(seconds),
            steps=(step,),
            priority=priority,
            max_attempts=2,
            stretch=1.6,
            slack_seconds=0.06,
        )
        self.verdicts.setdefault(key, [])
        self.send_request(key, entry)

    def send_request(self, key, entry):
        process = self.entries[entry]
        if not process.alive:
            live = sorted(name for name, other in self.entries.items() if other.alive)
            if not live:
                self.at(RESEND_SECONDS, self.send_request, key, entry)
                return
            entry = self.random.choice(live)
            process = self.entries[entry]
        caller = self.next_caller
        self.next_caller += 1
        self.callers[caller] = (key, entry)
        self.wake(process, self.take_request, process, caller, key)

    def take_request(self, process, caller, key):
        submit_request(process.state, caller, self.requests[key], self.now)
        self.flush_entry(process)

    def take_verdict(self, entry, effect):
        key, _ = self.callers.pop(effect.caller, (None, None))
        if key is None:
            return
        self.verdicts[key].append(effect.verdict)
        if effect.verdict == Verdict.MAY_HAVE_RUN:
            self.at(RESEND_SECONDS, self.send_request, key, self.choose_entry())

    def choose_entry(self):
        return self.random.choice(sorted(self.entries))

    def leave(self, caller):
        key, entry = self.callers.pop(caller)
        process = self.entries[entry]
        self.wake(process, self.take_leave, process, caller)
        return key

    def take_leave(self, process, caller):
        disconnect_caller(process.state, caller, self.now)
        self.flush_entry(process)

    # --- faults -----------------------------------------------------------------------------
    def kill_entry(self, name, down=1.0, silent=False):
        process = self.entries[name]
        if not process.alive:
            return
        process.alive = False
        for agent in self.agents:
            if silent:
                self.links.pop((name, agent), None)
            else:
                self.drop_link(name, agent)
        for caller, (key, entry) in list(self.callers.items()):
            if entry == name:
                del self.callers[caller]
                self.at(RESEND_SECONDS, self.send_request, key, self.choose_entry())
        self.at(down, self.boot_entry, name)

    def kill_agent(self, name, down=0.5, silent=False):
        process = self.agents[name]
        if not process.alive:
            return
        process.alive = False
        for entry in self.entries:
            if silent:
                self.links.pop((entry, name), None)
            else:
                self.drop_link(entry, name)
        self.at(down, self.boot_agent, name)

    def freeze(self, process, seconds):
        process.frozen_until = max(process.frozen_until, self.now + seconds)

    def cut(self, sender, receiver, seconds):
        self.cuts[sender, receiver] = max(
            self.cuts.get((sender, receiver), 0.0), self.now + seconds
        )

    def crash_runner(self, name, down=1.0):
        old = self.runners[name]
        old.alive = False
        fresh = ModelRunner(self, name, old.lifetime.started_at_ms + 1)
        self.at(down, self.runners.__setitem__, name, fresh)

    def set_speed(self, name, speed):
        runner = self.runners[name]
        runner.advance(self.now)
        runner.speed = speed

    def measure_room(self, name):
        return measure_load(self.agents[name].state, self.now).cpu
