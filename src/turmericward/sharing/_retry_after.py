"""When a caller that was refused by its workspace's share may come again."""

from turmericward.sharing import _decay

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0
# Callers that were refused together return spread over these multiples of the time.
SPREAD = (0.5, 1.5)


def retry_after_s(demand: float, level: float, fraction: float) -> float:
    """Returns the time until the share has room for what was refused recently.

    Args:
        demand: work per second that the workspace asks for.
        level: the most that it may get.
        fraction: number from 0 to 1 that differs from call to call.
    """
    excess = max(0.0, demand - level) * _decay.WORK_DECAY_S
    room_s = excess / level if level > 0 else MAX_RETRY_AFTER_S
    room_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, room_s))
    shortest, longest = SPREAD
    return room_s * (shortest + fraction * (longest - shortest))
