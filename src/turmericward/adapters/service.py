"""Client of a plain service; each call is sent at most once."""

import functools
from collections.abc import Callable

import attrs

from turmericward import runtime
from turmericward.adapters import _guard, _pending, _request

Request = _request.Request
CONNECT_TIMEOUT_S = _request.CONNECT_TIMEOUT_S
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


@attrs.frozen(kw_only=True)
class Response:
    """A complete response; `headers` excludes hop-by-hop headers."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def end_to_end_headers(headers) -> tuple[tuple[str, str], ...]:
    """Returns the headers without hop-by-hop headers."""
    return tuple((n, v) for n, v in headers if n.lower() not in _HOP_BY_HOP)


def call(
    address: str,
    req: Request,
    request_id: str,
    timeout_s: float,
    *,
    deadline: float | None = None,
    watch: _pending.Watch = _pending.NO_WATCH,
    cancelled: Callable[[], bool] | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Response:
    """Sends one call without retries and reads the complete response.

    Args:
        address: the service's address.
        req: the call.
        request_id: its id.
        timeout_s: timeout for the response.
        deadline: the end of the response, on the clock of `runtime.now`, if it is
            later than that.
        watch: what happens when the timeout is over.
        cancelled: returns whether the call has to end; polled, if given, once the
            connection is open.
        connect_timeout_s: bounds the connecting, besides `timeout_s`.

    Raises:
        NotSentError: the request cannot have reached the service.
        AnswerLostError: the call may have been executed.
        ForeignAnswerError: the response belongs to another request.
        RivalAnsweredError: another attempt has got bytes before this one.
        CancelledError: the call had to end; it may have been executed.

    .. versionadded:: 0.1.0
    """
    until = runtime.now() + timeout_s
    deadline = until if deadline is None else deadline
    guard = _guard.Guard(until, cancelled, watch.on_late, watch.rival)
    conn = _request.connect(
        address, timeout_s, connect_timeout_s=connect_timeout_s, guard=guard
    )
    with _request.closing(conn):
        check = functools.partial(guard.check_writing, until)
        _request.send(conn, address, req, check)
        resp = _request.read_response_head(conn, address)
        _request.check_request_id(resp, request_id, required=False)
        body = _request.read_answer(conn, resp, address, deadline)
        headers = end_to_end_headers(resp.getheaders())
        return Response(status=resp.status, headers=headers, body=body)
