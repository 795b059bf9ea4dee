"""Fronts with duties in virtual time: their lease's log, the API, and crash points."""

from collections.abc import Callable

import attrs

from turmericward import authority, dispatching, duties, metering, positions
from turmericward.adapters import errors
from turmericward.platform import _duties, _duty_calls

STEP_S = 0.1
WINDOW_S = 5.0
DUE_S = 10.0
ORDER_GAP_S = 3.0
UNIX_0 = 1_000_000.0
TIMING = authority.Timing(
    term_s=_duties.TERM_S,
    renew_s=_duties.RENEW_S,
    margin_s=ORDER_GAP_S + _duties.MARGIN_S,
    settle_s=ORDER_GAP_S + _duties.MARGIN_S,
)


class KilledError(BaseException):
    """Raised in a front that is killed."""


@attrs.frozen
class Taken:
    """A call that the API took."""

    at: float
    front: str
    token: int
    window: int
    body: bytes


class World:
    """A log, an API and fronts on one clock."""

    def __init__(self, fronts: int = 3) -> None:
        """Starts with the lease free."""
        self.now = 1000.0
        self.era = 1
        self.rows: list[tuple[str, object]] = []
        self.taken: list[Taken] = []
        # Outcome that the API gives in place of taking a call, and whether it takes it.
        self.fault: tuple[duties.Outcome, bool] | None = None
        self.store_down = False
        # Called with the front at each crash point, by its name, once.
        self.at_point: dict[str, Callable[[Front], None]] = {}
        self.fronts = [Front(self, f"f{n}") for n in range(fronts)]

    def unix_s(self) -> float:
        """Returns the true Unix time."""
        return UNIX_0 + self.now

    def pass_point(self, name: str, front: "Front") -> None:
        """Runs what is to happen at a crash point."""
        action = self.at_point.pop(name, None)
        if action is not None:
            action(front)

    def run(self, seconds: float) -> None:
        """Lets time pass for all fronts that aren't killed, frozen or in a call."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            for front in self.fronts:
                if not front.busy and not front.dead:
                    front.step()

    def freeze(self, seconds: float) -> Callable[["Front"], None]:
        """Returns the action that freezes a front while the others go on."""
        return lambda front: self.run(seconds)

    def return_from_copy(self, records: int) -> None:
        """Lets the log lose its newest records, in a new era."""
        del self.rows[-records:]
        self.era += 1

    def violations(self) -> list[str]:
        """Returns which rules were broken."""
        found = []
        bodies: dict[int, set[bytes]] = {}
        for call in self.taken:
            bodies.setdefault(call.window, set()).add(call.body)
        found += [f"{w}: {len(b)} bodies" for w, b in bodies.items() if len(b) > 1]
        for first, second in zip(self.taken, self.taken[1:], strict=False):
            if second.token < first.token:
                found.append(f"token {second.token} after {first.token}")
            if first.front != second.front:
                if second.token == first.token:
                    found.append(f"token {first.token} of two holders")
                if second.at - first.at < ORDER_GAP_S:
                    found.append(f"holder changed after {second.at - first.at:.2f} s")
        return found

    def missing(self) -> list[int]:
        """Returns the windows between the first report and now that weren't in time."""
        in_time = {
            call.window
            for call in self.taken
            if UNIX_0 + call.at <= (call.window + 1) * WINDOW_S + DUE_S
        }
        last = int((self.unix_s() - DUE_S) // WINDOW_S) - 1
        return [w for w in range(min(in_time), last + 1) if w not in in_time]


class Front:
    """The lease, the loops and the duty of one front; log and sender in one."""

    def __init__(self, world: World, name: str) -> None:
        """Starts without the lease."""
        self.world = world
        self.name = name
        self.dead = False
        self.busy = False
        self.stops = False
        self._ids = iter(range(10_000))
        self._next_tend_at = 0.0
        clock = lambda: world.now  # noqa: E731
        self._eras = positions.Eras(clock=clock)
        self._eras.observe(world.era, "start")
        # All fronts have run for a while.
        self._eras._since = 0.0
        lease = authority.OnDemandLease(
            name, TIMING, lambda: f"{name}-{next(self._ids)}"
        )
        self.lease = dispatching.StandingLease(
            lease, self, self._eras, _duties.RENEW_S, clock
        )
        self.duty = metering.UsageDuty(
            collect=self._collect, window_s=WINDOW_S, due_s=DUE_S
        )
        self._loop = dispatching.DutiesLoop(
            self.lease,
            [self.duty],
            self,
            calls_per_s=50.0,
            enabled=lambda: not self.stops,
            clock=clock,
        )
        self._loop.pause = lambda seconds: None

    def step(self) -> None:
        """Runs what is due of the loops."""
        self.busy = True
        try:
            self._tend()
            self._loop.run_once()
        except KilledError:
            self.dead = True
        finally:
            self.busy = False

    def _tend(self) -> None:
        if self.world.now < self._next_tend_at:
            return
        try:
            if self.stops:
                self.lease.resign()
            else:
                self.lease.acquire_or_renew()
        except errors.AdapterError:
            pass
        held = self.lease.authority() is not None
        poll_s = self.lease.poll_in_s(_duties.POLL_S)
        self._next_tend_at = self.world.now + (_duties.TICK_S if held else poll_s)

    def _collect(self, window: int) -> metering.Collected:
        # Each front, and each moment, would make another body.
        counts = {"w": int(self.world.now * 10), self.name: 1}
        unix_s = self.world.unix_s()
        return metering.Collected(unix_s=unix_s, counts=counts, known_until_s=unix_s)

    # The log.

    def _answer(self) -> None:
        if self.world.store_down:
            raise errors.LogUnavailableError("down")
        self._eras.observe_answer(str(self.world.era), "store")

    def read_state(self) -> dispatching.LogState:
        """Reads the world's log."""
        self._answer()
        newest = dict(self.world.rows)
        return dispatching.LogState(
            end=positions.Position(self.world.era, len(self.world.rows)),
            lease=newest.get("lease"),
            journal=newest.get("journal"),
        )

    def append(self, claim: authority.Claim) -> positions.Position | None:
        """Appends a lease record."""
        kind = type(claim.record).__name__
        return self._append("lease", claim.record, claim.end, kind)

    def append_journal(self, value: bytes, end: positions.Position):
        """Appends a journal."""
        return self._append("journal", value, end, "journal")

    def _append(self, key: str, value, end: positions.Position, kind: str):
        self.world.pass_point(f"before {kind}", self)
        if self.world.store_down:
            raise errors.LogUnavailableError("down")
        offset = len(self.world.rows)
        if end.offset != offset:
            self._answer()
            return None
        self.world.rows.append((key, value))
        position = positions.Position(self.world.era, offset)
        self.world.pass_point(f"after {kind}", self)
        self._answer()
        return position

    # The sender.

    def send(self, call, held: authority.Authority, timeout_s: float):
        """Sends a call as `send_within_term` does."""
        world = self.world
        world.pass_point("before send", self)
        if not held.allows(world.now, 1.0):
            raise errors.AuthorityLapsedError("too late")
        outcome, taken = world.fault or (duties.Outcome.ACCEPTED, True)
        if taken:
            body = _duty_calls.body(call)
            world.taken.append(
                Taken(world.now, self.name, held.token, call.window, body)
            )
        world.pass_point("after send", self)
        return outcome
