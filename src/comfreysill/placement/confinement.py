"""Confinement of routes whose requests crash runners: they keep to a part of the targets.

Each new request that crashes its runner harms the requests beside it once before it is known. While
a route is confined, those are requests of the same route, and callers of other routes are spared.
The part is as large as the route's share of the demand, and every entry chooses the same targets.
"""

import math
import zlib

from comfreysill.crashes.ledger import list_confined_routes
from comfreysill.placement.agent_state import Agent
from comfreysill.placement.orders import Candidate
from comfreysill.placement.state import EntryState, RouteDemand
from comfreysill.placement.subset import is_unavailable
from comfreysill.request.request import Request
from comfreysill.request.types import Specification

# Time constant with which recorded demand decays.
DEMAND_DECAY_SECONDS = 10.0


class TargetGroup:
    """Targets that the requests of some routes may be placed on.

    Attributes:
        candidates: The usable targets.
        lowest_slowness: Slowness of the fastest one.
        largest_room: Largest free CPU of a target in thousandths of a core.
    """

    __slots__ = ("candidates", "lowest_slowness", "largest_room")

    def __init__(self, *, candidates: list[Candidate]) -> None:
        self.candidates = candidates
        self.lowest_slowness = min(
            (candidate.agent.load.slowness for candidate in candidates), default=0.0
        )
        self.largest_room = 0
        update_room(self)


class TargetGroups:
    """The targets of a service, divided between confined and other routes.

    Attributes:
        confined_routes: Routes that are confined.
        confined: Targets for these routes.
        others: Targets for all other routes.
    """

    __slots__ = ("confined_routes", "confined", "others")

    def __init__(
        self, *, confined_routes: set[str], confined: TargetGroup, others: TargetGroup
    ) -> None:
        self.confined_routes = confined_routes
        self.confined = confined
        self.others = others


def update_room(group: TargetGroup) -> None:
    """Updates the largest free CPU after tasks were placed."""
    group.largest_room = max((candidate.cpu for candidate in group.candidates), default=0)


def get_group(groups: TargetGroups, request: Request) -> TargetGroup:
    """Returns the targets that a request may be placed on."""
    if request.specification.route in groups.confined_routes:
        return groups.confined
    return groups.others


def describe_confinement(state: EntryState, request: Request, now: float) -> str:
    """Returns why a request has few targets, empty if its route is not confined."""
    route = request.specification.route
    if route not in list_confined_routes(state.crashes, now):
        return ""
    return "other requests of its route crash their targets, so that the route has few of them"


def record_demand(state: EntryState, specification: Specification, now: float) -> None:
    """Adds the work of a request to the demand of its route."""
    demand = state.demand.get(specification.route)
    if demand is None:
        demand = RouteDemand(service=specification.service, updated_at=now)
        state.demand[specification.route] = demand
    demand.work = _decay(demand, now) + _compute_work(specification)
    demand.updated_at = now


def group_targets(
    state: EntryState, service: str, candidates: list[Candidate], now: float
) -> TargetGroups:
    """Divides the usable targets of a service; without a confined route all are for the others."""
    routes = list_confined_routes(state.crashes, now)
    names = _choose_confined(state, service, routes, now) if routes else set()
    confined = [candidate for candidate in candidates if candidate.agent.name in names]
    others = [candidate for candidate in candidates if candidate.agent.name not in names]
    return TargetGroups(
        confined_routes=routes if names else set(),
        confined=TargetGroup(candidates=confined),
        others=TargetGroup(candidates=others if names else candidates),
    )


def _choose_confined(state: EntryState, service: str, routes: set[str], now: float) -> set[str]:
    """Returns the names of the targets that confined routes keep to.

    A target whose runner has crashed counts as well: a crash must not move a route to other
    targets. None are chosen if hardly anyone else uses the service.
    """
    names = [
        agent.name
        for agent in state.agents.values()
        if _get_service(agent) == service and not is_unavailable(agent, now)
    ]
    share = _compute_share(state, service, routes, now)
    count = max(1, math.ceil(share * len(names)))
    if not share or count >= len(names):
        return set()
    return set(sorted(names, key=_rank_name)[:count])


def _get_service(agent: Agent) -> str:
    """Returns the service that an agent has announced, or that its target has reported."""
    if agent.service or agent.profile is None:
        return agent.service
    return agent.profile.service


def _rank_name(name: str) -> int:
    """Returns a rank that is the same at every entry."""
    return zlib.crc32(f"confinement {name}".encode())


def _compute_share(state: EntryState, service: str, routes: set[str], now: float) -> float:
    """Returns the share of some routes in the demand for a service."""
    work = {
        route: _decay(demand, now)
        for route, demand in state.demand.items()
        if demand.service == service
    }
    total = sum(work.values())
    return sum(work.get(route, 0.0) for route in routes) / total if total else 0.0


def _decay(demand: RouteDemand, now: float) -> float:
    return demand.work * math.exp((demand.updated_at - now) / DEMAND_DECAY_SECONDS)


def _compute_work(specification: Specification) -> float:
    return sum(step.count * step.cpu / 1000 * step.estimate for step in specification.steps)
