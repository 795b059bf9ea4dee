"""Stand-in for the platform's API that takes the duty calls of fronts, with faults.

Tests set `fault`: `down` (503, not taken), `silent` (no response, not taken), `reset`
(the connection is closed before the call is read), `slow` (taken and answered late),
`throttled` (429) or `lost` (taken, but the connection is closed without an answer).
"""

import json
import threading
import time

import attrs

from standins import _http

SLOW_S = 1.0
HANG_S = 10.0
# Holders that act in the order A, B, A within this time break the rules.
GAP_S = 3.0


@attrs.frozen
class DutyCall:
    """A call that was taken, and when, in monotonic seconds."""

    path: str
    holder: str
    token: int
    body: bytes
    at: float

    @property
    def subject(self) -> tuple:
        """What the rules on holders and tokens are judged for."""
        if self.path == "/usage":
            return (self.path,)
        value = json.loads(self.body)
        return (self.path, value["service"], value["domain"])


class PlatformApi:
    """Takes duty calls and keeps them."""

    def __init__(self) -> None:
        """Starts without calls and faults."""
        self.fault = ""
        self.calls: list[DutyCall] = []
        # Statuses of the next calls to scale, one each, before any fault.
        self.statuses: list[int] = []
        self._lock = threading.Lock()

    def handle_request(self, req: _http.Handler) -> None:
        """Handles one call."""
        call = DutyCall(
            path=req.url.path,
            holder=req.headers["Turmericward-Duty-Holder"],
            token=int(req.headers["Turmericward-Fencing-Token"]),
            body=req.body,
            at=time.monotonic(),
        )
        fault = self.fault
        if fault == "silent":
            time.sleep(HANG_S)
        if fault in ("silent", "reset"):
            req.close_connection = True
            return
        refusals = {"down": 503, "throttled": 429}
        if fault in refusals:
            req.answer(refusals[fault], {})
            return
        with self._lock:
            self.calls.append(call)
        if fault == "slow":
            time.sleep(SLOW_S)
        if fault == "lost":
            req.close_connection = True
            return
        req.answer(200, {})

    def reports(self) -> dict[int, list[bytes]]:
        """Returns the bodies of the usage reports by window."""
        with self._lock:
            calls = [c for c in self.calls if c.path == "/usage"]
        reports: dict[int, list[bytes]] = {}
        for call in calls:
            reports.setdefault(json.loads(call.body)["window"], []).append(call.body)
        return reports

    def violations(self) -> list[str]:
        """Returns which rules on bodies, tokens and holders the calls broke."""
        with self._lock:
            calls = list(self.calls)
        found = [
            f"window {window} has {len(set(bodies))} bodies"
            for window, bodies in self.reports().items()
            if len(set(bodies)) > 1
        ]
        by_subject: dict[tuple, list[DutyCall]] = {}
        for call in calls:
            by_subject.setdefault(call.subject, []).append(call)
        for subject, listed in by_subject.items():
            found += [f"{subject}: {text}" for text in _order_violations(listed)]
        return found


def _order_violations(calls: list[DutyCall]) -> list[str]:
    found = []
    holders: dict[int, str] = {}
    for index, call in enumerate(calls):
        if holders.setdefault(call.token, call.holder) != call.holder:
            found.append(f"token {call.token} of two holders")
        if index and call.token < calls[index - 1].token:
            found.append(f"token {call.token} after {calls[index - 1].token}")
        if index and call.holder != calls[index - 1].holder:
            gap_s = call.at - calls[index - 1].at
            if gap_s < GAP_S:
                found.append(f"holder changed within {gap_s:.3f} s")
    return found
