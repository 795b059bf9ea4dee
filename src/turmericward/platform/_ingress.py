"""WSGI applications: client calls, readiness checks and operators' pages."""

import http
import json
import random
import re
from collections.abc import Callable
from concurrent import futures

import attrs
from absl import logging

from turmericward import (
    delivery,
    dispatching,
    httpd,
    requests,
    routing,
    runtime,
    schema,
    telemetry,
)
from turmericward.adapters import service
from turmericward.platform import _headers, _identity

NOT_READY_RETRY_S = 1.0
STATUS_TIMEOUT_S = 1.0
MAX_DEADLINE_MS = 1e11
# Longer deadlines count as the larger of these, the second a multiple of the route's
# timeout: the longest one of a route tells which of its later calls are repeated.
LONG_DEADLINE_S = 10.0
MAX_DEADLINE_PER_TIMEOUT = 2.0
# Client headers that aren't forwarded: set per target, or hop-by-hop.
_NOT_FORWARDED = _headers.SYSTEM_HEADERS | {
    _headers.LAST_EVENT_ID.lower(),
    "expect",
    "content-length",
}

# Others can't be sent on to a target.
_REQUEST_TARGET = re.compile(r"[!-~]+", re.ASCII)


class BadRequestError(ValueError):
    """Raised when a header of a client's call is malformed."""


class Ingress:
    """Accepts client calls and passes them to the delivery engine."""

    def __init__(
        self,
        ctx: delivery.Context,
        seed: int,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the application.

        Args:
            ctx: what deliveries need.
            seed: seeds the choice between destinations.
            is_current: as for `_identity.Identification`.
        """
        self._ctx = ctx
        self._random = random.Random(seed)
        self.identification = _identity.Identification(ctx, is_current)

    def __call__(self, environ, start_response):
        """Handles one WSGI request; failures become HTTP error responses."""
        try:
            reply = self._respond(environ)
        except routing.NoRouteError as exc:
            reply = _refusal(404, str(exc))
        except routing.UnknownKeyError as exc:
            reply = _reply(401, str(exc))
        except routing.StaleConfigurationError as exc:
            reply = _reply(503, str(exc), _identity.STALE_RETRY_S)
        except routing.NotConfiguredError as exc:
            reply = _refusal(503, str(exc), NOT_READY_RETRY_S)
        except BadRequestError as exc:
            reply = _refusal(400, str(exc))
        return _send(reply, start_response)

    def _respond(self, environ) -> routing.Reply:
        table = self._ctx.dispatch.table
        if table is None:
            raise routing.NotConfiguredError("no configuration is known yet")
        target = environ["REQUEST_URI"]
        if not _REQUEST_TARGET.fullmatch(target):
            raise BadRequestError("path has characters that aren't printable ASCII")
        route = _identity.find_route(table, environ, target)
        workspace = self.identification.identify(environ, table, route)
        call = _build_call(environ, target, route, workspace)
        return delivery.Delivery(self._ctx, call, self._pick_service(route)).run()

    def _pick_service(self, route: routing.Route) -> str:
        if len(route.destinations) == 1:
            return route.destinations[0].service
        weights = [d.weight for d in route.destinations]
        return self._random.choices(route.destinations, weights)[0].service


def _refusal(
    status: int, detail: str, retry_after_s: float | None = None
) -> routing.Reply:
    telemetry.log_event("refusal", status=status, detail=detail)
    return _reply(status, detail, retry_after_s)


def _reply(
    status: int, detail: str, retry_after_s: float | None = None
) -> routing.Reply:
    """Returns the reply to a call that didn't run."""
    failure = routing.Failure(
        status=status,
        reason=detail,
        may_have_run=False,
        retry_after_s=retry_after_s,
    )
    headers = (("Content-Type", "text/plain"),)
    body = f"{detail}\n".encode()
    return routing.Reply(status=status, headers=headers, body=body, failure=failure)


def _send(reply: routing.Reply, start_response):
    headers = _failure_headers(reply.failure) + [
        (name, value)
        for name, value in reply.headers
        if name.lower() != "content-length"
    ]
    buffered = isinstance(reply.body, bytes)
    if buffered:
        headers.append(("Content-Length", str(len(reply.body))))
    try:
        phrase = http.HTTPStatus(reply.status).phrase
    except ValueError:
        phrase = "Status"
    try:
        start_response(f"{reply.status} {phrase}", headers)
    except BaseException:
        if not buffered:
            reply.body.close()
        raise
    return [reply.body] if buffered else _StreamedBody(reply.body)


def _failure_headers(failure: routing.Failure | None) -> list[tuple[str, str]]:
    if failure is None or failure.retry_after_s is None:
        return []
    return [("Retry-After", f"{failure.retry_after_s:.2f}")]


class _StreamedBody:
    """Body of a stream; if the stream breaks, the server closes the connection."""

    def __init__(self, batches) -> None:
        self._batches = batches

    def __iter__(self):
        try:
            for batch in self._batches:
                yield b"".join(event.raw for event in batch)
        except delivery.StreamBrokenError as exc:
            # The server treats this as a lost connection and doesn't terminate the
            # body, so the client sees that it is incomplete.
            raise ConnectionAbortedError(str(exc)) from exc

    def close(self) -> None:
        self._batches.close()


def _header_pairs(environ) -> list[tuple[str, str]]:
    pairs = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        pairs.append(("Content-Type", environ["CONTENT_TYPE"]))
    return pairs


def _build_call(
    environ,
    target: str,
    route: routing.Route,
    workspace: routing.Workspace | None = None,
) -> routing.Call:
    pairs = _header_pairs(environ)
    values = {name.lower(): value for name, value in pairs}
    received = environ.get(httpd.RECEIVED_AT_KEY) or runtime.now()
    deadline_s = min(
        _deadline_s(values, route.timeout_s),
        max(LONG_DEADLINE_S, MAX_DEADLINE_PER_TIMEOUT * route.timeout_s),
    )
    forwarded = service.end_to_end_headers(pairs)
    return routing.Call(
        id=values.get(_headers.CALL_ID.lower(), ""),
        method=environ["REQUEST_METHOD"],
        target=target,
        headers=tuple((n, v) for n, v in forwarded if n.lower() not in _NOT_FORWARDED),
        body=environ["wsgi.input"].read(),
        route=route,
        received=received,
        deadline_s=deadline_s,
        deadline=received + min(deadline_s, route.timeout_s),
        prompt=_prompt(values),
        resume_after=values.get(_headers.LAST_EVENT_ID.lower(), ""),
        caller=workspace.name if workspace else values.get(_headers.CALLER.lower(), ""),
        workspace=workspace,
        cancelled=environ.get("waitress.client_disconnected", lambda: False),
    )


def _deadline_s(values: dict[str, str], default_s: float) -> float:
    raw = values.get(_headers.DEADLINE_MS.lower(), "")
    if not raw:
        return default_s
    try:
        return schema.parse_float(raw, -MAX_DEADLINE_MS, MAX_DEADLINE_MS) / 1000
    except schema.SchemaError as exc:
        logging.warning("invalid deadline, using the route's timeout: %s", exc)
        return default_s


def _prompt(values: dict[str, str]) -> requests.Prompt | None:
    """Decodes a prompt's prefix segments; None for calls that aren't for a model."""
    raw = values.get(_headers.PROMPT_PREFIX.lower())
    counts = values.get(_headers.TOKENS.lower())
    if raw is None or counts is None:
        return None
    try:
        segments = requests.bounded_segments(map(_segment, raw.split(",")))
        output_tokens = _output_tokens(counts.split(",")[1])
    except (ValueError, IndexError) as exc:
        raise BadRequestError(f"prompt {raw!r} of {counts!r} tokens: {exc}") from exc
    model = values.get(_headers.MODEL.lower(), "")
    return requests.Prompt(model=model, segments=segments, output_tokens=output_tokens)


def _segment(text: str) -> requests.PromptSegment:
    segment_id, _, tokens = text.strip().partition(":")
    return requests.PromptSegment(id=segment_id, tokens=_tokens(tokens))


def _tokens(text: str) -> int:
    return schema.parse_int(text, 0, requests.MAX_TOKENS)


def _output_tokens(text: str) -> int:
    """Decodes the maximum of output tokens, which may stand for no maximum."""
    count = schema.parse_int(text, -schema.MAX_INT, schema.MAX_INT)
    return max(0, min(requests.MAX_TOKENS, count))


class Readiness:
    """Readiness check: ready once a configuration is in force, until the drain.

    It isn't ready either while no connection is free for a new client.
    """

    def __init__(
        self,
        dispatch: dispatching.DispatchTask,
        draining,
        is_full: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the application.

        Args:
            dispatch: has the configuration.
            draining: a `threading.Event`.
            is_full: returns whether all connections are in use.
        """
        self._dispatch = dispatch
        self._draining = draining
        self._is_full = is_full

    def __call__(self, environ, start_response):
        """Responds with status 200 if the front is ready, else 503."""
        ready = self._dispatch.table is not None and not self._draining.is_set()
        ready = ready and not self._is_full()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class OperatorPages:
    """Serves metrics as text, and the front's status as JSON at `/status`."""

    def __init__(
        self, metrics: telemetry.Metrics, dispatch: dispatching.DispatchTask
    ) -> None:
        """Creates the application of one front."""
        self._metrics = metrics
        self._dispatch = dispatch

    def __call__(self, environ, start_response):
        """Responds with the page of the requested path."""
        status, content_type = "200 OK", "text/plain"
        if environ["PATH_INFO"] != "/status":
            body = self._metrics.render_text().encode()
        else:
            try:
                view = self._dispatch.ask(dispatching.GetStatus()).result(
                    STATUS_TIMEOUT_S
                )
                body, content_type = (
                    json.dumps(attrs.asdict(view)).encode(),
                    "application/json",
                )
            except futures.TimeoutError:
                status, body = "503 Service Unavailable", b"dispatcher doesn't answer\n"
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]
