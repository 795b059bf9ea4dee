"""How long a call may wait for its turn at a target with a rate limit.

Load pattern handled: more calls than the limited targets of a service take. Waits
beyond the soft deadline would make all of them late, without serving more.
"""

from turmericward import requests
from turmericward.dispatching import _messages

URGENT_PRIORITY = 0
# Part of the time that a client waits for an event in which a stream is resumed.
RESUME_WAIT_SHARE = 0.5


def is_urgent(message: _messages.Place) -> bool:
    """Returns whether a call goes before others.

    That is one of the highest priority, one that can't be repeated, or one whose
    prefill would be lost; none that still has a target.
    """
    route = message.call.route
    return message.silent is None and (
        message.call.priority <= URGENT_PRIORITY
        or not route.repeatable
        or message.prefilled
    )


def max_wait_s(message: _messages.Place, deadlines: requests.Deadlines) -> float:
    """Returns how long a call may wait.

    One that still has a target doesn't wait for another. A prompt that is prefilled may
    wait longer than others, and so may a stream to resume, whose client waits for the
    next event as long as it did for the first.
    """
    call = message.call
    if message.silent is not None:
        return 0.0
    if call.resume_after:
        return RESUME_WAIT_SHARE * call.route.abandon_s
    if message.prefilled:
        return deadlines.hard_deadline_s
    return deadlines.soft_deadline_s
