"""HTTP handlers for calls to plain (non-model) services."""

import functools
import hashlib
import json

from absl import logging

from turmericward import runtime
from turmericward.adapters import errors, service, steward
from turmericward.entry import (
    _claim_answers,
    _errors,
    _http,
    _repeated_call,
    _router_task,
)
from turmericward.wire import ttypes

PREFIX = "/services/"
MAX_RECORDED_BYTES = 16 * 1024
MAX_KEY_CHARS = 255
# Network time of a steward call, on top of what the steward itself may wait.
STEWARD_RPC_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0
# Stewards that are asked for a claim before the call is refused.
CLAIM_STEWARDS = 4
CLAIM_ATTEMPTS = 2
SETTLE_ATTEMPTS = 3
_UNFORWARDED_HEADERS = frozenset(
    {"host", "authorization", "connection", "expect", "x-request-id"}
)


class Services:
    """Handlers of `/services/<name>/<path>`."""

    def __init__(self, ctx) -> None:
        """Creates the handlers on the given entry context."""
        self._ctx = ctx

    def call(self, req: _http.Request) -> _http.Response:
        """Handles a call with any HTTP method.

        Idempotent calls are repeated at other targets. Other calls are sent at most
        once, and with an Idempotency-Key only after a steward granted the claim.
        """
        caller = self._ctx.caller(req)
        name, _, rest = req.path.removeprefix(PREFIX).partition("/")
        svc = self._ctx.view().services.get(name)
        if svc is None:
            msg = f"service {name!r} does not exist"
            raise _errors.RequestError(404, "service_not_found", msg)
        path = f"/{rest}"
        self._ctx.admit_request(caller.tenant)
        try:
            if svc.is_idempotent(req.method, path):
                return self._call_idempotent(svc, req, path)
            key = req.headers.get("idempotency-key")
            if key is None:
                return self._call_once(svc, req, path)
            return self._call_with_key(svc, req, path, f"{caller.tenant}/{name}", key)
        finally:
            self._ctx.release_request(caller.tenant)

    @property
    def _claim_timeout_s(self) -> float:
        return self._ctx.cfg.steward.claim_timeout_s + STEWARD_RPC_TIMEOUT_S

    def _ranked_targets(self, svc) -> list:
        return self._ctx.ask_router(_router_task.RankTargets(targets=svc.targets))

    def _send(
        self, req: _http.Request, path: str, attempt: _repeated_call.Attempt
    ) -> service.Response:
        query = f"?{req.raw_query}" if req.raw_query else ""
        headers = [
            (n, v) for n, v in req.headers.items() if n not in _UNFORWARDED_HEADERS
        ]
        headers = list(service.end_to_end_headers(headers))
        headers += [("X-Request-Id", req.id)]
        outgoing = service.Request(
            method=req.method,
            path=path + query,
            headers=tuple(headers),
            body=req.body,
        )
        target = attempt.target
        try:
            resp = service.call(
                target.address,
                outgoing,
                req.id,
                attempt.timeout_s,
                deadline=attempt.deadline,
                watch=attempt.watch,
                cancelled=self._ctx.must_end,
                connect_timeout_s=min(
                    service.CONNECT_TIMEOUT_S, self._ctx.drain.until_deadline_s
                ),
            )
        except (errors.RivalAnsweredError, errors.CancelledError):
            # That its target was the slower one, or the entry stops, is no failure.
            raise
        except BaseException as exc:
            logging.warning("request %s to %s failed: %s", req.id, target.name, exc)
            self._record_end(target, failed=True)
            raise
        self._record_end(target, failed=False)
        return resp

    def _record_end(self, target, *, failed: bool) -> None:
        ended = _router_task.CallEnded(target=target.name, failed=failed)
        self._ctx.router.post(ended)

    def _call_idempotent(self, svc, req, path: str) -> _http.Response:
        """Repeats the call at other targets, beside those that are late."""
        self._ctx.check_stop(_repeated_call.MAX_ATTEMPTS * svc.timeout_s)
        call = _repeated_call.RepeatedCall(
            self._ranked_targets(svc),
            svc.timeout_s,
            functools.partial(self._send, req, path),
        )
        resp = call.run()
        if resp is None:
            raise _no_response_error(call.sent)
        return _to_http_response(resp)

    def _call_once(self, svc, req, path: str) -> _http.Response:
        """Sends the call at most once; tries another target only if it was not sent."""
        self._ctx.check_stop(svc.timeout_s)
        for target in self._ranked_targets(svc):
            self._ctx.check_stop()
            try:
                attempt = _repeated_call.only_attempt(target, svc.timeout_s)
                return _to_http_response(self._send(req, path, attempt))
            except errors.NotSentError:
                continue
            except errors.AdapterError as exc:
                raise _no_response_error(sent=True) from exc
        raise _no_response_error(sent=False)

    def _call_with_key(
        self, svc, req, path: str, scope: str, key: str
    ) -> _http.Response:
        if not 0 < len(key) <= MAX_KEY_CHARS:
            msg = f"Idempotency-Key has no 1 to {MAX_KEY_CHARS} characters"
            raise _errors.RequestError(400, "invalid_key", msg)
        self._ctx.check_stop(self._claim_timeout_s + svc.timeout_s)
        claim, answer = self._claim_key(
            ttypes.ClaimRequest(
                scope=scope, key=key, fingerprint=_fingerprint(req, path)
            )
        )
        if answer.state != ttypes.ClaimState.GRANTED:
            return _claim_answers.response(answer)
        return self._run_claimed(svc, req, path, claim)

    def _claim_key(
        self, claim: ttypes.ClaimRequest
    ) -> tuple[ttypes.ClaimRequest, ttypes.ClaimAnswer]:
        """Returns the claim with its attempt, and the answer to it.

        A steward that stops may close a connection before it answers. The claim is
        repeated then, for another attempt: the first one may be granted, but it has
        been settled and is never run.
        """
        deadline = runtime.now() + self._claim_timeout_s
        for _ in range(CLAIM_ATTEMPTS):
            claim.attempt = runtime.new_id()
            remaining_s = deadline - runtime.now()
            answer = self._claim(claim, remaining_s) if remaining_s > 0 else None
            if answer is not None:
                return claim, answer
        return claim, ttypes.ClaimAnswer(state=ttypes.ClaimState.UNAVAILABLE)

    def _claim(
        self, claim: ttypes.ClaimRequest, timeout_s: float
    ) -> ttypes.ClaimAnswer | None:
        """Returns the answer, or None if none was received; settles the claim then."""
        try:
            return steward.call_first_available(
                self._ctx.follow.stewards()[:CLAIM_STEWARDS],
                timeout_s,
                "claim",
                claim,
                lambda answer: answer.state == ttypes.ClaimState.UNAVAILABLE,
            )
        except errors.StewardNoResponseError as exc:
            logging.warning("claim failed: %s", exc)
            # The claim may have been granted, but this attempt will not be executed.
            self._settle(claim, ran=False, answer=None)
            return None
        except errors.StewardUnavailableError as exc:
            logging.warning("claim failed: %s", exc)
            return ttypes.ClaimAnswer(state=ttypes.ClaimState.UNAVAILABLE)

    def _run_claimed(self, svc, req, path: str, claim) -> _http.Response:
        try:
            resp = self._call_once(svc, req, path)
        except _errors.RequestError as exc:
            ran = exc.outcome is not _errors.ExecutionState.NOT_RUN
            self._settle(claim, ran=ran, answer=None)
            raise
        self._settle(claim, ran=True, answer=_recorded_answer(resp))
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
            # At the end of a stop the answer has to reach the client meanwhile.
            timeout_s = min(STEWARD_RPC_TIMEOUT_S, self._ctx.drain.until_end_s / 2)
            try:
                with steward.open_client(address, timeout_s) as client:
                    client.settle(settle)
                return
            except errors.StewardUnavailableError as exc:
                logging.warning("settling the claim failed: %s", exc)


def _fingerprint(req: _http.Request, path: str) -> str:
    parts = [req.method, path, req.raw_query, hashlib.sha256(req.body).hexdigest()]
    return runtime.sha256_hex(json.dumps(parts))


def _recorded_answer(resp: _http.Response) -> ttypes.RecordedAnswer:
    truncated = len(resp.body) > MAX_RECORDED_BYTES
    return ttypes.RecordedAnswer(
        status=resp.status,
        content_type=resp.content_type,
        body=b"" if truncated else resp.body,
        truncated=truncated,
    )


def _to_http_response(resp: service.Response) -> _http.Response:
    headers = [(n, v) for n, v in resp.headers if n.lower() != "content-type"]
    types = [v for n, v in resp.headers if n.lower() == "content-type"]
    return _http.Response(
        status=resp.status,
        content_type=types[0] if types else "application/octet-stream",
        headers=headers,
        body=resp.body,
    )


def _no_response_error(sent: bool) -> _errors.RequestError:
    if sent:
        return _errors.RequestError(
            502,
            "answer_lost",
            "the service was called and gave no whole answer",
            outcome=_errors.ExecutionState.UNKNOWN,
        )
    return _errors.RequestError(
        503,
        "service_unavailable",
        "no target of the service could be reached",
        retry_after_s=RETRY_AFTER_S,
    )
