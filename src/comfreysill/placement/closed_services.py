"""Refusal of requests to services all of whose targets are in closed availability zones."""

from comfreysill.placement.agent_state import Agent
from comfreysill.placement.claim_leases import find_lease_end
from comfreysill.placement.closures import is_in_closed_zone
from comfreysill.placement.requests import refuse_request
from comfreysill.placement.state import EntryState, count
from comfreysill.placement.subset import is_unavailable
from comfreysill.request.request import Request


def refuse_without_zones(state: EntryState, now: float) -> None:
    """Refuses requests that have not begun and whose service has no target in an open zone.

    A zone is hardly opened while a caller waits, and one that is refused at once can still go
    elsewhere or come back. A target that may be in an open zone keeps them waiting, and so does a
    claim that isn't confirmed: another entry may have the request.
    """
    if not state.closures.statuses:
        return
    for service, queue in state.queues.items():
        zones = list_zones_if_closed(state, service, now) if queue else []
        if not zones:
            continue
        reason = "all zones with targets of the service are closed: " + ", ".join(
            f"{zone} since version {state.closures.statuses[zone].version}" for zone in zones
        )
        for item in list(queue):
            # Items are described at `EntryState.queues`; the last field is the request.
            request = item[4]
            if _may_refuse(state, request, now):
                count(state, "requests_refused_zones_closed")
                refuse_request(state, request, reason, now)


def _may_refuse(state: EntryState, request: Request, now: float) -> bool:
    claim = state.claims.get(request.specification.request_id)
    is_confirmed = claim is not None and claim.settled and now < find_lease_end(state, claim)
    return is_confirmed and request.verdict is None and not request.begun


def list_zones_if_closed(state: EntryState, service: str, now: float) -> list[str]:
    """Returns the zones of the targets of a service if all are closed, otherwise none."""
    agents = [
        agent
        for agent in state.agents.values()
        if _get_service(agent) in ("", service) and not is_unavailable(agent, now)
    ]
    if all(is_in_closed_zone(state, agent) for agent in agents):
        return sorted({agent.profile.zone for agent in agents})
    return []


def _get_service(agent: Agent) -> str:
    return agent.profile.service if agent.profile is not None else agent.service
