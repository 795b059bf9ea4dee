"""Sends calls to the platform's replicas."""

import functools
import http.client
import re
from collections.abc import Iterator

from turmericward import fleet, routing, runtime, schema
from turmericward.adapters import _guard, _request, errors, service
from turmericward.platform import _headers, _notices, _releases

CONNECT_TIMEOUT_S = 0.3
# How long a second attempt may write without progress; the first isn't read meanwhile.
SECOND_WRITE_TIMEOUT_S = 0.3
READ_CHUNK_BYTES = 65536
LOWEST_PRIORITY = 9
PREFILL_STAGE = "prefill"
MAX_PREFILL_BYTES = 1024 * 1024
# It becomes a part of a header and of a path.
_HANDLE = re.compile(r"[!-~]{1,512}", re.ASCII)
# Statuses by which a replica states, without a header, that the call didn't run.
REFUSAL_STATUSES = frozenset({421})


def _end_to_end_headers(headers) -> tuple[tuple[str, str], ...]:
    """Returns end-to-end headers without `Date`, which the server sets itself."""
    return tuple(
        (name, value)
        for name, value in service.end_to_end_headers(headers)
        if name.lower() != "date"
    )


class ReplicaTransport:
    """Implements `delivery.Transport` with one connection per call."""

    def __init__(self, notices: _notices.NoticeReader) -> None:
        """Creates the transport.

        Args:
            notices: reads the headers of replicas' responses.
        """
        self._notices = notices
        self._releases = _releases.Releases()

    def send(
        self,
        target: fleet.Target,
        call: routing.Call,
        dispatch: routing.Dispatch,
    ) -> routing.Answer:
        """Sends a call and reads the response's head; see `delivery.Transport`."""
        guard = _guard.Guard(
            runtime.now() + dispatch.timeout_s,
            call.cancelled,
            dispatch.on_late,
            dispatch.rival,
        )
        # A target may be silent in the middle of a long request.
        second = dispatch.rival is not None
        conn = _request.connect(
            target.address,
            min(dispatch.timeout_s, SECOND_WRITE_TIMEOUT_S)
            if second
            else call.remaining_s(),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            guard=guard,
        )
        try:
            sent_at = runtime.now()
            _request.send(
                conn,
                target.address,
                _outgoing(target, call, dispatch),
                functools.partial(guard.check_writing, call.deadline),
            )
            resp = _request.read_response_head(conn, target.address)
            self._read_notices(resp, target, call, sent_at)
            # Nothing that it says, such as a refusal, is about this call.
            _check_call_id(resp, target, call)
        except BaseException:
            conn.close()
            raise
        # The timeout of the attempt bounds the response's head; its body is bounded
        # by the client's deadline.
        guard.wait_until(call.deadline)
        answer = _answer(conn, resp, target)
        answer.wait_until = guard.wait_until
        return answer

    def _read_notices(
        self, resp, target: fleet.Target, call: routing.Call, sent_at: float
    ) -> None:
        answers_call = _answers_call(resp, call)
        served = answers_call and resp.status < http.HTTPStatus.MULTIPLE_CHOICES
        self._notices.read(
            resp,
            target,
            from_target=answers_call,
            served_after=sent_at if served else None,
        )

    def prefill(
        self,
        target: fleet.Target,
        call: routing.Call,
        dispatch: routing.Dispatch,
    ) -> str:
        """Requests a prefill; see `delivery.Transport`."""
        answer = self.send(target, call, dispatch)
        try:
            if answer.outcome is routing.Outcome.NOT_RUN:
                raise errors.NotExecutedError(
                    f"prefill has status {answer.status}", status=answer.status
                )
            if answer.status != http.HTTPStatus.OK:
                raise errors.TargetFailedError(
                    f"prefill has status {answer.status}", status=answer.status
                )
            return f"{target.address}/{_handle(answer.read())}"
        finally:
            answer.close()

    def has_ended(self, target: fleet.Target) -> bool:
        """Returns whether the replica has ended; see `delivery.Transport`."""
        return _request.refuses_connections(target.address, CONNECT_TIMEOUT_S)

    def release(self, source: str) -> None:
        """Releases the KV cache `source`; see `delivery.Transport`."""
        if self._releases.begin(source):
            address, _, _ = source.partition("/")
            self._notices.count_request(address)


def _handle(raw: bytes) -> str:
    """Returns the handle of a prefilled KV cache.

    Raises:
        AnswerLostError: the response names none that can be sent on.
    """
    try:
        value = schema.loads(raw, "prefill", max_bytes=MAX_PREFILL_BYTES)
    except schema.SchemaError as exc:
        raise errors.AnswerLostError(f"malformed prefill response: {exc}") from exc
    handle = value.get("handle") if isinstance(value, dict) else None
    if not isinstance(handle, str | int) or not _HANDLE.fullmatch(str(handle)):
        raise errors.AnswerLostError("prefill response names no handle")
    return str(handle)


def _outgoing(target, call, dispatch) -> _request.Request:
    remaining_ms = max(1, int(call.remaining_s() * 1000))
    headers = list(call.headers)
    headers.append((_headers.DEADLINE_MS, str(remaining_ms)))
    headers.append((_headers.EXPECTED_TARGET, target.name))
    if call.prompt is not None:
        priority = min(LOWEST_PRIORITY, max(0, dispatch.priority))
        headers.append((_headers.PRIORITY, str(priority)))
    optional = (
        (_headers.WORKSPACE, _workspace_text(call.workspace)),
        (_headers.LAST_EVENT_ID, dispatch.resume_after),
        (_headers.KV_SOURCE, dispatch.kv_source),
        (_headers.KV_FETCH, dispatch.fetch_from),
        (_headers.STAGE, PREFILL_STAGE if dispatch.prefill_only else ""),
    )
    headers += [(name, value) for name, value in optional if value]
    return _request.Request(
        method=call.method, path=call.target, headers=tuple(headers), body=call.body
    )


def _workspace_text(workspace: routing.Workspace | None) -> str:
    """Returns a workspace's name as header text, which is sent in Latin-1.

    The bytes on the wire are the name in UTF-8.
    """
    return workspace.name.encode().decode("latin-1") if workspace else ""


def _answer(conn, resp, target) -> routing.Answer:
    return routing.Answer(
        status=resp.status,
        headers=_end_to_end_headers(resp.getheaders()),
        chunks=_chunks(resp, target.address),
        close=functools.partial(_close, conn, resp),
        outcome=_outcome(resp),
        unframed=resp.unframed,
        ended_in_order=resp.ended_in_order,
        ended_promptly=resp.ended_promptly,
    )


def _answers_call(resp: http.client.HTTPResponse, call: routing.Call) -> bool:
    """Returns whether the response doesn't belong to another call."""
    return resp.getheader(_headers.CALL_ID, call.id) == call.id


def _check_call_id(resp, target: fleet.Target, call: routing.Call) -> None:
    if not _answers_call(resp, call):
        other_id = resp.getheader(_headers.CALL_ID)
        raise errors.ForeignAnswerError(
            f"{target.address}: response to {other_id!r} for {call.id!r}"
        )


def _outcome(resp: http.client.HTTPResponse) -> routing.Outcome:
    refused = (
        resp.status in REFUSAL_STATUSES or resp.getheader(_headers.NOT_RUN) is not None
    )
    return routing.outcome_of(resp.status, refused=refused, genuine=_genuine(resp))


def _genuine(resp: http.client.HTTPResponse) -> bool:
    """Returns whether the response comes unmodified from the replica."""
    if resp.getheader("Content-Encoding") is not None:
        return False
    return resp.status >= 300 or resp.getheader(_headers.SIGNATURE) is not None


def _chunks(resp: http.client.HTTPResponse, address: str) -> Iterator[bytes]:
    try:
        while True:
            chunk = resp.read1(READ_CHUNK_BYTES)
            if not chunk:
                break
            yield chunk
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise _request.answer_lost(address, exc) from exc
    if resp.length:
        raise errors.ConnectionLostError(f"{address}: {resp.length} bytes are missing")


def _close(conn, resp) -> None:
    resp.close()
    conn.close()
