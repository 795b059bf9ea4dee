"""Calls in flight at each target, and which targets take further ones."""

import collections
import math

from turmericward import fleet
from turmericward.requests import _engine_speeds, _in_flight, _loads, _outcomes

# Also bounds the time until a failure domain is used again after a network partition.
MAX_EJECTION_S = 4.0
# A target that refuses calls looks idle, so one refusal is enough to back off.
REFUSALS_TO_BACK_OFF = 1
FIRST_REFUSAL_BACKOFF_S = 0.2
MAX_REFUSAL_BACKOFF_S = 1.5
# A failed connection counts as this many failures in a row.
CONNECT_FAILURE_WEIGHT = 3
# A target that is silent gets no calls for so long, then one at a time until it has
# output; each further time lasts twice as long.
FIRST_SILENCE_S = 0.5
MAX_SILENCE_S = 4.0
# Endings that don't show whether the target works.
NO_VERDICT = frozenset(
    {
        _in_flight.Ending.DISCONNECTED,
        _in_flight.Ending.LATE,
        _in_flight.Ending.SILENT,
    }
)


class TargetCalls:
    """Calls of this front by target, those that peers report, and their outcomes."""

    def __init__(self) -> None:
        """Starts with no calls in flight."""
        self._local: dict[str, _in_flight.LocalCalls] = collections.defaultdict(
            _in_flight.LocalCalls
        )
        self.outcomes = _outcomes.Outcomes()
        self.speeds = _engine_speeds.EngineSpeeds()
        self.peers = _loads.PeerLoads(self.outcomes, self.speeds)
        self.health = fleet.Health(max_s=MAX_EJECTION_S)
        self._refusals = fleet.Health(
            REFUSALS_TO_BACK_OFF, FIRST_REFUSAL_BACKOFF_S, MAX_REFUSAL_BACKOFF_S
        )
        self._silence = fleet.Health(1, FIRST_SILENCE_S, MAX_SILENCE_S)
        # When each target last had output.
        self._heard_at: dict[str, float] = {}

    def forget(self, name: str) -> None:
        """Drops the state of a target that was removed or has restarted."""
        self.outcomes.forget(fleet.target_hash(name))
        self.speeds.forget(fleet.target_hash(name))
        if name in self._local and not self._local[name].open:
            del self._local[name]
        self.health.succeeded(name)
        self._refusals.succeeded(name)
        self._silence.succeeded(name)
        self._heard_at.pop(name, None)

    def local_loads(self) -> dict[int, _loads.TargetLoad]:
        """Returns the local load by target, without targets that were never used."""
        return {
            fleet.target_hash(name): calls.load()
            for name, calls in self._local.items()
            if calls.open or calls.ended_calls
        }

    def count_overdue(self, now: float) -> None:
        """Counts calls as failed whose first output is overdue."""
        for name, calls in self._local.items():
            for placement in calls.waiting.values():
                if placement.id in calls.overdue or not placement.is_overdue(now):
                    continue
                calls.overdue.add(placement.id)
                self._count_end(name, now, failed=True)

    def load(self, name: str) -> _loads.TargetLoad:
        """Returns the load of all fronts at a target."""
        calls = self._local.get(name)
        peers = self.peers.load_at(fleet.target_hash(name))
        return peers if calls is None else calls.load() + peers

    def failure_share(self, name: str, now: float) -> float:
        """Returns the share of all fronts' recent calls at a target that failed."""
        return self.outcomes.failure_share(fleet.target_hash(name), now)

    def accepting(self, targets, now: float) -> list[fleet.Target]:
        """Returns the targets that are neither ejected, in backoff nor silent."""
        return [
            t
            for t in targets
            if self.health.usable(t.name, now)
            and self._refusals.usable(t.name, now)
            and self._silence.usable(t.name, now)
        ]

    def silent(self, name: str, silent_s: float, now: float) -> None:
        """Records that a call waits at a target that has been silent for a time.

        Calls that wait there together are one silence. A target that has had other
        output meanwhile isn't silent: the call is queued or lost.
        """
        heard_s = now - self._heard_at.get(name, -math.inf)
        if heard_s >= silent_s:
            self._record_silence(name, now)

    def _record_silence(self, name: str, now: float) -> None:
        if self._silence.usable(name, now):
            self._silence.failed(name, now)

    def heard(self, name: str, now: float) -> None:
        """Records output of a target."""
        self._heard_at[name] = now
        self._silence.succeeded(name)

    def usable(self, targets, now: float) -> list[fleet.Target]:
        healthy = [t for t in targets if self.health.usable(t.name, now)]
        accepting = self.accepting(healthy, now)
        # If every target is ejected, failing ones are better than none.
        return accepting or healthy or list(targets)

    def begin(self, placement: _in_flight.Placement) -> None:
        """Records a placement."""
        name = placement.target.name
        calls = self._local[name]
        calls.open[placement.id] = placement
        calls.waiting[placement.id] = placement
        self.health.started(name)
        self._refusals.started(name)
        self._silence.started(name)

    def record_first_output(self, placement: _in_flight.Placement, now: float) -> bool:
        """Returns whether the placement was still waiting for its first output."""
        name = placement.target.name
        self.heard(name, now)
        calls = self._local[name]
        if calls.waiting.pop(placement.id, None) is None:
            return False
        if placement.id in calls.overdue:
            # The target was silent, and has not lost the call.
            calls.failed_calls -= 1
            self.outcomes.ended(fleet.target_hash(name), 0, -1, now)
        return True

    def record_prefill(
        self, target: fleet.Target, took_s: float, ordinary_s: float, now: float
    ) -> None:
        """Records how long a prefill took, and takes at an engine of ordinary speed."""
        self.speeds.set_role(target)
        calls = self._local[target.name]
        calls.prefill_s += took_s
        calls.ordinary_prefill_s += ordinary_s
        self.speeds.add(fleet.target_hash(target.name), took_s, ordinary_s, now)

    def ended(
        self, placement: _in_flight.Placement, ending: _in_flight.Ending, now: float
    ) -> None:
        """Ends a placement; repeated calls have no effect."""
        name = placement.target.name
        calls = self._local[name]
        calls.waiting.pop(placement.id, None)
        if calls.open.pop(placement.id, None) is None:
            return
        if placement.id in calls.overdue:
            calls.overdue.remove(placement.id)
        elif ending.target_failed or ending is _in_flight.Ending.SUCCEEDED:
            self._count_end(name, now, failed=ending.target_failed)
        self._silence.released(name)
        if ending is _in_flight.Ending.REFUSED:
            self._refusals.failed(name, now)
            return
        if ending is _in_flight.Ending.SILENT:
            self._record_silence(name, now)
        if ending in NO_VERDICT:
            self._refusals.released(name)
            self.health.released(name)
            return
        self._refusals.succeeded(name)
        if ending is _in_flight.Ending.SUCCEEDED:
            self.health.succeeded(name)
            self.heard(name, now)
        else:
            weight = CONNECT_FAILURE_WEIGHT if ending.target_ended else 1
            self.health.failed(name, now, weight=weight)

    def _count_end(self, name: str, now: float, *, failed: bool) -> None:
        calls = self._local[name]
        calls.ended_calls += 1
        calls.failed_calls += failed
        self.outcomes.ended(fleet.target_hash(name), 1, int(failed), now)
