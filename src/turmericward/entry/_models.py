"""Callers' interface to models, compatible with OpenAI's."""

import functools
from collections.abc import Iterator

from turmericward import delivery, requests, runtime
from turmericward.entry import _errors, _http, _transport

SSE = "text/event-stream"
MAX_ATTEMPTS = 4
CLIENT_CLOSED_REQUEST = 499
# Pauses of this share of a class's idle bound count as late.
GAP_SHARE = 0.25
# Status and code of a failure by the delivery engine's reason.
_FAULTS = {
    "overloaded": (429, "overloaded"),
    "no_engine": (503, "no_engine"),
    "retry_budget": (503, "retry_budget"),
    "targets_refused": (503, "engines_failed"),
    "deadline": (504, "deadline"),
    "cancelled": (CLIENT_CLOSED_REQUEST, "cancelled"),
}


class Models:
    """Handlers of `/v1`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers for an entry's context."""
        self._ctx = ctx
        classes = ctx.cfg.entry.classes
        self._delivery = delivery.Context(
            dispatch=ctx.router,
            transport=_transport.EngineTransport(classes),
            metrics=ctx.metrics,
        )

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
        leave = functools.partial(self._ctx.leave_tenant, caller.tenant)
        try:
            call = self._call(req, demand, streamed=body.get("stream", False))
            reply = delivery.Delivery(self._delivery, call, demand.model).run()
            req.trace.engine = reply.target
            return self._response(reply, leave)
        except BaseException:
            leave()
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

    def _call(self, req: _http.Request, demand, *, streamed: bool) -> delivery.Call:
        bounds = self._ctx.cfg.entry.classes[demand.traffic_class]
        kind = delivery.CallKind.STREAM if streamed else delivery.CallKind.IDEMPOTENT
        route = delivery.Route(
            name=demand.traffic_class,
            host="",
            path_prefix=req.path,
            kind=kind,
            timeout_s=bounds.deadline_s,
            objective_s=bounds.first_token_s,
            gap_s=GAP_SHARE * bounds.idle_s,
            abandon_s=bounds.deadline_s,
            priority=demand.priority,
            max_attempts=MAX_ATTEMPTS,
            resumable=streamed,
            destinations=(delivery.Destination(service=demand.model),),
        )
        now = runtime.now()
        return delivery.Call(
            id=req.id,
            method=req.method,
            target=req.path,
            headers=(),
            body=req.body,
            route=route,
            received=now,
            deadline_s=bounds.deadline_s,
            until=now + bounds.deadline_s,
            prompt=demand,
            disconnected=req.disconnected,
            traffic_class=demand.traffic_class,
            tenant=demand.tenant,
        )

    def _response(self, reply: delivery.Reply, leave) -> _http.Response:
        if reply.failure is not None:
            raise _fault(reply.failure)
        headers = dict(reply.headers)
        if isinstance(reply.body, bytes):
            leave()
            return _http.Response(
                status=reply.status,
                content_type=headers.get("Content-Type", _http.JSON),
                body=reply.body,
            )
        body = _EventBody(reply.body, self._ctx.metrics, leave)
        return _http.Response(
            status=200,
            content_type=SSE,
            headers=[("Cache-Control", "no-cache")],
            body=body,
        )


class _EventBody:
    """The body of a stream; its end is noted also if it was never begun."""

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
            # The caller learns from the missing [DONE] that this isn't the end.
            self._metrics.count("streams_lost")
            fault = _fault(exc.failure)
            yield _sse(_http.openai_error(fault).body.rstrip())

    def close(self) -> None:
        self._batches.close()
        self._on_end()


def _sse(data: bytes) -> bytes:
    return b"data: " + data + delivery.EVENT_END


def _fault(failure: delivery.Failure) -> _errors.RequestFaultError:
    status, code = _FAULTS.get(failure.reason, (failure.status, "stream_lost"))
    ran = failure.may_have_run
    return _errors.RequestFaultError(
        status,
        code,
        f"no engine gave a whole answer: {failure.reason}",
        outcome=_errors.RanState.UNKNOWN if ran else _errors.RanState.NOT_RUN,
        retry_after_s=failure.retry_after_s,
    )
