"""What clients that keep no limits send: a form of it each, by name."""

from collections.abc import Callable

import msgspec

from standins.platform_deployment import ROUTE_HOST, ROUTE_PREFIX

PIECE_BYTES = 65_536
HOST_LINE = f"Host: {ROUTE_HOST}\r\n"
JOB_PATH = f"{ROUTE_PREFIX}{'c' * 16}"
GET_START = f"GET {ROUTE_PREFIX} HTTP/1.1\r\n".encode()
GET_HEAD = GET_START + HOST_LINE.encode()
POST_HEAD = f"POST {JOB_PATH} HTTP/1.1\r\n{HOST_LINE}".encode()
CHUNKED_END_OF_HEAD = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKED_HEAD = POST_HEAD + CHUNKED_END_OF_HEAD
DELETE_HEAD = POST_HEAD.replace(b"POST", b"DELETE")
CHUNKED_END = b"2\r\n{}\r\n0\r\n"
LONG_LINE = b"X-Long: " + b"a" * 8_182 + b"\r\n"
SHORT_LINE = b"a:b\r\n"
CHUNK = b"ffff\r\n" + b"a" * 0xFFFF + b"\r\n"
# Just under the maximum size of a body.
LARGE_BODY_BYTES = 200_000
MEDIUM_BODY_BYTES = 60_000
# Run time in seconds that the stand-in of a runner reads, and the step that declares it.
RUN_TIME = "0.02"
SHORT_STEP = {"count": 1, "cpu": 1, "estimate-ms": 20}
# Largest values that a submission may have.
SPEC_CHARS, STEPS, TASKS_PER_STEP = 16_384, 200, 10
STEPS_OVER_THE_LIMIT = 15_000
MANY_TASKS = [{**SHORT_STEP, "count": TASKS_PER_STEP, "cpu": 1_000}] * STEPS


def _build_cancellings(number: int) -> bytes:
    return b"".join(
        f"DELETE {ROUTE_PREFIX}{8 * number + index:016x} HTTP/1.1\r\n{HOST_LINE}\r\n".encode()
        for index in range(8)
    )


# Frames of HTTP/2: length, type, flags, stream.
HTTP2_OPENING = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, CONTINUATION = 0x0, 0x1, 0x4, 0x6, 0x9
ACK, END_HEADERS = 0x1, 0x4
FRAME_BYTES = 16_384


class Form:
    """What a client sends.

    Attributes:
        opening: Sent once on each connection.
        build_piece: Builds what follows it again and again, from the number of the piece in the
            crowd, which begins with 1; an empty piece is the end.
    """

    __slots__ = ("opening", "build_piece")

    def __init__(
        self, *, opening: bytes = b"", build_piece: Callable[[int], bytes] | None = None
    ) -> None:
        self.opening = opening
        self.build_piece = build_piece or _build_nothing


def _build_nothing(number: int) -> bytes:
    return b""


def repeat(piece: bytes) -> Callable[[int], bytes]:
    """Returns a function that returns the same large piece each time."""
    repeated = piece * max(1, PIECE_BYTES // len(piece))
    return lambda number: repeated


def build_submissions(
    steps: list[dict[str, int]], spec: str = RUN_TIME, size: int = 0, count: int = 1
) -> Callable[[int], bytes]:
    """Returns a function that builds pieces of `count` whole submissions, each of its own job.

    Their bodies have at least `size` bytes.
    """
    document = {"spec": spec, "best-effort": True, "steps": steps}
    body = msgspec.json.encode(document).ljust(size)

    def build_one(number: int) -> bytes:
        head = f"POST {ROUTE_PREFIX}{number:016x} HTTP/1.1\r\n{HOST_LINE}"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    return lambda number: b"".join(build_one(count * number + index) for index in range(count))


def build_frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """Builds a frame of HTTP/2."""
    length = len(payload).to_bytes(3, "big")
    return length + bytes((kind, flags)) + stream.to_bytes(4, "big") + payload


def _build_field(name: bytes, value: bytes) -> bytes:
    """Builds a header field, not indexed and not compressed."""
    return bytes((0, len(name))) + name + bytes((len(value),)) + value


CALL_FIELDS = b"".join(
    _build_field(name, value)
    for name, value in (
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", b"/comfreysill.Roster/Announce"),
        (b":authority", b"a"),
        (b"te", b"trailers"),
        (b"content-type", b"application/grpc"),
    )
)
# The settings of the process are in force once they are acknowledged.
HTTP2_START = HTTP2_OPENING + build_frame(SETTINGS, 0, 0) + build_frame(SETTINGS, ACK, 0)
CALL = build_frame(HEADERS, END_HEADERS, 1, CALL_FIELDS)
# A message of 2 GB, not compressed, of which only a part is ever sent.
MESSAGE_START = build_frame(DATA, 0, 1, b"\0" + (1 << 31).to_bytes(4, "big"))
LONG_FIELDS = _build_field(b"x-long", b"a" * 120) * (FRAME_BYTES // 128)


def _build_calls(number: int) -> bytes:
    streams = range(200 * number + 1, 200 * number + 200, 2)
    return b"".join(build_frame(HEADERS, END_HEADERS, id, CALL_FIELDS) for id in streams)


# Forms for addresses that speak HTTP/1.1.
FORMS = {
    "header without end": Form(opening=GET_HEAD + b"X-Long: ", build_piece=repeat(b"a")),
    "URL without end": Form(opening=f"GET {ROUTE_PREFIX}".encode(), build_piece=repeat(b"a")),
    "head of long lines": Form(opening=GET_HEAD, build_piece=repeat(LONG_LINE)),
    "head of short lines": Form(opening=GET_HEAD, build_piece=repeat(SHORT_LINE)),
    "empty lines": Form(build_piece=repeat(b"\r\n")),
    "trailers of long lines": Form(
        opening=CHUNKED_HEAD + CHUNKED_END, build_piece=repeat(LONG_LINE)
    ),
    "trailers of short lines": Form(
        opening=CHUNKED_HEAD + CHUNKED_END, build_piece=repeat(SHORT_LINE)
    ),
    "chunk extension without end": Form(opening=CHUNKED_HEAD + b"2;", build_piece=repeat(b"a")),
    "requests ahead with Host": Form(build_piece=repeat(GET_HEAD + b"\r\n")),
    "requests ahead without Host": Form(build_piece=repeat(GET_START + b"\r\n")),
    "endless body": Form(opening=CHUNKED_HEAD, build_piece=repeat(CHUNK)),
    "nothing": Form(),
    "half a head": Form(opening=GET_HEAD),
    "DELETE with an endless body": Form(
        opening=DELETE_HEAD + CHUNKED_END_OF_HEAD, build_piece=repeat(CHUNK)
    ),
    "GET with an endless body": Form(
        opening=GET_HEAD + CHUNKED_END_OF_HEAD, build_piece=repeat(CHUNK)
    ),
    "cancellings of unknown jobs": Form(build_piece=_build_cancellings),
    "chunks of one byte": Form(opening=CHUNKED_HEAD, build_piece=repeat(b"1\r\n \r\n")),
    "large submissions": Form(build_piece=build_submissions([SHORT_STEP], size=LARGE_BODY_BYTES)),
    "medium submissions": Form(build_piece=build_submissions([SHORT_STEP], size=MEDIUM_BODY_BYTES)),
    "submissions of too many steps": Form(
        build_piece=build_submissions([{"count": 1}] * STEPS_OVER_THE_LIMIT)
    ),
    "submissions of many tasks": Form(build_piece=build_submissions(MANY_TASKS)),
    "submissions without estimates": Form(build_piece=build_submissions([{"count": 1, "cpu": 1}])),
    "submissions of long specs": Form(
        build_piece=build_submissions([SHORT_STEP], spec=RUN_TIME.ljust(SPEC_CHARS), count=4)
    ),
}
# Forms for the addresses of links, which speak HTTP/2.
LINK_FORMS = {
    "link: nothing": Form(),
    "link: pings": Form(opening=HTTP2_START, build_piece=repeat(build_frame(PING, 0, 0, b"p" * 8))),
    "link: settings": Form(
        opening=HTTP2_START, build_piece=repeat(build_frame(SETTINGS, 0, 0, b"\0\4\0\1\0\0"))
    ),
    "link: head without end": Form(
        opening=HTTP2_START + build_frame(HEADERS, 0, 1, CALL_FIELDS),
        build_piece=repeat(build_frame(CONTINUATION, 0, 1, LONG_FIELDS)),
    ),
    "link: calls without end": Form(opening=HTTP2_START, build_piece=_build_calls),
    "link: message without end": Form(
        opening=HTTP2_START + CALL + MESSAGE_START,
        build_piece=repeat(build_frame(DATA, 0, 1, b"a" * (FRAME_BYTES - 1))),
    ),
}
