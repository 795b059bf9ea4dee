"""Client of a model engine: completions, streams, load, state and orders."""

import http.client
import json
import time
from collections.abc import Callable, Iterator

import attrs

from turmericward import runtime
from turmericward.adapters import _json_http, _request, errors
from turmericward.authority import Authority, EngineState, Spec

READ_BYTES = 65536
NOT_STARTED = frozenset({429, 503})


@attrs.frozen(kw_only=True)
class Event:
    """One event of a stream; `seq` counts from 1, `data` is the JSON text."""

    seq: int
    data: bytes


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer that is no stream."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load as an engine last reported it."""

    role: str
    running: int
    queued: int


@attrs.frozen(kw_only=True)
class Job:
    """A caller's request as an engine gets it.

    The engine repeats `request_id` in its answer and takes lower numbers of
    `priority` first. `cancelled` tells whether the caller went away.
    """

    path: str
    body: bytes
    request_id: str
    priority: int = 0
    cancelled: Callable[[], bool] = lambda: False


def _post(job: Job, after: int) -> _request.Request:
    headers = [
        ("Content-Type", "application/json"),
        (_request.REQUEST_ID, job.request_id),
        ("X-Priority", str(job.priority)),
    ]
    if after:
        headers.append(("Last-Event-ID", str(after)))
    return _request.Request(
        method="POST", path=job.path, headers=tuple(headers), body=job.body
    )


class Stream:
    """An open stream of an engine. Closing it cancels the work there."""

    def __init__(self, conn, resp, address: str) -> None:
        """Takes over a connection whose answer's head has been read."""
        self._conn = conn
        self._resp = resp
        self._address = address
        self._rest = b""

    def events(self) -> Iterator[list[Event]]:
        """Yields events in the order received, as many as came together.

        Raises:
            AnswerLostError: the stream broke off before its `[DONE]`.
        """
        while True:
            events, done = self._split(self._read())
            if events:
                yield events
            if done:
                return

    def _read(self) -> bytes:
        try:
            part = self._resp.read1(READ_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise errors.AnswerLostError(f"{self._address}: {exc!r}") from exc
        if not part:
            raise errors.AnswerLostError(f"{self._address}: stream broke off")
        return part

    def _split(self, part: bytes) -> tuple[list[Event], bool]:
        *whole, self._rest = (self._rest + part).split(b"\n\n")
        events = []
        for block in whole:
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
            elif name == b"id" and value.isdigit():
                seq = int(value)
        return Event(seq=seq, data=data)

    def close(self) -> None:
        """Closes the connection, by which the engine cancels the request."""
        self._resp.close()
        self._conn.close()


class EngineClient:
    """Requests to one engine, each on a connection of its own."""

    def __init__(self, address: str) -> None:
        """Creates the client for `ip:port`."""
        self._address = address

    def stream(
        self, job: Job, *, first_s: float, idle_s: float, after: int = 0
    ) -> Stream | Answer:
        """Starts a stream, or takes it up after the event number `after`.

        Args:
            job: the request.
            first_s: longest wait for the answer's head.
            idle_s: longest wait between two events.
            after: last event that the caller has, 0 for none.

        Returns:
            The stream, or the engine's answer if it is no success.

        Raises:
            NotSentError: no connection came about.
            AnswerLostError: the head of the answer didn't come.
            ForeignAnswerError: the answer is another request's.
            CancelledError: the caller went away.
        """
        conn = _request.connect(self._address, first_s)
        try:
            resp = self._head(conn, job, after, runtime.now() + first_s)
            if resp.status != 200:
                return self._whole(conn, resp, runtime.now() + idle_s)
            if conn.sock is not None:
                conn.sock.settimeout(idle_s)
            return Stream(conn, resp, self._address)
        except BaseException:
            conn.close()
            raise

    def complete(self, job: Job, timeout_s: float) -> Answer:
        """Sends a request and reads the whole answer.

        Raises:
            AdapterError: as for `stream`.
        """
        until = runtime.now() + timeout_s
        conn = _request.connect(self._address, timeout_s)
        with _request.closing(conn):
            resp = self._head(conn, job, 0, until)
            return self._whole(conn, resp, until)

    def _head(self, conn, job: Job, after: int, until: float):
        _request.send(conn, self._address, _post(job, after))
        _request.await_answer(conn, self._address, until, job.cancelled)
        resp = _request.answer_head(conn, self._address)
        _request.check_id(resp, job.request_id)
        return resp

    def _whole(self, conn, resp, until: float) -> Answer:
        body = _request.read_whole(conn, resp, self._address, until)
        return Answer(
            status=resp.status,
            content_type=resp.getheader("Content-Type", "application/json"),
            body=body,
        )


class EngineControl:
    """Load, state and orders of one engine; for use by one thread at a time."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client for `ip:port`."""
        self._address = address
        self._timeout_s = timeout_s
        self._client = _json_http.JsonClient(address, timeout_s)

    def close(self) -> None:
        """Closes the connection that load and state are read by."""
        self._client.close()

    def load(self) -> LoadReport:
        """Returns the engine's latest load report.

        Raises:
            AnswerLostError: none came.
        """
        raw = self._get("/load")
        return LoadReport(
            role=raw["role"],
            running=raw["running"],
            queued=raw["queued"],
        )

    def state(self) -> EngineState:
        """Returns what the engine is doing now, not from a report.

        Raises:
            AnswerLostError: no answer came.
        """
        raw = self._get("/state")
        return EngineState(
            spec=Spec(role=raw["role"], loads=tuple(raw["loads"])),
            changing=raw["changing"],
            running=raw["running"] + raw["queued"],
            order_id=raw["order_id"],
            order_token=raw["order_token"],
        )

    def _get(self, path: str) -> dict:
        try:
            answer = self._client.request("GET", path)
        except _json_http.ERRORS as exc:
            raise errors.AnswerLostError(f"{self._address}: {exc!r}") from exc
        if answer.status != 200 or not isinstance(answer.body, dict):
            raise errors.AnswerLostError(f"{self._address}: {answer.status}")
        return answer.body

    def order(
        self, order_id: str, spec: Spec, authority: Authority, clock=time.monotonic
    ) -> bool:
        """Orders the engine into a state, unless the authority ends before.

        The last byte is held back until just after the check of the term, and
        the kernel drops what it can't deliver within the rest of the term.

        Returns:
            True when the engine took the order, False when it refused.

        Raises:
            AuthorityLapsedError: the order was not sent whole.
            NotSentError: no connection came about.
            AnswerLostError: the order may or may not have been taken.
        """
        body = json.dumps(
            {
                "order_id": order_id,
                "token": authority.token,
                "role": spec.role,
                "loads": list(spec.loads),
            }
        ).encode()
        req = _request.Request(
            method="POST",
            path="/orders",
            headers=(("Content-Type", "application/json"),),
            body=body,
        )
        conn = _request.connect(self._address, self._timeout_s)
        with _request.closing(conn):
            _request.send_within_term(
                conn, self._address, req, authority, self._timeout_s, clock
            )
            resp = _request.answer_head(conn, self._address)
            until = runtime.now() + self._timeout_s
            _request.read_whole(conn, resp, self._address, until)
            return resp.status == 200
