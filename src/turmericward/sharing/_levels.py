"""Max-min fair shares: what each workspace gets of a saturated service."""

from collections.abc import Iterable, Mapping

# Share of its refused work that a workspace pays for with its own share: refusing
# costs a front less than a hundredth of serving.
REFUSAL_COST_SHARE = 0.01
# A workspace keeps this part of its share however much is refused of it.
MIN_KEPT_SHARE = 0.5

# A workspace is limited only if it asks for more than so many times the mean of all
# others: if all ask for about the same, refusals by share would serve nobody better.
# It also leaves room for the noise in what a workspace asked for in 3 s.
HEAVY_FACTOR = 2.0


def is_heavy(demand: float, offered: float, count: int) -> bool:
    """Returns whether a workspace asks for clearly more than the others.

    Args:
        demand: work per second that it asks for.
        offered: the same of all workspaces together.
        count: number of workspaces.
    """
    if count < 2:
        return False
    return demand > HEAVY_FACTOR * (offered - demand) / (count - 1)


def fair_level(demands: Iterable[float], others: float, capacity: float) -> float:
    """Returns the largest share that no workspace may exceed.

    Workspaces that ask for less get all of it; what they leave is divided among the
    others (max-min fairness).

    Args:
        demands: work per second that the heaviest workspaces ask for.
        others: the same of all lighter ones together, which are within their shares.
        capacity: work per second of the service.
    """
    ordered = sorted(demands)
    if not ordered:
        return float("inf")
    # Lighter workspaces may exceed the capacity together; a share is never 0.
    remaining = max(capacity - others, capacity / (len(ordered) + 1))
    for i, demand in enumerate(ordered):
        level = remaining / (len(ordered) - i)
        if demand > level:
            return level
        remaining -= demand
    return float("inf")


def granted_share(
    by_priority: Mapping[int, float], priority: int, demand: float, level: float
) -> float:
    """Returns the share of a workspace's calls of one priority that is within `level`.

    More urgent calls of the workspace use its share first.

    Args:
        by_priority: work of the workspace at this front, by priority.
        priority: priority of the calls.
        demand: work per second that the workspace asks for at all fronts.
        level: the most that it may get.
    """
    local = sum(by_priority.values())
    if demand <= level or not local:
        return 1.0
    kept = level - REFUSAL_COST_SHARE * (demand - level)
    kept = max(MIN_KEPT_SHARE * level, kept)
    scale = demand / local
    urgent = scale * sum(w for p, w in by_priority.items() if p < priority)
    same = scale * by_priority.get(priority, 0.0)
    if same <= 0:
        return 1.0 if urgent < kept else 0.0
    return min(1.0, max(0.0, (kept - urgent) / same))
