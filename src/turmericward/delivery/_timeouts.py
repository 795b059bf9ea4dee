"""How long a call waits for its target: to its deadline, or until it is repeated.

Load pattern handled: targets that stall or lose calls, beside queues in which a call
has to wait its turn.
"""

from turmericward import routing

# Timeout of the first byte, as a multiple of the route's latency objective.
FIRST_BYTE_TIMEOUT_PER_OBJECTIVE = 2.0
# The same, as a multiple of the expected time to the first token.
FIRST_BYTE_TIMEOUT_PER_EXPECTED = 2.5
MIN_FIRST_BYTE_TIMEOUT_S = 0.3
# A stream without an event for this multiple of the route's event interval is
# resumed at another target.
EVENT_TIMEOUT_PER_GAP = 4.0
MIN_EVENT_TIMEOUT_S = 1.0


def first_byte_timeout_s(
    call: routing.Call, expected_s: float, *, may_repeat: bool
) -> float:
    """Returns the timeout for the first byte of an answer.

    Args:
        call: the call.
        expected_s: seconds until the byte is expected.
        may_repeat: whether another attempt may follow.
    """
    remaining_s = call.remaining_s()
    if not may_repeat:
        return remaining_s
    timeout_s = max(
        MIN_FIRST_BYTE_TIMEOUT_S,
        FIRST_BYTE_TIMEOUT_PER_OBJECTIVE * call.route.objective_s,
        remaining_s / 2,
        # Abandoning a queued call would lose its place in the queue.
        MIN_FIRST_BYTE_TIMEOUT_S + FIRST_BYTE_TIMEOUT_PER_EXPECTED * expected_s,
    )
    return min(remaining_s, timeout_s)


def next_event_timeout_s(call: routing.Call, *, may_repeat: bool) -> float:
    """Returns how long a stream's next event is waited for."""
    if not may_repeat:
        return call.remaining_s()
    timeout_s = max(MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_PER_GAP * call.route.gap_s)
    return min(call.remaining_s(), timeout_s)
