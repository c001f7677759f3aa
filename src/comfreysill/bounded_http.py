"""HTTP protocol of a server that keeps each connection of a client within its limits.

The parser has no limits of its own: it is given what one read has brought, so that each connection
gets its turn, and `comfreysill.connections` decides on what it reports. A request is started once
its head is complete, as uvicorn does it; an application that waits for the rest of a body that is
refused is ended, so that nothing of the request is run.
"""

import asyncio
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from comfreysill.arrivals import measure_arrival
from comfreysill.clock import read_boot_clock
from comfreysill.connection_guard import ConnectionGuard
from comfreysill.connections.limits import ConnectionLimits
from comfreysill.connections.reading import (
    Phase,
    begin_read,
    count_data,
    count_discarded,
    count_line,
    count_url,
    end_read,
    enter_phase,
    is_large,
    measure_held,
)
from comfreysill.connections.reasons import STATUSES, Reason
from comfreysill.connections.table import (
    Connection,
    add_connection,
    find_dearest,
    find_overdue,
    find_surplus,
    note_begin,
    record_reason,
    remove_connection,
    set_held_bytes,
)
from comfreysill.paced_reading import PacedFlowControl, await_turn
from comfreysill.polls import PollTimes
from comfreysill.tcp_states import has_ended
from comfreysill.whole_requests import build_refusal

# Name of the ASGI extension in which a request carries an `Arrival`.
ARRIVAL_EXTENSION = "comfreysill.arrival"
# Methods whose bodies are read, and whose requests are acted on once these are complete.
BODY_METHODS = frozenset({"POST", "PUT"})
# Reasons for which no answer is sent, not even the rest of an earlier one.
ENDING_REASONS = frozenset({Reason.DISCARDED, Reason.UNREAD_SECONDS})
# The same if earlier answers aren't read: other clients need the memory or the descriptor.
SHEDDING_REASONS = frozenset({Reason.CONNECTIONS, Reason.HELD_BYTES})


class _LimitExceeded(Exception):
    """Stops the parser."""


class BoundedHttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """HTTP protocol of uvicorn with limits, which adds an `Arrival` to the scope of each request.

    Attributes:
        guard: What the servers of the process share.
        limits: Limits of the connection.
        poll_times: Polls of the event loop, None if requests carry no `Arrival`.
        connected_at: Boot-clock time in seconds at which the connection was accepted, None from its
            first request on.
        connection: The connection in the table of the process.
        started: The request that is being answered, None before the first one.
        violation: The limit that the message being parsed has exceeded, None if it hasn't.
        refusal: Why the connection is closed once earlier requests are answered, None if it isn't.
        unread_until: Time of the event loop in seconds until which the client has to read, 0 if
            no answer is held up.
    """

    def __init__(
        self,
        *,
        guard: ConnectionGuard,
        limits: ConnectionLimits,
        poll_times: PollTimes | None,
        **arguments: Any,
    ) -> None:
        super().__init__(**arguments)
        self.guard = guard
        self.limits = limits
        self.poll_times = poll_times
        self.connected_at: float | None = None
        self.connection: Connection | None = None
        self.started: RequestResponseCycle | None = None
        self.violation: Reason | None = None
        self.refusal: Reason | None = None
        self.unread_until = 0.0

    # The connection.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins a connection; if there are too many, another one is closed, or this one."""
        super().connection_made(transport)
        self.flow = PacedFlowControl(transport=transport)
        transport.set_write_buffer_limits(high=self.limits.unread_bytes)
        if self.poll_times is not None:
            self.connected_at = read_boot_clock()
        table = self.guard.table
        self.connection = add_connection(table, self.refuse)
        while (surplus := find_surplus(table)) is not None:
            surplus.close(Reason.CONNECTIONS)
            remove_connection(table, surplus)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a connection; the request that is being answered learns of it."""
        remove_connection(self.guard.table, self.connection)
        self._abandon(self.started)
        super().connection_lost(exc)
        self._forget_requests()

    def _forget_requests(self) -> None:
        """Frees the bodies at once; the garbage collector would find the references much later."""
        self.pipeline.clear()
        self.connection.ahead_bytes.clear()
        if self.cycle is not None:
            self.cycle.body = bytearray()
        self.cycle = self.started = None

    def check_time(self, now: float, late_seconds: float) -> None:
        """Closes a connection that has been in its phase, or left answers unread, for too long.

        Args:
            now: Time of the event loop in seconds.
            late_seconds: Time for which the process may have read nothing before `now`.
        """
        connection = self.connection
        connection.deadline += late_seconds
        reason = find_overdue(connection, self.limits, now)
        if not self.flow.write_paused and not self.transport.is_closing():
            self.unread_until = 0.0
        elif not self.unread_until:
            self.unread_until = now + self.limits.unread_seconds
        elif now >= self.unread_until:
            reason = Reason.UNREAD_SECONDS
        self._update_held_bytes()
        if reason is not None:
            self.refuse(reason)
        elif self.flow.read_paused and connection.unanswered and has_ended(self.transport):
            self.transport.abort()

    def end_unless_answering(self, now: float, unread_seconds: float) -> None:
        """Ends a connection of a stopping server, unless a whole request is being answered.

        Args:
            now: Time of the event loop in seconds.
            unread_seconds: Maximum time from the first call on for which answers may stay unread.
        """
        phase = self.connection.reading.phase
        if phase is Phase.BODY:
            is_idle = self.started is self.cycle
        else:
            is_idle = not self.connection.unanswered
        if phase is not Phase.BETWEEN and is_idle:
            self.transport.abort()
        elif self.flow.write_paused or self.transport.is_closing():
            self.unread_until = min(self.unread_until or now + unread_seconds, now + unread_seconds)
            if now >= self.unread_until:
                self.transport.abort()

    def pause_writing(self) -> None:
        """Sends no more answers until the client has read some."""
        self.connection.is_unread = True
        super().pause_writing()

    def resume_writing(self) -> None:
        """Sends answers again."""
        self.connection.is_unread = False
        super().resume_writing()

    # Bytes and events of the parser.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self.guard.buffer

    def buffer_updated(self, size: int) -> None:
        """Parses what was read into the buffer."""
        reading = self.connection.reading
        if reading.phase == Phase.DISCARDING:
            if count_discarded(reading, self.limits, size) is not None:
                self.transport.abort()
            elif is_large(reading):
                await_turn(self.guard.reading_turns, self.flow)
            return
        if self.refusal is not None:
            return
        begin_read(reading)
        reason = self._feed(self.guard.buffer[:size])
        reason = reason or end_read(reading, self.limits, size)
        if reason is not None:
            self.refuse(reason)
        elif reading.phase is not Phase.BETWEEN and is_large(reading):
            await_turn(self.guard.reading_turns, self.flow)
        connection = self.connection
        # Most reads bring one whole request, of which the connection holds nothing any more.
        if connection.held_bytes or connection.unanswered != 1 or reading.phase != Phase.BETWEEN:
            self._update_held_bytes()

    def _feed(self, data: memoryview) -> Reason | None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken: the request is answered, and what follows isn't read.
            self.cycle.keep_alive = False
        except httptools.HttpParserError:
            return self.violation or Reason.MALFORMED
        return None

    def _update_held_bytes(self) -> None:
        table, connection = self.guard.table, self.connection
        if connection not in table.connections:
            return
        held_bytes = measure_held(connection.reading, connection.ahead_bytes)
        held_bytes += self.transport.get_write_buffer_size()
        if self.flow.read_paused:
            held_bytes += table.limits.receive_bytes
        set_held_bytes(table, connection, held_bytes)
        while (dearest := find_dearest(table)) is not None and dearest.held_bytes:
            set_held_bytes(table, dearest, 0)
            dearest.close(Reason.HELD_BYTES)

    def _check(self, reason: Reason | None) -> None:
        if reason is not None:
            self.violation = reason
            raise _LimitExceeded

    def on_message_begin(self) -> None:
        """Begins a request, at its first byte."""
        if self.connection.unanswered > self.limits.requests_ahead:
            self._check(Reason.REQUESTS_AHEAD)
        super().on_message_begin()
        enter_phase(self.connection.reading, Phase.HEAD)
        note_begin(self.guard.table, self.connection)
        if self.poll_times is not None:
            connection = self.transport.get_extra_info("socket")
            arrival = measure_arrival(self.poll_times, connection, self.connected_at)
            self.connected_at = None
            self.scope["extensions"] = {ARRIVAL_EXTENSION: arrival}

    def on_url(self, url: bytes) -> None:
        """Adds a part of the URL."""
        self._check(count_url(self.connection.reading, self.limits, len(url)))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are skipped."""
        reading = self.connection.reading
        reason = count_line(reading, self.limits, len(name) + len(value))
        if reason is not None:
            self._check(reason)
        if reading.phase is Phase.HEAD:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts or queues the request."""
        super().on_headers_complete()
        self.connection.unanswered += 1
        enter_phase(self.connection.reading, Phase.BODY)

    def on_body(self, body: bytes) -> None:
        """Adds data to the body, unless nobody reads it."""
        reading, cycle = self.connection.reading, self.cycle
        if cycle.response_complete or cycle.scope["method"] not in BODY_METHODS:
            self._check(count_discarded(reading, self.limits, len(body)))
            return
        self._check(count_data(reading, self.limits, len(body)))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request."""
        super().on_message_complete()
        reading = self.connection.reading
        if self.cycle is not self.started:
            self.connection.ahead_bytes.append(reading.data_bytes)
        enter_phase(reading, Phase.BETWEEN)

    # Requests and answers.

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self.started = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        """Starts the next request, or refuses it if it can't be parsed."""
        self.server_state.total_requests += 1
        self.connection.unanswered -= 1
        note_begin(self.guard.table, self.connection)
        # The time between requests counts from here.
        self.connection.seen_transitions = -1
        if self.connection.held_bytes or self.transport.get_write_buffer_size():
            self._update_held_bytes()
        if self.transport.is_closing():
            return
        if self.pipeline:
            cycle, app = self.pipeline.pop()
            if self.connection.ahead_bytes:
                self.connection.ahead_bytes.popleft()
            self._start_asgi_task(cycle, app)
        elif self.refusal is not None:
            is_own = self.started is self.cycle and self.connection.reading.phase == Phase.BODY
            self._send_refusal(self.refusal, self.started if is_own else None)
        if not self.pipeline:
            self.flow.resume_reading()

    def refuse(self, reason: Reason) -> None:
        """Refuses the message that is being received, and closes the connection.

        Requests that were received before it are answered first, unless the client doesn't read.
        """
        if self.transport.is_closing() or self.refusal is not None:
            if reason in ENDING_REASONS or reason in SHEDDING_REASONS:
                self.transport.abort()
            return
        record_reason(self.guard.table, reason)
        self.refusal = reason
        is_unread = self.transport.get_write_buffer_size() > 0
        if reason in ENDING_REASONS or (reason in SHEDDING_REASONS and is_unread):
            self.transport.abort()
            return
        own = self.cycle if self.connection.reading.phase == Phase.BODY else None
        if own is not None and not own.response_started:
            self._abandon(own)
            self.connection.unanswered -= 1
            if self.pipeline and self.pipeline[0][0] is own:
                self.pipeline.popleft()
        if reason in SHEDDING_REASONS:
            self._drop_requests_ahead()
        if self.connection.unanswered:
            self.flow.pause_reading()
        else:
            self._send_refusal(reason, own)

    def _drop_requests_ahead(self) -> None:
        """Drops the requests that wait for earlier ones, none of which was started."""
        self.connection.unanswered -= len(self.pipeline)
        self.pipeline.clear()
        self.connection.ahead_bytes.clear()

    def _send_refusal(self, reason: Reason, own: RequestResponseCycle | None = None) -> None:
        """Sends the answer to a message that wasn't received, and closes the connection.

        An application may act on a request of another method than POST and PUT before the end of
        its body, so that nothing can be promised.

        Args:
            reason: Why it is refused.
            own: The request of the message if its application was started.
        """
        status = STATUSES.get(reason, 0)
        answered = own is not None and own.response_complete
        promised = own is None or (own.scope["method"] in BODY_METHODS and not own.response_started)
        if not answered and not (status and promised):
            self._close_now()
            return
        if not answered:
            self.transport.write(build_refusal(status, reason))
        if reason == Reason.CONNECTIONS:
            self._close_now()
            return
        try:
            self.transport.write_eof()
        except OSError:
            self.transport.abort()
            return
        enter_phase(self.connection.reading, Phase.DISCARDING)
        self.flow.resume_reading()

    def _close_now(self) -> None:
        """Closes the connection, also if its client doesn't read."""
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def _abandon(self, cycle: RequestResponseCycle | None) -> None:
        """Ends a request whose client has left, or whose body is refused."""
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.waiting_for_100_continue = False
            cycle.message_event.set()
            self.flow.resume_writing()
