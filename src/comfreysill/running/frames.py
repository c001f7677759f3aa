"""Frames from an agent to its entries."""

from comfreysill.exchange.messages import (
    FRAME_INTERVAL_SECONDS,
    FULL_PACE_LINKS,
    IDLE_MOST_SECONDS,
    AgentFrame,
    Load,
    Profile,
)
from comfreysill.running.book import EntrySession, RunBook
from comfreysill.running.starts import is_accepting

# Entries that are told at once of room that has become free.
TOLD_AT_ONCE = 2
NO_PROFILE = Profile(service="", zone="", cpu=0, memory_mb=0, gpus=0, labels=())


def measure_load(book: RunBook, now: float) -> Load:
    """Returns what the target has left."""
    report = book.report
    return Load(
        accepting=is_accepting(book, now),
        cpu=(report.cpu if report else 0) - book.cpu_used - book.cpu_waiting,
        memory_mb=(report.memory_mb if report else 0) - book.memory_used - book.memory_waiting,
        gpus=(report.gpus if report else 0) - book.gpus_used - book.gpus_waiting,
        slowness=max(book.slowness, book.recent_slowness),
    )


def describe_target(book: RunBook) -> Profile:
    """Returns what the target is."""
    report = book.report
    if report is None:
        return NO_PROFILE
    return Profile(
        service=report.service,
        zone=report.zone or book.zone,
        cpu=report.cpu,
        memory_mb=report.memory_mb,
        gpus=report.gpus,
        labels=report.labels,
    )


def collect_frames(book: RunBook, freed: bool, now: float) -> list[tuple[str, AgentFrame]]:
    """Builds one frame for each entry that is due one.

    Args:
        book: The agent's state.
        freed: True when room has become free since the last call.
        now: Boot-clock time in seconds.

    Returns:
        Pairs of an entry's name and the frame for it.
    """
    frames = []
    load = measure_load(book, now)
    first = _choose_hungry(book, now) if freed else ()
    for session in book.sessions.values():
        turned = session.accepting_sent != load.accepting
        if session.number and (turned or session in first or _is_due(book, session, now)):
            frames.append((session.entry, _build_frame(book, session, load, now)))
    return frames


def _choose_hungry(book: RunBook, now: float) -> list[EntrySession]:
    """Returns the entries that are told of free room at once.

    Those with the most urgent tasks, by turns. The others hear of what is left with their next
    frame: if all were told, they would promise the same room.
    """
    hungry = [session for session in book.sessions.values() if session.number and session.hunger]
    hungry.sort(key=lambda session: (session.hunger, session.told_at))
    for session in hungry[:TOLD_AT_ONCE]:
        session.told_at = now
    return hungry[:TOLD_AT_ONCE]


def _is_due(book: RunBook, session: EntrySession, now: float) -> bool:
    if not session.opened or session.profile_sent != book.profile_version:
        return True
    if session.ended and session.ended[-1].number > session.end_sent:
        return True
    return now - session.sent_at >= _find_interval(book, session)


def _find_interval(book: RunBook, session: EntrySession) -> float:
    """Returns the seconds between frames: few while the entry has tasks here or wants to."""
    if session.hunger or any(run.entry == session.entry for run in book.runs.values()):
        return FRAME_INTERVAL_SECONDS
    open_links = sum(other.number > 0 for other in book.sessions.values())
    share = max(1.0, open_links / FULL_PACE_LINKS)
    return min(FRAME_INTERVAL_SECONDS * share, IDLE_MOST_SECONDS)


def _build_frame(book: RunBook, session: EntrySession, load: Load, now: float) -> AgentFrame:
    fresh = session.profile_sent != book.profile_version
    opening = not session.opened
    frame = AgentFrame(
        agent=book.agent,
        lifetime=book.lifetime,
        session=session.number,
        seen=session.seen,
        stamp=now,
        load=load,
        profile=describe_target(book) if fresh else None,
        ended=[end for end in session.ended if end.number > session.end_sent],
        active=_list_active(book, session.entry) if opening else [],
        opening=opening,
        routes_version=book.routes_version,
        routes_holder=book.routes_holder,
        next_seconds=_find_interval(book, session),
    )
    session.opened = True
    session.accepting_sent = load.accepting
    session.profile_sent = book.profile_version
    session.sent_at = now
    if session.ended:
        session.end_sent = session.ended[-1].number
    return frame


def _list_active(book: RunBook, entry: str) -> list[str]:
    return [run.task for run in book.runs.values() if run.entry == entry]
