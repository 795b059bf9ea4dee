"""Responses to calls whose idempotency key was not granted."""

import functools

from turmericward.entry import _errors, _http
from turmericward.wire import ttypes

RETRY_AFTER_S = 1.0


def response(answer: ttypes.ClaimAnswer) -> _http.Response:
    """Returns the recorded answer of the key's call.

    Raises:
        RequestError: there is none.
    """
    if answer.state == ttypes.ClaimState.DONE and answer.answer is not None:
        return _replayed_response(answer.answer)
    raise _CLAIM_ERRORS[answer.state]()


def _replayed_response(answer: ttypes.RecordedAnswer) -> _http.Response:
    headers = [("Idempotency-Replayed", "true")]
    if answer.truncated:
        headers.append(("Idempotency-Body-Omitted", "true"))
    return _http.Response(
        status=answer.status,
        content_type=answer.content_type,
        headers=headers,
        body=answer.body,
    )


_CLAIM_UNAVAILABLE = functools.partial(
    _errors.RequestError,
    503,
    "claim_unavailable",
    "the key can't be claimed now; this attempt was not run",
    # An earlier attempt, sent through another entry, may have been executed.
    outcome=_errors.ExecutionState.UNKNOWN,
    retry_after_s=RETRY_AFTER_S,
)
_CLAIM_ERRORS = {
    ttypes.ClaimState.MISMATCH: functools.partial(
        _errors.RequestError,
        422,
        "key_reused",
        "Idempotency-Key was used for another request",
    ),
    ttypes.ClaimState.IN_PROGRESS: functools.partial(
        _errors.RequestError,
        409,
        "call_in_progress",
        "an earlier attempt under this key has no known end",
        outcome=_errors.ExecutionState.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    ),
    ttypes.ClaimState.DONE: functools.partial(
        _errors.RequestError,
        502,
        "answer_lost",
        "an earlier attempt under this key was sent and its answer was lost",
        outcome=_errors.ExecutionState.UNKNOWN,
    ),
    ttypes.ClaimState.UNKNOWN: _CLAIM_UNAVAILABLE,
    ttypes.ClaimState.UNAVAILABLE: _CLAIM_UNAVAILABLE,
}
