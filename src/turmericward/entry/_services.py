"""Callers' interface to plain services."""

import functools
import hashlib
import json

from absl import logging

from turmericward import runtime
from turmericward.adapters import errors, service, steward
from turmericward.entry import _errors, _http, _router_task
from turmericward.wire import ttypes

PREFIX = "/services/"
MAX_IDEMPOTENT_ATTEMPTS = 3
MAX_RECORDED_BYTES = 16 * 1024
MAX_KEY_CHARS = 255
CLAIM_SLACK_S = 2.0
RETRY_S = 1.0
SETTLE_ATTEMPTS = 3
_DROPPED = frozenset({"host", "authorization", "connection", "expect", "x-request-id"})


class Services:
    """Handlers of `/services/<name>/<path>`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers for an entry's context."""
        self._ctx = ctx

    def call(self, req: _http.Request) -> _http.Response:
        """Answers a call of any method."""
        caller = self._ctx.caller(req)
        name, _, rest = req.path.removeprefix(PREFIX).partition("/")
        found = self._ctx.view().services.get(name)
        if found is None:
            msg = f"service {name!r} does not exist"
            raise _errors.RequestFaultError(404, "service_not_found", msg)
        path = f"/{rest}"
        self._ctx.enter_tenant(caller.tenant)
        try:
            if found.is_idempotent(req.method, path):
                return self._repeatable(found, req, path)
            key = req.headers.get("idempotency-key")
            if key is None:
                return self._once(found, req, path)
            return self._keyed(found, req, path, f"{caller.tenant}/{name}", key)
        finally:
            self._ctx.leave_tenant(caller.tenant)

    def _targets(self, found) -> list:
        return self._ctx.ask_router(_router_task.RankTargets(targets=found.targets))

    def _send(self, found, target, req: _http.Request, path: str) -> service.Answer:
        query = f"?{req.raw_query}" if req.raw_query else ""
        headers = [(n, v) for n, v in req.headers.items() if n not in _DROPPED]
        headers = list(service.end_to_end(headers))
        headers += [("X-Request-Id", req.id)]
        out = service.Request(
            method=req.method,
            path=path + query,
            headers=tuple(headers),
            body=req.body,
        )
        failed = True
        try:
            answer = service.call(target.address, out, req.id, found.timeout_s)
            failed = False
            return answer
        except errors.AdapterError as exc:
            logging.warning("request %s at %s: %s", req.id, target.name, exc)
            raise
        finally:
            ended = _router_task.TargetEnded(target=target.name, failed=failed)
            self._ctx.router.post(ended)

    def _repeatable(self, found, req, path: str) -> _http.Response:
        sent = False
        for target in self._targets(found)[:MAX_IDEMPOTENT_ATTEMPTS]:
            try:
                return _response(self._send(found, target, req, path))
            except errors.NotSentError:
                continue
            except errors.AdapterError:
                sent = True
        raise _no_answer(sent)

    def _once(self, found, req, path: str) -> _http.Response:
        """Sends the call to one target, unless no byte could reach it."""
        for target in self._targets(found):
            try:
                return _response(self._send(found, target, req, path))
            except errors.NotSentError:
                continue
            except errors.AdapterError as exc:
                raise _no_answer(sent=True) from exc
        raise _no_answer(sent=False)

    def _keyed(self, found, req, path: str, scope: str, key: str) -> _http.Response:
        if not 0 < len(key) <= MAX_KEY_CHARS:
            msg = f"Idempotency-Key has no 1 to {MAX_KEY_CHARS} characters"
            raise _errors.RequestFaultError(400, "invalid_key", msg)
        claim = ttypes.ClaimRequest(
            scope=scope,
            key=key,
            fingerprint=_fingerprint(req, path),
            attempt=runtime.new_id(),
        )
        answer = self._claim(claim)
        if answer.state != ttypes.ClaimState.GRANTED:
            return _not_granted(answer)
        return self._run_claimed(found, req, path, claim)

    def _claim(self, claim: ttypes.ClaimRequest) -> ttypes.ClaimAnswer:
        timeout_s = self._ctx.cfg.steward.claim_timeout_s + CLAIM_SLACK_S
        try:
            return steward.call_first(
                self._ctx.follow.stewards(), timeout_s, "claim", claim
            )
        except errors.StewardSilentError as exc:
            logging.warning("claim: %s", exc)
            # The claim may come to stand, but will never be run.
            self._settle(claim, ran=False, answer=None)
        except errors.StewardUnavailableError as exc:
            logging.warning("claim: %s", exc)
        return ttypes.ClaimAnswer(state=ttypes.ClaimState.UNAVAILABLE)

    def _run_claimed(self, found, req, path: str, claim) -> _http.Response:
        try:
            resp = self._once(found, req, path)
        except _errors.RequestFaultError as exc:
            ran = exc.outcome is not _errors.RanState.NOT_RUN
            self._settle(claim, ran=ran, answer=None)
            raise
        self._settle(claim, ran=True, answer=_recorded(resp))
        return resp

    def _settle(self, claim, *, ran: bool, answer) -> None:
        settle = ttypes.SettleRequest(
            scope=claim.scope,
            key=claim.key,
            attempt=claim.attempt,
            ran=ran,
            answer=answer,
        )
        for address in self._ctx.follow.stewards()[:SETTLE_ATTEMPTS]:
            try:
                with steward.connected(address, CLAIM_SLACK_S) as client:
                    client.settle(settle)
                return
            except errors.StewardUnavailableError as exc:
                logging.warning("settle: %s", exc)


def _fingerprint(req: _http.Request, path: str) -> str:
    parts = [req.method, path, req.raw_query, hashlib.sha256(req.body).hexdigest()]
    return runtime.sha256_hex(json.dumps(parts))


def _recorded(resp: _http.Response) -> ttypes.RecordedAnswer:
    truncated = len(resp.body) > MAX_RECORDED_BYTES
    return ttypes.RecordedAnswer(
        status=resp.status,
        content_type=resp.content_type,
        body=b"" if truncated else resp.body,
        truncated=truncated,
    )


def _response(answer: service.Answer) -> _http.Response:
    headers = [(n, v) for n, v in answer.headers if n.lower() != "content-type"]
    types = [v for n, v in answer.headers if n.lower() == "content-type"]
    return _http.Response(
        status=answer.status,
        content_type=types[0] if types else "application/octet-stream",
        headers=headers,
        body=answer.body,
    )


def _no_answer(sent: bool) -> _errors.RequestFaultError:
    if sent:
        return _errors.RequestFaultError(
            502,
            "answer_lost",
            "the service was called and gave no whole answer",
            outcome=_errors.RanState.UNKNOWN,
        )
    return _errors.RequestFaultError(
        503,
        "service_unavailable",
        "no target of the service could be reached",
        retry_after_s=RETRY_S,
    )


def _not_granted(answer: ttypes.ClaimAnswer) -> _http.Response:
    if answer.state == ttypes.ClaimState.DONE and answer.answer is not None:
        return _replayed(answer.answer)
    raise _CLAIM_FAULTS[answer.state]()


def _replayed(answer: ttypes.RecordedAnswer) -> _http.Response:
    headers = [("Idempotency-Replayed", "true")]
    if answer.truncated:
        headers.append(("Idempotency-Body-Omitted", "true"))
    return _http.Response(
        status=answer.status,
        content_type=answer.content_type,
        headers=headers,
        body=answer.body,
    )


_UNAVAILABLE = functools.partial(
    _errors.RequestFaultError,
    503,
    "claim_unavailable",
    "the key can't be claimed now; this attempt was not run",
    # An earlier attempt elsewhere may have run.
    outcome=_errors.RanState.UNKNOWN,
    retry_after_s=RETRY_S,
)
_CLAIM_FAULTS = {
    ttypes.ClaimState.MISMATCH: functools.partial(
        _errors.RequestFaultError,
        422,
        "key_reused",
        "Idempotency-Key was used for another request",
    ),
    ttypes.ClaimState.IN_PROGRESS: functools.partial(
        _errors.RequestFaultError,
        409,
        "call_in_progress",
        "an earlier attempt under this key has no known end",
        outcome=_errors.RanState.UNKNOWN,
        retry_after_s=RETRY_S,
    ),
    ttypes.ClaimState.DONE: functools.partial(
        _errors.RequestFaultError,
        502,
        "answer_lost",
        "an earlier attempt under this key was sent and its answer was lost",
        outcome=_errors.RanState.UNKNOWN,
    ),
    ttypes.ClaimState.UNKNOWN: _UNAVAILABLE,
    ttypes.ClaimState.UNAVAILABLE: _UNAVAILABLE,
}
