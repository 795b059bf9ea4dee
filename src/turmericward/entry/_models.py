"""HTTP handlers for model requests, compatible with the OpenAI API."""

import functools
from collections.abc import Iterator

from turmericward import delivery, eventstream, requests, routing, runtime
from turmericward.entry import _errors, _http, _transport

SSE = "text/event-stream"
MAX_ATTEMPTS = 4
CLIENT_CLOSED_REQUEST = 499
# Intervals between tokens above this fraction of a class's idle bound count as late.
LATE_GAP_FRACTION = 0.25
# HTTP status and error code by the reason of a delivery failure.
_ERRORS_BY_REASON = {
    "overloaded": (429, "overloaded"),
    "no_engine": (503, "no_engine"),
    "retry_budget": (503, "retry_budget"),
    "dispatcher_late": (503, "dispatcher_late"),
    "dispatcher_failed": (503, "dispatcher_failed"),
    "targets_refused": (503, "engines_failed"),
    "quarantined": (503, "prompt_quarantined"),
    "suspected": (503, "prompt_quarantined"),
    "stopping": (503, "stopping"),
    "deadline": (504, "deadline"),
    "cancelled": (CLIENT_CLOSED_REQUEST, "cancelled"),
}


class Models:
    """Handlers of `/v1`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers on the given entry context."""
        self._ctx = ctx
        self._delivery = delivery.Context(
            dispatch=ctx.router,
            transport=_transport.EngineTransport(),
            metrics=ctx.metrics,
            drain=ctx.drain,
            open_calls=ctx.open_calls,
        )

    def list_models(self, req: _http.Request) -> _http.Response:
        """Handles `GET /v1/models`."""
        self._ctx.caller(req)
        names = self._ctx.view().models()
        rows = [
            {"id": n, "object": "model", "created": 0, "owned_by": "turmericward"}
            for n in names
        ]
        return _http.json_response(200, {"object": "list", "data": rows})

    def complete(self, req: _http.Request) -> _http.Response:
        """Handles `POST /v1/chat/completions` and `POST /v1/completions`."""
        caller = self._ctx.caller(req)
        body = req.json()
        try:
            demand = requests.demand_of(body, caller.tenant, caller.traffic_class)
        except requests.InvalidRequestError as exc:
            raise _errors.RequestError(400, "invalid_request", str(exc)) from exc
        self._check_fields(req.path, body)
        demand = self._resolve_model(demand)
        self._ctx.admit_request(caller.tenant)
        release = functools.partial(self._ctx.release_request, caller.tenant)
        try:
            call = self._build_call(req, demand, streamed=body.get("stream", False))
            reply = delivery.Delivery(self._delivery, call, demand.model).run()
            req.log_fields.engine = reply.target
            return self._response(reply, release)
        except BaseException:
            release()
            raise

    def _check_fields(self, path: str, body: dict) -> None:
        field = "messages" if path.endswith("/chat/completions") else "prompt"
        if field not in body:
            raise _errors.RequestError(400, "invalid_request", f"{field} is missing")

    def _resolve_model(self, demand: requests.Demand) -> requests.Demand:
        view = self._ctx.view()
        base = view.adapters.get(demand.model, demand.model)
        if base not in view.engines_by_model:
            msg = f"model {demand.model!r} does not exist"
            raise _errors.RequestError(404, "model_not_found", msg)
        return requests.with_model(demand, base)

    def _build_call(
        self, req: _http.Request, demand, *, streamed: bool
    ) -> routing.Call:
        bounds = self._ctx.cfg.entry.classes[demand.traffic_class]
        kind = routing.CallKind.STREAM if streamed else routing.CallKind.IDEMPOTENT
        route = routing.Route(
            name=demand.traffic_class,
            host="",
            path_prefix=req.path,
            kind=kind,
            timeout_s=bounds.deadline_s,
            objective_s=bounds.first_token_s,
            gap_s=LATE_GAP_FRACTION * bounds.idle_s,
            abandon_s=bounds.deadline_s,
            priority=demand.priority,
            max_attempts=MAX_ATTEMPTS,
            resumable=streamed,
            destinations=(routing.Destination(service=demand.model),),
        )
        now = runtime.now()
        return routing.Call(
            id=req.id,
            method=req.method,
            target=req.path,
            headers=(),
            body=req.body,
            route=route,
            received=now,
            deadline_s=bounds.deadline_s,
            deadline=now + bounds.deadline_s,
            prompt=demand,
            cancelled=req.disconnected,
            traffic_class=demand.traffic_class,
            tenant=demand.tenant,
            caller=demand.tenant,
        )

    def _response(self, reply: routing.Reply, release) -> _http.Response:
        if reply.failure is not None:
            raise _delivery_error(reply.failure)
        headers = dict(reply.headers)
        if isinstance(reply.body, bytes):
            release()
            return _http.Response(
                status=reply.status,
                content_type=headers.get("Content-Type", _http.JSON),
                body=reply.body,
            )
        body = _EventBody(reply.body, self._ctx.metrics, release)
        return _http.Response(
            status=200,
            content_type=SSE,
            headers=[("Cache-Control", "no-cache")],
            body=body,
        )


class _EventBody:
    """The body of a stream; `on_end` is called even if iteration never started."""

    def __init__(self, batches, metrics, on_end) -> None:
        self._batches = batches
        self._metrics = metrics
        self._on_end = on_end

    def __iter__(self) -> Iterator[bytes]:
        try:
            for batch in self._batches:
                yield b"".join(_sse(event.data) for event in batch)
            yield _sse(_transport.DONE)
        except delivery.StreamBrokenError as exc:
            # Without the final [DONE] the client can detect the truncated stream.
            self._metrics.count("streams_lost")
            error = _delivery_error(exc.failure)
            yield _sse(_http.openai_error(error).body.rstrip())

    def close(self) -> None:
        self._batches.close()
        self._on_end()


def _sse(data: bytes) -> bytes:
    return b"data: " + data + eventstream.EVENT_END


def _delivery_error(failure: routing.Failure) -> _errors.RequestError:
    status, code = _ERRORS_BY_REASON.get(
        failure.reason, (failure.status, "stream_lost")
    )
    ran = failure.may_have_run
    return _errors.RequestError(
        status,
        code,
        f"no engine gave a whole answer: {failure.reason}",
        outcome=_errors.ExecutionState.UNKNOWN
        if ran
        else _errors.ExecutionState.NOT_RUN,
        retry_after_s=failure.retry_after_s,
    )
