"""Frames between an owner entry and an agent: messages, sequence numbers and the target's load."""

from comfreysill.target.messages import AgentMessage, EntryMessage


class Load:
    """Load of a target, included in every frame of its agent.

    Attributes:
        slots: Number of tasks the target can run at once, 0 until a runner has announced itself.
        queue_limit: Maximum number of queued tasks.
        running: Number of running tasks.
        queued: Number of tasks queued at the agent.
        active: Number of running or queued tasks by class.
        draining: True when the target accepts no new tasks.
        floor_version: Newest version of the floor document that the agent received, 0 for none.
    """

    __slots__ = (
        "slots",
        "queue_limit",
        "running",
        "queued",
        "active",
        "draining",
        "floor_version",
    )

    def __init__(
        self,
        *,
        slots: int,
        queue_limit: int,
        running: int,
        queued: int,
        active: tuple[int, ...],
        draining: bool,
        floor_version: int,
    ) -> None:
        self.queue_limit = queue_limit
        self.active = active
        self.slots = slots
        self.running = running
        self.queued = queued
        self.draining = draining
        self.floor_version = floor_version


class EntryFrame:
    """Messages from an entry to an agent; a frame without messages is a heartbeat.

    Attributes:
        entry: Name of the entry.
        session: Number of the session.
        sequence: Number of the frame within the session, from 1.
        floor_version: Version of the floor document in force at the entry, 0 for none.
        messages: The messages.
        load_wanted: Requests a report as soon as a slot is free.
        ack_wanted: Requests an immediate report.
    """

    __slots__ = (
        "entry",
        "session",
        "sequence",
        "floor_version",
        "messages",
        "load_wanted",
        "ack_wanted",
    )

    def __init__(
        self,
        *,
        entry: str,
        session: int,
        sequence: int,
        floor_version: int,
        messages: tuple[EntryMessage, ...],
        load_wanted: bool = False,
        ack_wanted: bool = False,
    ) -> None:
        self.ack_wanted = ack_wanted
        self.load_wanted = load_wanted
        self.entry = entry
        self.session = session
        self.sequence = sequence
        self.floor_version = floor_version
        self.messages = messages


class AgentFrame:
    """Messages from an agent to an entry.

    Attributes:
        agent: Name of the agent.
        incarnation: Id of this run of the agent's process.
        session: Number of the session.
        sequence: Number of the frame within the session, from 1.
        acknowledged: Highest sequence number received from the entry in the session, 0 for none.
        load: Load of the target.
        messages: The messages.
    """

    __slots__ = (
        "agent",
        "incarnation",
        "session",
        "sequence",
        "acknowledged",
        "load",
        "messages",
    )

    def __init__(
        self,
        *,
        agent: str,
        incarnation: str,
        session: int,
        sequence: int,
        acknowledged: int,
        load: Load,
        messages: tuple[AgentMessage, ...],
    ) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.session = session
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.load = load
        self.messages = messages
