"""Carries out the effects of decisions at an entry: answers, frames, links."""

import asyncio
import math
from collections.abc import Callable

from comfreysill.gateway.actor import Actor
from comfreysill.gateway.links import build_agent_link, build_peer_link, run_link
from comfreysill.gateway.messages import (
    CancelReply,
    Reply,
)
from comfreysill.placement.effects import (
    ClosePeerSession,
    CloseSession,
    Effect,
    FetchRoutes,
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


def carry_out_effects(actor: Actor, now: float) -> None:
    """Carries out the effects that the state has queued, in their order."""
    effects, actor.state.effects = actor.state.effects, []
    for effect in effects:
        EFFECTS[type(effect)](actor, effect, now)


def _send_frame(actor: Actor, effect: SendFrame, now: float) -> None:
    link = actor.links.get(effect.agent)
    if link is not None:
        link.outbox.post(effect.frame)


def _open_link(actor: Actor, effect: OpenLink, now: float) -> None:
    link = build_agent_link(effect.agent, effect.address, actor.inbox)
    link.task = asyncio.create_task(run_link(link))
    actor.links[effect.agent] = link


def _remove_link(actor: Actor, effect: RemoveLink, now: float) -> None:
    link = actor.links.pop(effect.agent, None)
    if link is not None:
        link.task.cancel()


def _close_session(actor: Actor, effect: CloseSession, now: float) -> None:
    link = actor.links.get(effect.agent)
    if link is not None and link.session == effect.session:
        # None closes the session.
        link.outbox.post(None)


def _open_peer_link(actor: Actor, effect: OpenPeerLink, now: float) -> None:
    link = build_peer_link(effect.address, actor.inbox)
    link.task = asyncio.create_task(run_link(link))
    actor.peer_links[effect.address] = link


def _remove_peer_link(actor: Actor, effect: RemovePeerLink, now: float) -> None:
    link = actor.peer_links.pop(effect.address, None)
    if link is not None:
        link.task.cancel()


def _close_peer_session(actor: Actor, effect: ClosePeerSession, now: float) -> None:
    link = actor.peer_links.get(effect.address)
    if link is not None and link.session == effect.session:
        link.outbox.post(None)


def _send_claims(actor: Actor, effect: SendClaims, now: float) -> None:
    link = actor.peer_links.get(effect.address)
    if link is not None:
        link.outbox.post(effect.frame)


def _send_claim_replies(actor: Actor, effect: SendClaimReplies, now: float) -> None:
    session = actor.claimants.get(effect.entry)
    if session is not None and session.number == effect.frame.session:
        session.outbox.post(effect.frame)


def _queue_routes_fetch(actor: Actor, effect: FetchRoutes, now: float) -> None:
    actor.routes_sources.post(effect.address)


def _send_verdict(actor: Actor, effect: SendVerdict, now: float) -> None:
    future = actor.pending_replies.pop(effect.caller, None)
    if future is None or future.done():
        return
    wait_seconds = math.ceil(effect.retry_at - now) if effect.retry_at else 0
    future.set_result(
        Reply(verdict=effect.verdict, detail=effect.detail, retry_seconds=max(0, wait_seconds))
    )


def _send_cancel_reply(actor: Actor, effect: SendCancelReply, now: float) -> None:
    future = actor.pending_cancels.pop(effect.canceller, None)
    if future is not None and not future.done():
        wait_seconds = math.ceil(effect.retry_at - now) if effect.retry_at else 0
        future.set_result(CancelReply(outcome=effect.outcome, retry_seconds=max(0, wait_seconds)))


EFFECTS: dict[type, Callable[[Actor, Effect, float], None]] = {
    SendVerdict: _send_verdict,
    SendCancelReply: _send_cancel_reply,
    SendFrame: _send_frame,
    CloseSession: _close_session,
    OpenLink: _open_link,
    RemoveLink: _remove_link,
    FetchRoutes: _queue_routes_fetch,
    OpenPeerLink: _open_peer_link,
    RemovePeerLink: _remove_peer_link,
    ClosePeerSession: _close_peer_session,
    SendClaims: _send_claims,
    SendClaimReplies: _send_claim_replies,
}
