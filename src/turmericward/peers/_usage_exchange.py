"""Usage of this front and of others, as far as datagrams tell it."""

from collections.abc import Callable

import attrs

from turmericward import metering
from turmericward.peers import _messages, _peer_group, _states

# Windows that ended longer ago are dropped.
KEPT_S = 30.0
# The sender's time may be so far from this front's; what is further isn't counted.
MAX_TIME_DIFFERENCE_S = 15.0
# A domain that hasn't been heard of for so long isn't waited for.
FORGET_DOMAIN_S = 60.0
# A domain that hasn't been heard of for so long gets its usage through the store.
SILENT_S = 2.0
# Time after the end of a window in which its sum is stored: when its fronts have told
# their last counts, and for as long as reports wait.
STORE_DELAY_S = 1.0
STORE_UNTIL_S = 6.0


@attrs.define
class _HeardDomain:
    """What a domain last told: its time, and when that was received."""

    until_s: float
    at: float


class UsageExchange:
    """Counts, merges and sends usage; used by the peer task only."""

    def __init__(
        self,
        front: str,
        domain: str,
        boot: int,
        window_s: float,
        now: float,
        time_of_day: Callable[[], float],
    ) -> None:
        """Starts without counts.

        Args:
            front: name of this front.
            domain: its failure domain.
            boot: number of this start of it.
            window_s: length of a window.
            now: monotonic seconds.
            time_of_day: returns the Unix time of the instance.
        """
        self._domain = domain
        self._window_s = window_s
        self._time_of_day = time_of_day
        self._clock = metering.UnixClock(now, time_of_day())
        self._ledger = metering.Ledger(domain, (front, boot))
        self._sending = {
            scope: metering.UsageSending(
                window_s, domain=scope is _peer_group.LoadScope.DOMAIN
            )
            for scope in _peer_group.LoadScope
        }
        self._heard: dict[str, _HeardDomain] = {}
        # Unix time up to which domains have stored what they counted.
        self._stored_until_s: dict[str, float] = {}

    def count(self, message: _messages.CallsBegan) -> None:
        """Counts calls of this front."""
        for workspace, began_at in message.calls:
            window = int(self._clock.unix_s(began_at) // self._window_s)
            self._ledger.count(window, workspace)

    def receive(self, state: _states.PeerState, now: float, *, relay: bool) -> None:
        """Merges the usage of a state; `relay` if this front relies on its sender."""
        usage = state.usage
        if usage is None:
            return
        self._clock.record_peer(state.front, usage.unix_s, now, relay=relay)
        unix_s = self._clock.unix_s(now)
        self._merge((state.front, state.boot), state.domain, usage, unix_s)
        if state.domain != self._domain:
            self._heard[state.domain] = _HeardDomain(usage.unix_s, now)

    def _merge(
        self, source: tuple[str, int], domain: str, usage: metering.Usage, unix_s: float
    ) -> None:
        oldest = self._window(unix_s - KEPT_S)
        newest = self._window(unix_s + MAX_TIME_DIFFERENCE_S)
        for row in usage.windows:
            if oldest <= row.window <= newest:
                self._ledger.receive(source, domain, row)

    def receive_stored(self, message: _messages.StoredUsage, now: float) -> None:
        """Merges what a domain has stored, whose relay isn't heard of."""
        domain, usage = message.domain, message.usage
        unix_s = self._clock.unix_s(now)
        self._merge(("", 0), domain, usage, unix_s)
        if usage.unix_s <= unix_s + MAX_TIME_DIFFERENCE_S:
            self._stored_until_s[domain] = usage.unix_s

    def silent_domains(self, now: float) -> _messages.SilentDomains:
        """Returns which domains are silent, and sums of this domain to be stored."""
        unix_s = self._clock.unix_s(now)
        silent = frozenset(
            domain
            for domain, heard in self._heard.items()
            if SILENT_S < now - heard.at <= FORGET_DOMAIN_S
        )
        first = self._window(unix_s - STORE_UNTIL_S)
        last = self._window(unix_s - STORE_DELAY_S) - 1
        windows = tuple(
            metering.WindowUsage(
                window=window, counts=self._ledger.domain_sum(window), domain=True
            )
            for window in (range(first, last + 1) if silent else ())
        )
        sums = metering.Usage(unix_s=unix_s, windows=windows)
        return _messages.SilentDomains(domains=silent, sums=sums)

    def _window(self, unix_s: float) -> int:
        return int(unix_s // self._window_s)

    def pop_due(
        self, scope: _peer_group.LoadScope, now: float
    ) -> metering.Usage | None:
        """Returns what is to be sent to peers of a scope."""
        return self._sending[scope].next_usage(self._ledger, self._clock.unix_s(now))

    def send_all(self) -> None:
        """Makes all recent counts due, whenever they were sent."""
        for sending in self._sending.values():
            sending.reset()

    def run_periodic(self, now: float) -> None:
        """Follows the clock and drops old counts."""
        self._clock.record_time_of_day(now, self._time_of_day())
        self._ledger.drop_before(self._window(self._clock.unix_s(now) - KEPT_S))

    def collect(self, window: int, now: float) -> metering.Collected:
        """Returns the usage of all known fronts in a window."""
        self._heard = {
            domain: heard
            for domain, heard in self._heard.items()
            if now - heard.at <= FORGET_DOMAIN_S
        }
        unix_s = self._clock.unix_s(now)
        heard_until_s = [
            max(heard.until_s, self._stored_until_s.get(domain, 0.0))
            for domain, heard in self._heard.items()
        ]
        known_until_s = min([unix_s, *heard_until_s])
        return metering.Collected(
            unix_s=unix_s,
            counts=self._ledger.total(window),
            known_until_s=known_until_s,
            whole=self._ledger.is_whole(window),
        )
