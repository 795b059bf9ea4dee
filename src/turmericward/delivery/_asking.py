"""Asks the dispatcher for a placement, within a time.

Load pattern handled: a dispatcher that is busy with a large configuration or a list of
all targets, fails on a call, or has stopped, beside calls that wait for it.
"""

import functools
from collections.abc import Callable
from concurrent import futures

import result

from turmericward import dispatching, fleet, requests, runtime
from turmericward.delivery import _context

REASON = "dispatcher_late"
FAILED_REASON = "dispatcher_failed"
RETRY_AFTER_S = 0.5
END_POLL_S = 0.2


def place(
    dispatch: _context.Dispatcher,
    message: dispatching.Place,
    timeout_s: float,
    must_end: Callable[[], bool] = lambda: False,
) -> result.Result[requests.Placement, requests.Refusal]:
    """Returns the dispatcher's answer, a refusal if there is none in time.

    A placement that is granted later is ended again.

    Args:
        dispatch: the dispatcher.
        message: the call to place.
        timeout_s: how long the answer is waited for.
        must_end: returns whether the call has to end; polled.
    """
    fut = dispatch.ask(message)
    reason = REASON
    try:
        return _await(fut, runtime.now() + timeout_s, must_end)
    except TimeoutError:
        fut.add_done_callback(functools.partial(_give_back, dispatch, message))
    except runtime.TaskStoppedError:
        pass
    except Exception:
        # Logged by the dispatcher; what fails on one call must not end another.
        reason = FAILED_REASON
    return result.Err(requests.Refusal(reason=reason, retry_after_s=RETRY_AFTER_S))


def is_usable(
    dispatch: _context.Dispatcher, target: fleet.Target, timeout_s: float
) -> bool:
    """Returns whether a target may still get a call; so if there is no answer."""
    message = dispatching.IsUsable(target=target)
    return _answer_or(True, dispatch, message, timeout_s)


def is_replaced(
    dispatch: _context.Dispatcher, target: fleet.Target, timeout_s: float
) -> bool:
    """Returns whether a target is known to have ended; not if there is no answer."""
    message = dispatching.IsReplaced(target=target)
    return _answer_or(False, dispatch, message, timeout_s)


def _answer_or(
    default: bool, dispatch: _context.Dispatcher, message: object, timeout_s: float
) -> bool:
    try:
        return dispatch.ask(message).result(timeout_s)
    except (TimeoutError, runtime.TaskStoppedError):
        return default


def _await(fut: futures.Future, until: float, must_end: Callable[[], bool]):
    while True:
        remaining_s = until - runtime.now()
        try:
            return fut.result(max(0.0, min(END_POLL_S, remaining_s)))
        except TimeoutError:
            if fut.done():
                return fut.result()
            if remaining_s <= 0 or must_end():
                raise


def _give_back(
    dispatch: _context.Dispatcher, message: dispatching.Place, fut: futures.Future
) -> None:
    if fut.exception() is not None or fut.result().is_err():
        return
    dispatch.post(
        dispatching.PlacementEnded(
            placement=fut.result().unwrap(),
            prompt=message.call.prompt,
            ending=requests.Ending.DISCONNECTED,
        )
    )
