"""How long a call that may be repeated waits for its target.

Load pattern handled: targets that stall or lose calls, beside queues in which a call
has to wait its turn.
"""

from turmericward.delivery import _calls

# Timeout of the first byte, as a multiple of the route's latency objective.
FIRST_BYTE_TIMEOUT_PER_OBJECTIVE = 2.0
# The same, as a multiple of the expected time to the first token.
FIRST_BYTE_TIMEOUT_PER_EXPECTED = 2.5
MIN_FIRST_BYTE_TIMEOUT_S = 0.3
# A stream without an event for this multiple of the route's event interval is
# resumed at another target.
EVENT_TIMEOUT_PER_GAP = 4.0
MIN_EVENT_TIMEOUT_S = 1.0


def first_byte_timeout_s(call: _calls.Call, expected_s: float) -> float:
    """Returns the timeout for the first byte of an answer that is expected then."""
    remaining_s = call.remaining_s()
    timeout_s = max(
        MIN_FIRST_BYTE_TIMEOUT_S,
        FIRST_BYTE_TIMEOUT_PER_OBJECTIVE * call.route.objective_s,
        remaining_s / 2,
        # Abandoning a queued call would lose its place in the queue.
        MIN_FIRST_BYTE_TIMEOUT_S + FIRST_BYTE_TIMEOUT_PER_EXPECTED * expected_s,
    )
    return min(remaining_s, timeout_s)


def event_timeout_s(route: _calls.Route) -> float:
    """Returns the timeout between two events of a stream."""
    return max(MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_PER_GAP * route.gap_s)
