"""Callers' interface to models, compatible with OpenAI's."""

import time
from collections.abc import Iterator

from turmericward import requests, telemetry
from turmericward.entry import _errors, _http, _relay

SSE = "text/event-stream"


class Stopwatch:
    """Times of one stream, recorded once at its end."""

    def __init__(self) -> None:
        """Starts the watch."""
        self._start = time.monotonic()
        self._last: float | None = None
        self._gaps_ms: list[int] = []
        self.first_s: float | None = None
        self.lost = False

    def token(self, count: int) -> bool:
        """Notes events that came together; tells whether they were the first."""
        now = time.monotonic()
        first = self._last is None
        if first:
            self.first_s = now - self._start
        else:
            self._gaps_ms.append(int((now - self._last) * 1000))
            self._gaps_ms.extend([0] * (count - 1))
        self._last = now
        return first

    def times(self, demand: requests.Demand) -> telemetry.RequestTimes:
        """Returns the times up to now."""
        return telemetry.RequestTimes(
            traffic_class=demand.traffic_class,
            tenant=demand.tenant,
            first_token_ms=None if self.first_s is None else self.first_s * 1000,
            between_tokens_ms=self._gaps_ms,
            total_ms=(time.monotonic() - self._start) * 1000,
        )


class Models:
    """Handlers of `/v1`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers for an entry's context."""
        self._ctx = ctx

    def list_models(self, req: _http.Request) -> _http.Response:
        """Answers `GET /v1/models`."""
        self._ctx.caller(req)
        names = self._ctx.view().models()
        rows = [
            {"id": n, "object": "model", "created": 0, "owned_by": "turmericward"}
            for n in names
        ]
        return _http.json_response(200, {"object": "list", "data": rows})

    def complete(self, req: _http.Request) -> _http.Response:
        """Answers `POST /v1/chat/completions` and `POST /v1/completions`."""
        caller = self._ctx.caller(req)
        body = req.json()
        try:
            demand = requests.demand_of(body, caller.tenant, caller.traffic_class)
        except requests.InvalidRequestError as exc:
            raise _errors.RequestFaultError(400, "invalid_request", str(exc)) from exc
        self._check_fields(req.path, body)
        demand = self._resolve(demand)
        self._ctx.enter_tenant(caller.tenant)
        relay = _relay.Relay(self._ctx, demand, req)
        try:
            if body.get("stream", False):
                return self._stream(relay, demand)
            return self._whole(relay, demand)
        except BaseException:
            self._end(relay, demand)
            raise

    def _check_fields(self, path: str, body: dict) -> None:
        field = "messages" if path.endswith("/chat/completions") else "prompt"
        if field not in body:
            raise _errors.RequestFaultError(
                400, "invalid_request", f"{field} is missing"
            )

    def _resolve(self, demand: requests.Demand) -> requests.Demand:
        view = self._ctx.view()
        base = view.adapters.get(demand.model, demand.model)
        if base not in view.engines_by_model:
            msg = f"model {demand.model!r} does not exist"
            raise _errors.RequestFaultError(404, "model_not_found", msg)
        return requests.with_model(demand, base)

    def _whole(self, relay: _relay.Relay, demand) -> _http.Response:
        watch = Stopwatch()
        answer = relay.complete()
        self._ctx.metrics.record(watch.times(demand))
        self._end(relay, demand)
        return _http.Response(
            status=answer.status, content_type=answer.content_type, body=answer.body
        )

    def _stream(self, relay: _relay.Relay, demand) -> _http.Response:
        watch = Stopwatch()
        answer = relay.open()
        if answer is not None:
            self._end(relay, demand)
            return _http.Response(
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
        headers = [("Cache-Control", "no-cache")]
        body = _EventBody(relay, watch, lambda: self._end_stream(relay, watch, demand))
        return _http.Response(status=200, content_type=SSE, headers=headers, body=body)

    def _end_stream(self, relay, watch: Stopwatch, demand) -> None:
        if watch.lost:
            self._ctx.metrics.count("streams_lost")
        self._ctx.metrics.record(watch.times(demand))
        self._end(relay, demand)

    def _end(self, relay: _relay.Relay, demand: requests.Demand) -> None:
        relay.close()
        self._ctx.leave_tenant(demand.tenant)


class _EventBody:
    """The body of a stream; its end is noted also if it was never begun."""

    def __init__(self, relay: _relay.Relay, watch: Stopwatch, on_end) -> None:
        self._relay = relay
        self._watch = watch
        self._on_end = on_end

    def __iter__(self) -> Iterator[bytes]:
        try:
            for batch in self._relay.events():
                if self._watch.token(len(batch)):
                    self._relay.first_token(self._watch.first_s)
                yield b"".join(_sse(event.data) for event in batch)
            yield _relay.DONE_EVENT
        except _errors.RequestFaultError as exc:
            # The caller learns from the missing [DONE] that this isn't the end.
            self._watch.lost = True
            yield _sse(_http.openai_error(exc).body.rstrip())

    def close(self) -> None:
        self._on_end()


def _sse(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"
