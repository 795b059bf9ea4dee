"""Loop that passes usage through the store while a domain isn't heard of."""

from collections.abc import Callable, Mapping
from typing import Protocol

from absl import logging

from turmericward import metering, peers, runtime
from turmericward.adapters import errors

INTERVAL_S = 0.5
# Time between two reads of the holder during a cut.
READ_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 0.5


class UsageStore(Protocol):
    """Keeps the newest usage of each domain."""

    def put(self, domain: str, usage: metering.Usage) -> None:
        """Replaces a domain's usage.

        Raises:
            LogUnavailableError: there was no valid answer.
        """

    def read(self) -> Mapping[str, metering.Usage]:
        """Returns the usage of each domain.

        Raises:
            LogUnavailableError: there was no valid answer.
        """


class UsageStoreLoop(runtime.Loop):
    """Stores the sums of this front's domain, or reads those of others as the holder.

    It does neither while all domains are heard of.
    """

    tolerated_failures = runtime.MAX_FAILURES_IN_A_ROW

    def __init__(
        self,
        domain: str,
        peer_task: peers.PeerTask,
        store: UsageStore,
        holds_lease: Callable[[], bool],
        clock: Callable[[], float] = runtime.now,
    ) -> None:
        """Creates the loop.

        Args:
            domain: failure domain of this front.
            peer_task: has the usage.
            store: used by this loop only.
            holds_lease: returns whether this front reports usage.
            clock: returns monotonic seconds.
        """
        super().__init__()
        self._domain = domain
        self._peer_task = peer_task
        self._store = store
        self._holds_lease = holds_lease
        self._clock = clock
        self._stored_window = -1
        self._read_at = float("-inf")

    def run_once(self) -> None:
        """Stores or reads usage if a domain is silent."""
        self.pause(INTERVAL_S)
        if not self._peer_task.reads_store:
            return
        asked = self._peer_task.ask(peers.GetSilentDomains())
        silent = asked.result(ASK_TIMEOUT_S)
        if not silent.domains:
            return
        try:
            if self._holds_lease():
                self._read(silent.domains)
            else:
                self._put(silent.sums)
        except errors.AdapterError as exc:
            logging.log_every_n_seconds(logging.WARNING, "usage: %s", 10, exc)

    def _read(self, domains: frozenset[str]) -> None:
        if self._clock() - self._read_at < READ_INTERVAL_S:
            return
        self._read_at = self._clock()
        for domain, usage in self._store.read().items():
            if domain in domains:
                self._peer_task.post(peers.StoredUsage(domain=domain, usage=usage))

    def _put(self, sums: metering.Usage) -> None:
        newest = max((row.window for row in sums.windows), default=-1)
        if newest <= self._stored_window:
            return
        self._store.put(self._domain, sums)
        self._stored_window = newest
