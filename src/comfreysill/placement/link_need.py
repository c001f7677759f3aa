"""Decides how many links beyond its base subset an entry needs, and until when it keeps them.

Work that waits is compared with the capacity of the linked targets. Links are opened in steps, each
of which is judged by what it has found before the next one. Nothing here knows of queues or frames.
"""

import math

# Share of a service's agents that an entry may link to, unless the settings say otherwise. No links
# are opened by need if it is 0.
DEFAULT_MAX_LINK_SHARE = 0.0
# An entry links to at most this many times its base subset.
MAX_WIDENING_FACTOR = 2
# Need begins with waiting work above this share of the linked capacity, or after the time below.
BEGIN_SHARE = 0.02
BEGIN_SECONDS = 0.05
# It has ended once nothing has waited for this long.
END_SECONDS = 0.3
# A new link is expected to find this share of its target free.
EXPECTED_FREE_SHARE = 0.25
# The first step is this share of the base subset; each further one is twice as large.
FIRST_STEP_SHARE = 0.25
MIN_STEP_LINKS = 4
MAX_STEP_LINKS = 32
# A step is judged after the first time if half of its links have answered, else after the second.
STEP_SECONDS = 0.06
MAX_STEP_SECONDS = 0.3
# A step was in vain if a smaller share of its links has found room.
USEFUL_SHARE = 0.25
MIN_VAIN_SECONDS = 0.5
MAX_VAIN_SECONDS = 8.0
MAX_VAIN_DOUBLINGS = 4
# Links that are needed and used are kept this long after that.
KEEP_SECONDS = 2.0
# Links of a service are given back one by one, with this time between them.
RETURN_INTERVAL_SECONDS = 0.1


class LinkNeed:
    """What requests of one service lack at an entry.

    Attributes:
        waiting_cpu: CPU in thousandths of a core of the tasks that wait for room at any target,
            though their requests can still be on time.
        usable_count: Number of usable linked targets.
        capacity: Their CPU in thousandths of a core, free or not.
        link_count: Number of links to agents of the service, open or requested.
        connecting_count: Number of links requested lately that have had no frame yet.
        agent_count: Number of agents of the service that can be linked to.
    """

    __slots__ = (
        "waiting_cpu",
        "usable_count",
        "capacity",
        "link_count",
        "connecting_count",
        "agent_count",
    )

    def __init__(
        self,
        *,
        waiting_cpu: int = 0,
        usable_count: int = 0,
        capacity: int = 0,
        link_count: int = 0,
        connecting_count: int = 0,
        agent_count: int = 0,
    ) -> None:
        self.waiting_cpu = waiting_cpu
        self.usable_count = usable_count
        self.capacity = capacity
        self.link_count = link_count
        self.connecting_count = connecting_count
        self.agent_count = agent_count


class NeededLink:
    """A link that was opened by need.

    Attributes:
        requested_at: Boot-clock time in seconds at which it was requested.
        kept_until: Boot-clock time in seconds from which it may be given back.
        has_answered: True once its agent has sent a frame.
        has_found_room: True if its target had room for waiting tasks when its agent answered.
        returning: True once it takes no more tasks, and is closed when it has none.
    """

    __slots__ = ("requested_at", "kept_until", "has_answered", "has_found_room", "returning")

    def __init__(self, *, requested_at: float) -> None:
        self.requested_at = requested_at
        self.kept_until = requested_at + KEEP_SECONDS
        self.has_answered = False
        self.has_found_room = False
        self.returning = False


class ServiceLinks:
    """Links by need to the agents of one service.

    Attributes:
        links: The links by name of the agent.
        avoided_until: Boot-clock times in seconds until which agents that didn't answer are not
            chosen, by name.
        waiting_since: Boot-clock time in seconds since which tasks have waited at each look,
            infinite while none do.
        needed_until: Boot-clock time in seconds at which the need ends if nothing waits until then,
            0 before the first need.
        step: Names of the agents of the newest step, empty once it was judged.
        step_at: Boot-clock time in seconds of that step, 0 before the first.
        step_size: Number of links of the next step at the most, 0 for the first one.
        vain_tries: Number of steps in vain since the last one that wasn't.
        vain_until: Boot-clock time in seconds until which no step follows one in vain.
        return_at: Boot-clock time in seconds from which the next link may be given back.
    """

    __slots__ = (
        "links",
        "avoided_until",
        "waiting_since",
        "needed_until",
        "step",
        "step_at",
        "step_size",
        "vain_tries",
        "vain_until",
        "return_at",
    )

    def __init__(self) -> None:
        self.links: dict[str, NeededLink] = {}
        self.avoided_until: dict[str, float] = {}
        self.waiting_since = math.inf
        self.needed_until = 0.0
        self.step: tuple[str, ...] = ()
        self.step_at = 0.0
        self.step_size = 0
        self.vain_tries = 0
        self.vain_until = 0.0
        self.return_at = 0.0


class LinkDemand:
    """Links by need of an entry.

    Attributes:
        max_share: Share of a service's agents that the entry may link to; none are linked by need
            if its base subset is larger, or if it is 0.
        services: Links by need, by service; only of those with any, or with need lately.
        due_at: Boot-clock time in seconds at which the need is looked at again.
        ticked_at: Boot-clock time in seconds of the last tick at the last look, 0 before.
        late_until: Boot-clock time in seconds until which this process counts as short of processor
            time, so that it opens no links by need.
    """

    __slots__ = ("max_share", "services", "due_at", "ticked_at", "late_until")

    def __init__(self, *, max_share: float) -> None:
        self.max_share = max_share
        self.services: dict[str, ServiceLinks] = {}
        self.due_at = 0.0
        self.ticked_at = 0.0
        self.late_until = 0.0


def update_need(need: LinkNeed, own: ServiceLinks, now: float) -> bool:
    """Updates since when a service has need and until when; returns whether it has now."""
    if not need.waiting_cpu:
        own.waiting_since = math.inf
        return now < own.needed_until
    own.waiting_since = min(own.waiting_since, now)
    is_much = need.waiting_cpu > BEGIN_SHARE * need.capacity
    is_old = now - own.waiting_since >= BEGIN_SECONDS
    if now < own.needed_until or is_much or is_old:
        if now >= own.needed_until:
            own.step_size = 0
        own.needed_until = now + END_SECONDS
        return True
    return False


def is_step_over(own: ServiceLinks, now: float) -> bool:
    """Returns whether the newest step can be judged, or there is none to judge."""
    links = [own.links[name] for name in own.step if name in own.links]
    answered_count = sum(link.has_answered for link in links)
    if now - own.step_at < STEP_SECONDS:
        return False
    return 2 * answered_count >= len(links) or now - own.step_at >= MAX_STEP_SECONDS


def judge_step(own: ServiceLinks, now: float) -> bool:
    """Ends the newest step; returns False if it was in vain.

    The links of a step in vain that have found no room are not kept. The next step is a small one,
    and waits twice as long as after the one in vain before.
    """
    links = [own.links[name] for name in own.step if name in own.links]
    own.step = ()
    found_count = sum(link.has_found_room for link in links)
    if found_count >= USEFUL_SHARE * len(links):
        own.vain_tries = 0
        return True
    doublings = min(own.vain_tries, MAX_VAIN_DOUBLINGS)
    vain_seconds = min(MIN_VAIN_SECONDS * 2**doublings, MAX_VAIN_SECONDS)
    own.vain_tries += 1
    own.step_size = MIN_STEP_LINKS
    own.vain_until = now + vain_seconds
    for link in links:
        if not link.has_found_room:
            link.kept_until = now
    return False


def choose_link_count(
    need: LinkNeed, own: ServiceLinks, base_count: int, max_share: float, now: float
) -> int:
    """Returns how many links to open now; the newest step has to be judged.

    Args:
        need: What requests of the service lack.
        own: Its links by need.
        base_count: Number of links of the base subset.
        max_share: Share of the service's agents that the entry may link to.
        now: Boot-clock time in seconds.
    """
    if not need.waiting_cpu or now < own.vain_until:
        return 0
    max_links = min(math.floor(max_share * need.agent_count), MAX_WIDENING_FACTOR * base_count)
    first_step = max(MIN_STEP_LINKS, math.ceil(FIRST_STEP_SHARE * base_count))
    step_size = min(own.step_size or first_step, MAX_STEP_LINKS)
    lacking_count = step_size
    if need.capacity:
        free_cpu = EXPECTED_FREE_SHARE * need.capacity / need.usable_count
        lacking_count = math.ceil(need.waiting_cpu / free_cpu)
    lacking_count -= need.connecting_count
    link_count = max(0, min(lacking_count, step_size, max_links - need.link_count))
    if link_count:
        own.step_size = 2 * step_size
    return link_count


def choose_returned(own: ServiceLinks, idle: set[str], now: float) -> str:
    """Returns the agent whose link is to be given back next, empty if there is none.

    Of those that needn't be kept longer, one without tasks (`idle`), else the one kept longest.
    """
    if now < own.return_at:
        return ""
    ended = [
        (name not in idle, link.kept_until, name)
        for name, link in own.links.items()
        if not link.returning and now >= link.kept_until
    ]
    return min(ended)[2] if ended else ""


def release_base_links(demand: LinkDemand, base: set[str]) -> set[str]:
    """Forgets the links by need that the base subset has taken in.

    Returns:
        The names of the agents of the others.
    """
    kept = set()
    for own in demand.services.values():
        for name in own.links.keys() & base:
            del own.links[name]
        kept |= own.links.keys()
    return kept


def count_needed_links(demand: LinkDemand) -> int:
    """Returns the number of links by need."""
    return sum(len(own.links) for own in demand.services.values())
