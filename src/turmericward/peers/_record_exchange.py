"""Batches of the store's records that a front forwards to its peers or gets from them.

The reader of a domain sends the recent records of each topic, and everything to a
front that could not read the topics yet.
"""

from collections.abc import Callable, Mapping

from turmericward import feeds
from turmericward.peers import _states

# How often a reader confirms that a topic has no further changes.
HEARTBEAT_S = 0.4
# Shortest time between two datagrams with full batches.
FULL_BATCH_INTERVAL_S = 0.2
# Topics that a front asks its peers for while the store refuses it: a key that was
# removed, or added, is in force everywhere within the bound all the same.
REQUESTED_TOPICS = (feeds.Topic.CONFIGURATION,)

Batches = tuple[feeds.RecordBatch, ...]


class RecordExchange:
    """Histories of the topics, and when they were sent; times are monotonic seconds."""

    def __init__(self, fresh_s: Mapping[feeds.Topic, float]) -> None:
        """Starts without records.

        Args:
            fresh_s: the forwarded topics, each with the maximum age of the last read
                that is forwarded.
        """
        self._fresh_s = dict(fresh_s)
        self._histories = {topic: feeds.History(topic) for topic in fresh_s}
        self._subscribers: dict[feeds.Topic, Callable[[feeds.RecordBatch], None]] = {}
        # Latest era of the store in the peers' batches.
        self._latest_era = 0
        self._sent_at = float("-inf")
        self._full_sent_at = float("-inf")
        self._due = False

    def subscribe(
        self, topic: feeds.Topic, on_batch: Callable[[feeds.RecordBatch], None]
    ) -> None:
        """Passes peers' batches of a topic to `on_batch`."""
        self._subscribers[topic] = on_batch

    def add(self, topic_range: feeds.TopicRange, now: float) -> bool:
        """Adds what this front has read; returns whether it has news."""
        return self._histories[topic_range.topic].add(topic_range, now)

    def set_due(self) -> None:
        """Makes the next datagram hold the recent records."""
        self._due = True

    def receive(self, state: _states.PeerState) -> Batches:
        """Passes a peer's batches on; returns those that ask for later records."""
        asking = tuple(b for b in state.record_batches if self._is_request(b))
        for batch in state.record_batches:
            self._latest_era = max(self._latest_era, batch.end.era)
            if batch.topic in self._subscribers and batch not in asking:
                self._subscribers[batch.topic](batch)
        return asking

    def _is_request(self, batch: feeds.RecordBatch) -> bool:
        """Returns whether a batch is older than those that are forwarded."""
        if batch.topic not in REQUESTED_TOPICS or batch.full:
            return False
        return batch.age_s > self._fresh_s.get(batch.topic, float("inf"))

    def requests(self, now: float) -> Batches:
        """Returns batches that ask peers for what the store doesn't tell this front."""
        asking = [
            self._histories[topic].request(now, self._fresh_s[topic])
            for topic in REQUESTED_TOPICS
            if topic in self._histories
        ]
        return tuple(batch for batch in asking if batch is not None)

    def answers(self, asking: Batches, now: float) -> Batches:
        """Returns the answers to a peer's requests, those with everything not often."""
        batches = [
            self._histories[b.topic].answer(b, now, self._fresh_s[b.topic])
            for b in asking
        ]
        if any(b is not None and b.full for b in batches):
            if now - self._full_sent_at < FULL_BATCH_INTERVAL_S:
                return ()
            self._full_sent_at = now
        return tuple(batch for batch in batches if batch is not None)

    def pop_due(self, now: float) -> Batches:
        """Returns the recent records of each topic if they are to be sent now."""
        if not self._due and now - self._sent_at < HEARTBEAT_S:
            return ()
        self._sent_at = now
        self._due = False
        recent = [
            history.recent_batch(now, self._fresh_s[topic])
            for topic, history in self._histories.items()
        ]
        return tuple(batch for batch in recent if batch is not None)

    def pop_full(self, now: float) -> Batches:
        """Returns the newest record of every key, not too often."""
        if now - self._full_sent_at < FULL_BATCH_INTERVAL_S:
            return ()
        full = [history.full_batch(now) for history in self._histories.values()]
        batches = tuple(batch for batch in full if batch is not None)
        if batches:
            self._full_sent_at = now
        return batches

    @property
    def needs_full_batches(self) -> bool:
        """Whether this front has not read a topic in the store's latest era."""
        return not all(
            history.has_data_of(self._latest_era)
            for history in self._histories.values()
        )
