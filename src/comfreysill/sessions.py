"""Sessions between entries and an agent, at the agent's gRPC service: streams of frames."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from comfreysill.mailbox import Mailbox
from comfreysill.wire.errors import UNREADABLE_ERRORS

logger = logging.getLogger(__name__)


async def serve_session(
    stream: Stream,
    outbox: Mailbox[Any | None],
    encode: Callable[[Any], Any],
    receive: Callable[[Any], None],
) -> None:
    """Serves a session until either side closes it.

    Args:
        stream: The stream of protobuf messages.
        outbox: Frames to send; None closes the session.
        encode: Encodes a frame to its protobuf message.
        receive: Decodes and processes a message; an error of it closes the session.

    Raises:
        grpclib.exceptions.GRPCError: `outbox` had None.
    """
    reader = asyncio.create_task(_read(stream, outbox, receive))
    try:
        await _write(stream, outbox, encode)
    except (StreamTerminatedError, ConnectionError):
        return
    finally:
        reader.cancel()


async def _read(
    stream: Stream, outbox: Mailbox[Any | None], receive: Callable[[Any], None]
) -> None:
    try:
        async for message in stream:
            receive(message)
    except (StreamTerminatedError, ConnectionError):
        return
    except UNREADABLE_ERRORS as error:
        fields = {"why": f"{type(error).__name__} {error}"}
        logger.warning("unreadable frame; link closed", extra={"fields": fields})
    except Exception:
        logger.exception("reading frames failed unexpectedly; link closed")
    finally:
        outbox.post(None)


async def _write(stream: Stream, outbox: Mailbox[Any | None], encode: Callable[[Any], Any]) -> None:
    while True:
        for frame in await outbox.get_batch():
            if frame is None:
                raise GRPCError(Status.ABORTED, "the link is closed")
            await stream.send_message(encode(frame))
