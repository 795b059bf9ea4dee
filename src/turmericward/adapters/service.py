"""Client of a plain service: one call, sent once."""

import attrs

from turmericward import runtime
from turmericward.adapters import _request

Request = _request.Request
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


@attrs.frozen(kw_only=True)
class Answer:
    """A service's whole answer; `headers` without those of one connection."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def end_to_end(headers) -> tuple[tuple[str, str], ...]:
    """Returns the headers that concern more than one connection."""
    return tuple((n, v) for n, v in headers if n.lower() not in _HOP_BY_HOP)


def call(address: str, req: Request, request_id: str, timeout_s: float) -> Answer:
    """Sends one call and reads the whole answer; never sends it again.

    Raises:
        NotSentError: no byte can have reached the service.
        AnswerLostError: the call may have run.
        ForeignAnswerError: the answer names another request.

    .. versionadded:: 0.1.0
    """
    until = runtime.now() + timeout_s
    conn = _request.connect(address, timeout_s)
    with _request.closing(conn):
        _request.send(conn, address, req)
        resp = _request.answer_head(conn, address)
        _request.check_id(resp, request_id, required=False)
        body = _request.read_whole(conn, resp, address, until)
        headers = end_to_end(resp.getheaders())
        return Answer(status=resp.status, headers=headers, body=body)
