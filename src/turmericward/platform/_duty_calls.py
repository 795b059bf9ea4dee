"""Calls of duties to the platform's API."""

import json
from collections.abc import Callable

import attrs

from turmericward import authority, duties, runtime
from turmericward.adapters import _request, errors
from turmericward.platform import _headers

MAX_ANSWER_BYTES = 64 * 1024
_OUTCOMES = {
    409: duties.Outcome.UNAVAILABLE,
    429: duties.Outcome.THROTTLED,
}


@attrs.frozen
class _Encoded:
    """Path and body of a call."""

    path: str
    value: dict


_ENCODERS: dict[type, Callable[..., _Encoded]] = {}


def _encodes(cls: type):
    def register(encode):
        _ENCODERS[cls] = encode
        return encode

    return register


@_encodes(duties.UsageReport)
def _usage(call: duties.UsageReport) -> _Encoded:
    return _Encoded("/usage", {"window": call.window, "counts": dict(call.counts)})


@_encodes(duties.CapacityOrder)
def _capacity(call: duties.CapacityOrder) -> _Encoded:
    value = {
        "service": call.service,
        "domain": call.domain,
        "desired": call.count,
        "spot": call.spot,
    }
    return _Encoded("/scale", value)


def body(call: duties.DutyCall) -> bytes:
    """Returns the body of a call; equal calls have equal bytes."""
    value = _ENCODERS[type(call)](call).value
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


class PlatformDuties:
    """Sends duties' calls, each on its own connection; see `dispatching.DutiesLoop`."""

    def __init__(self, address: str, holder: str) -> None:
        """Creates the sender.

        Args:
            address: `ip:port` of the platform's API.
            holder: name of this front's instance.
        """
        self._address = address
        self._holder = holder

    def send(
        self, call: duties.DutyCall, held: authority.Authority, timeout_s: float
    ) -> duties.Outcome:
        """Sends a call within the term of the lease.

        Raises:
            NotSentError: there is no connection.
            AuthorityLapsedError: the call wasn't sent completely.
        """
        req = self._request(call, held.token)
        conn = _request.connect(self._address, timeout_s)
        with _request.closing(conn):
            try:
                return self._exchange(conn, req, held)
            except errors.AnswerLostError:
                return duties.Outcome.UNKNOWN

    def _request(self, call: duties.DutyCall, token: int) -> _request.Request:
        return _request.Request(
            method="POST",
            path=_ENCODERS[type(call)](call).path,
            headers=(
                ("Content-Type", "application/json"),
                (_headers.DUTY_HOLDER, self._holder),
                (_headers.FENCING_TOKEN, str(token)),
            ),
            body=body(call),
        )

    def _exchange(self, conn, req, held) -> duties.Outcome:
        _request.send_within_term(
            conn, self._address, req, held, duties.CALL_DURATION_S, runtime.now
        )
        resp = _request.read_response_head(conn, self._address)
        # The status tells the outcome; the connection isn't used again.
        if 200 <= resp.status < 300:
            return duties.Outcome.ACCEPTED
        if resp.status >= 500:
            return duties.Outcome.UNKNOWN
        return _OUTCOMES.get(resp.status, duties.Outcome.REJECTED)
