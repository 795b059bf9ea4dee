"""WSGI application: converts WSGI calls to requests and routes them to handlers."""

import time
from collections.abc import Callable

import attrs
from absl import logging

from turmericward import runtime, telemetry
from turmericward.entry import _errors, _http, _models, _resources, _services

UNLOGGED_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


@attrs.frozen(kw_only=True)
class RequestLog:
    """Fields of the access log line written when a request ends."""

    request_id: str
    method: str
    path: str
    status: int
    ms: int
    tenant: str
    traffic_class: str
    engine: str


@attrs.frozen(kw_only=True)
class _Route:
    methods: tuple[str, ...]
    path: str
    prefix: bool
    handler: Callable[[_http.Request], _http.Response]
    error: Callable[[_errors.RequestError], _http.Response]

    def matches(self, path: str) -> bool:
        return path.startswith(self.path) if self.prefix else path == self.path


class App:
    """The WSGI callable of one entry process."""

    def __init__(self, ctx) -> None:
        """Creates the application and its routing table."""
        self._ctx = ctx
        self._routes: list[_Route] = []
        models = _models.Models(ctx)
        services = _services.Services(ctx)
        resources = _resources.Resources(ctx)
        post = ("POST",)
        get = ("GET", "HEAD")
        openai = _http.openai_error
        self._add_route(post, "/v1/chat/completions", models.complete, openai)
        self._add_route(post, "/v1/completions", models.complete, openai)
        self._add_route(get, "/v1/models", models.list_models, openai)
        self._add_route((), _services.PREFIX, services.call, _http.problem)
        self._add_route((), _resources.PREFIX, resources.handle, _http.problem)
        self._add_route(get, "/healthz", self._healthz, _http.problem)
        self._add_route(get, "/readyz", self._readyz, _http.problem)
        self._add_route(get, "/metrics", self._metrics, _http.problem)

    def _add_route(self, methods, path: str, handler, error) -> None:
        self._routes.append(
            _Route(
                methods=methods,
                path=path,
                prefix=path.endswith("/"),
                handler=handler,
                error=error,
            )
        )

    def __call__(self, environ, start_response):
        """Handles one WSGI request."""
        started = time.monotonic()
        self._ctx.thread_limiter.enter()
        req = _request(environ)
        try:
            resp = self._respond(req)
        except BaseException:
            self._ctx.thread_limiter.leave()
            raise
        headers = [("Content-Type", resp.content_type), ("X-Request-Id", req.id)]
        headers += resp.headers
        if isinstance(resp.body, bytes):
            headers.append(("Content-Length", str(len(resp.body))))
        start_response(resp.status_line(), headers)
        return _Body(resp, lambda: self._finish_request(req, resp, started))

    def _respond(self, req: _http.Request) -> _http.Response:
        error = _http.openai_error if req.path.startswith("/v1/") else _http.problem
        try:
            return self._find_route(req).handler(req)
        except _errors.RequestError as exc:
            self._ctx.metrics.count(f"refused.{exc.code}")
            return error(exc)
        except Exception:
            logging.exception("request %s failed", req.id)
            failure = _errors.RequestError(
                500,
                "internal",
                "entry failed to handle the request",
                outcome=_errors.ExecutionState.UNKNOWN,
            )
            return error(failure)

    def _find_route(self, req: _http.Request) -> _Route:
        for route in self._routes:
            if not route.matches(req.path):
                continue
            if route.methods and req.method not in route.methods:
                raise _errors.RequestError(
                    405,
                    "method_not_allowed",
                    f"{req.method} is not allowed here",
                )
            return route
        raise _errors.RequestError(404, "not_found", f"{req.path!r} does not exist")

    def _finish_request(
        self, req: _http.Request, resp: _http.Response, started: float
    ) -> None:
        self._ctx.thread_limiter.leave()
        self._ctx.metrics.count(f"requests.{resp.status}")
        if req.path in UNLOGGED_PATHS:
            return
        telemetry.log_request(
            RequestLog(
                request_id=req.id,
                method=req.method,
                path=req.path,
                status=resp.status,
                ms=int((time.monotonic() - started) * 1000),
                tenant=req.log_fields.tenant,
                traffic_class=req.log_fields.traffic_class,
                engine=req.log_fields.engine,
            )
        )

    def _healthz(self, req: _http.Request) -> _http.Response:
        return _http.Response(status=200, content_type="text/plain", body=b"ok\n")

    def _readyz(self, req: _http.Request) -> _http.Response:
        ready = self._ctx.router.view is not None and not self._ctx.draining.is_set()
        status = 200 if ready else 503
        body = b"ready\n" if ready else b"not ready\n"
        return _http.Response(status=status, content_type="text/plain", body=body)

    def _metrics(self, req: _http.Request) -> _http.Response:
        body = self._ctx.metrics.render_text().encode()
        return _http.Response(status=200, content_type="text/plain", body=body)


class _Body:
    """Iterates over a response body; the server calls `close` once at its end."""

    def __init__(self, resp: _http.Response, on_end: Callable[[], None]) -> None:
        self._parts = resp.body
        if isinstance(resp.body, bytes):
            self._parts = iter((resp.body,))
        self._on_end = on_end

    def __iter__(self):
        return iter(self._parts)

    def close(self) -> None:
        try:
            if hasattr(self._parts, "close"):
                self._parts.close()
        finally:
            self._on_end()


def _headers(environ) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _request(environ) -> _http.Request:
    raw_query = environ.get("QUERY_STRING", "")
    return _http.Request(
        # Ids supplied by clients are not used: they may not be unique.
        id=runtime.new_id(),
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=_http.parse_query(raw_query),
        raw_query=raw_query,
        headers=_headers(environ),
        body=environ["wsgi.input"].read(),
        disconnected=environ.get("waitress.client_disconnected", lambda: False),
    )
