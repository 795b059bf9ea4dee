"""Client of a model engine: load, state and role orders."""

import json
import time

import attrs

from turmericward import runtime, schema
from turmericward.adapters import _json_http, _request, errors
from turmericward.authority import Authority, EngineState, Spec

_COUNT = schema.validators.between(0, schema.validators.MAX_INT32)


@attrs.frozen(kw_only=True)
class LoadReport:
    """Latest load reported by an engine."""

    role: str = attrs.field(validator=schema.validators.label)
    running: int = attrs.field(validator=_COUNT)
    queued: int = attrs.field(validator=_COUNT)


@attrs.frozen(kw_only=True)
class _StateReport:
    """An engine's state; `order_id` and `order_token` are of its last order."""

    role: str
    loads: list[str]
    changing: bool
    running: int = attrs.field(validator=_COUNT)
    queued: int = attrs.field(validator=_COUNT)
    order_id: str
    order_token: int


class EngineControl:
    """Load, state and role orders of one engine; not thread-safe."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client for the engine at `ip:port`."""
        self._address = address
        self._timeout_s = timeout_s
        self._client = _json_http.JsonClient(address, timeout_s)

    def close(self) -> None:
        """Closes the connection used by `load` and `state`."""
        self._client.close()

    def load(self) -> LoadReport:
        """Returns the engine's latest load report.

        Raises:
            AnswerLostError: no usable response was received.
        """
        return self._get("/load", LoadReport)

    def state(self) -> EngineState:
        """Returns the current state of the engine, rather than its last report.

        Raises:
            AnswerLostError: no usable response was received.
        """
        report = self._get("/state", _StateReport)
        return EngineState(
            spec=Spec(role=report.role, loads=tuple(report.loads)),
            changing=report.changing,
            running=report.running + report.queued,
            order_id=report.order_id,
            order_token=report.order_token,
        )

    def _get(self, path: str, cls: type):
        try:
            response = self._client.request("GET", path)
        except _json_http.ERRORS as exc:
            raise errors.AnswerLostError(f"{self._address}: {exc!r}") from exc
        if response.status != 200:
            raise errors.AnswerLostError(f"{self._address}: {response.status}")
        try:
            return schema.structure(response.body, cls, path, extra=True)
        except schema.SchemaError as exc:
            raise errors.AnswerLostError(f"{self._address}: {exc}") from exc

    def order(
        self, order_id: str, spec: Spec, authority: Authority, clock=time.monotonic
    ) -> bool:
        """Orders the engine to change to `spec` while the authority is valid.

        See `_request.send_within_term` for how the term is enforced.

        Returns:
            True if the engine accepted the order, False if it refused.

        Raises:
            AuthorityLapsedError: the order was not sent completely.
            NotSentError: the connection could not be established.
            AnswerLostError: the order may or may not have been accepted.
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
            resp = _request.read_response_head(conn, self._address)
            deadline = runtime.now() + self._timeout_s
            _request.read_whole(conn, resp, self._address, deadline)
            return resp.status == 200
