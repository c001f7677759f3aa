"""Questions of operators to the state task of an entry: where the tasks of a request would go."""

import asyncio
from typing import Any

from comfreysill.gateway.messages import Locate
from comfreysill.mailbox import Mailbox
from comfreysill.placement.locating import locate_request, locate_specification
from comfreysill.placement.whereabouts import Whereabouts
from comfreysill.request.types import Specification


def locate(inbox: Mailbox, target: Specification | str) -> asyncio.Future[Whereabouts]:
    """Queues a question about a request, or the id of an open one; returns the answer's future."""
    future: asyncio.Future[Whereabouts] = asyncio.get_running_loop().create_future()
    inbox.post(Locate(target=target, future=future))
    return future


def receive_locate(actor: Any, message: Locate, now: float) -> None:
    """Answers a question, unless the operator has left."""
    if message.future.done():
        return
    if isinstance(message.target, str):
        answer = locate_request(actor.state, message.target, now)
    else:
        answer = locate_specification(actor.state, message.target, now)
    message.future.set_result(answer)


def contain_locate(actor: Any, message: Locate, now: float) -> None:
    """Lets a question fail whose handling has failed; the state is as it was."""
    message.future.cancel()
