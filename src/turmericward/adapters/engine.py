"""Client of a model engine: completions and streams."""

import functools
import http.client
from collections.abc import Callable, Iterator

import attrs

from turmericward import runtime, schema
from turmericward.adapters import _guard, _pending, _request, errors, event_buffer

READ_BYTES = 65536
MAX_EVENT_NUMBER = 2**53
# Engines answer so only requests that they haven't started (docs/api.md).
NOT_STARTED_STATUSES = frozenset({429, 503})
Watch = _pending.Watch


@attrs.frozen(kw_only=True)
class Event:
    """One event of a stream; `seq` starts at 1, or is 0 if absent; `data` is JSON."""

    seq: int
    data: bytes


@attrs.frozen(kw_only=True)
class Response:
    """A complete response that is not a stream."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class Job:
    """A completion request to an engine.

    The engine returns `request_id` in its response and serves lower values of
    `priority` first. `cancelled` returns whether the client disconnected.
    """

    path: str
    body: bytes
    request_id: str
    priority: int = 0
    cancelled: Callable[[], bool] = lambda: False


def _build_request(job: Job, resume_after: int) -> _request.Request:
    headers = [
        ("Content-Type", "application/json"),
        (_request.REQUEST_ID, job.request_id),
        ("X-Priority", str(job.priority)),
    ]
    if resume_after:
        headers.append(("Last-Event-ID", str(resume_after)))
    return _request.Request(
        method="POST", path=job.path, headers=tuple(headers), body=job.body
    )


class Stream:
    """An open event stream; closing it cancels the request on the engine.

    `wait_until` sets until when further events are waited for.
    """

    def __init__(self, conn, resp, address: str, guard: _guard.Guard) -> None:
        """Takes ownership of a connection whose response head has been read."""
        self._conn = conn
        self._resp = resp
        self._address = address
        self._buffer = event_buffer.EventBuffer()
        self.wait_until = guard.wait_until

    def events(self) -> Iterator[list[Event]]:
        """Yields batches of events in order, as they are received.

        Raises:
            AnswerLostError: the stream ended before its `[DONE]`.
        """
        while True:
            events, done = self._split(self._read())
            if events:
                yield events
            if done:
                return

    def _read(self) -> bytes:
        try:
            chunk = self._resp.read1(READ_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise _request.answer_lost(self._address, exc) from exc
        if not chunk:
            raise errors.ConnectionLostError(
                f"{self._address}: stream ended before [DONE]"
            )
        return chunk

    def _split(self, chunk: bytes) -> tuple[list[Event], bool]:
        events = []
        for block in self._buffer.feed(chunk):
            event = self._parse(block)
            if event.data == b"[DONE]":
                return events, True
            if event.data:
                events.append(event)
        return events, False

    def _parse(self, block: bytes) -> Event:
        seq = 0
        data = b""
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.strip()
            if name == b"data":
                data = value
            elif name == b"id":
                seq = _event_number(value)
        return Event(seq=seq, data=data)

    def close(self) -> None:
        """Closes the connection, so that the engine cancels the request."""
        self._resp.close()
        self._conn.close()


def _event_number(text: bytes) -> int:
    """Returns the number of an event, 0 if its id is none."""
    try:
        return schema.parse_int(text.decode("latin-1"), 0, MAX_EVENT_NUMBER)
    except schema.SchemaError:
        return 0


class EngineClient:
    """Sends requests to one engine, each on its own connection."""

    def __init__(self, address: str) -> None:
        """Creates the client for the engine at `ip:port`."""
        self._address = address

    def stream(
        self,
        job: Job,
        *,
        first_byte_timeout_s: float,
        deadline: float,
        resume_after: int = 0,
        watch: Watch = _pending.NO_WATCH,
    ) -> Stream | Response:
        """Starts a stream, or resumes it after event `resume_after`.

        Args:
            job: the request.
            first_byte_timeout_s: timeout for the response head.
            deadline: the end of the response, on the clock of `runtime.now`.
            resume_after: number of the last event received, 0 for none.
            watch: what happens meanwhile.

        Returns:
            The stream, or the engine's response if its status is not 200.

        Raises:
            NotSentError: the connection could not be established.
            AnswerLostError: no complete response head was received.
            ForeignAnswerError: the response belongs to another request.
            CancelledError: the client disconnected.
        """
        guard = _new_guard(job, first_byte_timeout_s, watch)
        # The sending of a second attempt doesn't hold up the first.
        write_until = deadline if watch.rival is None else min(deadline, guard.until)
        conn = self._connect(write_until, guard)
        try:
            resp = self._send(conn, job, resume_after, guard, write_until)
            guard.wait_until(deadline)
            if resp.status != 200:
                return self._read_response(conn, resp, deadline)
            return Stream(conn, resp, self._address, guard)
        except BaseException:
            conn.close()
            raise

    def complete(
        self,
        job: Job,
        timeout_s: float,
        *,
        deadline: float | None = None,
        watch: Watch = _pending.NO_WATCH,
    ) -> Response:
        """Sends a request and reads the complete response.

        Args:
            job: the request.
            timeout_s: timeout for the response head.
            deadline: the end of the response, that of its head if not given.
            watch: what happens meanwhile.

        Raises:
            AdapterError: as for `stream`.
        """
        if deadline is None:
            deadline = runtime.now() + timeout_s
        guard = _new_guard(job, timeout_s, watch)
        write_until = deadline if watch.rival is None else min(deadline, guard.until)
        conn = self._connect(write_until, guard)
        with _request.closing(conn):
            resp = self._send(conn, job, 0, guard, write_until)
            # An answer is read whole here, while another attempt may be open.
            if watch.rival is None or watch.rival.closed:
                guard.wait_until(deadline)
            return self._read_response(conn, resp, deadline)

    def _connect(self, write_until: float, guard: _guard.Guard):
        timeout_s = write_until - runtime.now()
        return _request.connect(self._address, timeout_s, guard=guard)

    def _send(
        self,
        conn,
        job: Job,
        resume_after: int,
        guard: _guard.Guard,
        write_until: float,
    ):
        check = functools.partial(guard.check_writing, write_until)
        _request.send(conn, self._address, _build_request(job, resume_after), check)
        resp = _request.read_response_head(conn, self._address)
        _request.check_request_id(resp, job.request_id)
        return resp

    def _read_response(self, conn, resp, deadline: float) -> Response:
        body = _request.read_answer(conn, resp, self._address, deadline)
        return Response(
            status=resp.status,
            content_type=resp.getheader("Content-Type", "application/json"),
            body=body,
        )


def _new_guard(job: Job, timeout_s: float, watch: Watch) -> _guard.Guard:
    until = runtime.now() + timeout_s
    return _guard.Guard(until, job.cancelled, watch.on_late, watch.rival)


def has_ended(address: str) -> bool:
    """Returns whether the engine's process at `ip:port` has ended."""
    return _request.refuses_connections(address, _request.CONNECT_TIMEOUT_S)
