"""Task that competes for the domain's lease and keeps the order book."""

import functools
import time
import zlib

import attrs
from absl import logging

from turmericward import authority, runtime
from turmericward.adapters import instances
from turmericward.steward import _messages

READ_BACK_S = 3.0
SNAPSHOT_RECORDS = 50


def stream_of(domain: str) -> str:
    """Returns the name of the domain's authority stream."""
    return f"authority.{domain}"


class AuthorityTask(runtime.Task):
    """Owns the lease protocol and the fold of orders of one domain."""

    tick_s = 0.1

    def __init__(self, cfg, appender) -> None:
        """Creates the task as a follower."""
        super().__init__()
        steward = cfg.steward
        timing = authority.Timing(
            term_s=steward.term_s,
            renew_s=steward.renew_s,
            margin_s=steward.margin_s,
            settle_s=steward.order_timeout_s,
        )
        holder = f"{cfg.instance.name}/{runtime.new_id()}"
        self._stream = stream_of(cfg.instance.domain)
        self._term_s = steward.term_s
        self._appender = appender
        self._contender = authority.Contender(
            holder, timing, time.monotonic(), runtime.new_id
        )
        self._book = authority.OrderBook()
        self._accepted = runtime.Waiters()
        self._engines: dict[str, _messages.DesiredEngine] = {}
        self._members: list[instances.Instance] = []
        self._folded = 0
        self._first = 0
        self._kept: list[tuple[int, authority.Record]] = []
        self._since_snapshot = 0
        spread = zlib.crc32(holder.encode()) % SNAPSHOT_RECORDS
        self._snapshot_due = SNAPSHOT_RECORDS + spread
        self._caught_up = False

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.LogRead) -> None:
        if not self._contender.known and message.first == message.following:
            self._contender.empty_from(message.first, message.at)
        for record in message.records:
            self._read(message.at, record.offset, record.value)
        self._caught_up = True
        self._snapshot_if_due()

    @handle.register
    def _(self, message: _messages.LogLost) -> None:
        """Changes nothing: the term ends by itself."""

    @handle.register
    def _(self, message: _messages.LogExpired) -> None:
        if self._folded >= message.first and self._contender.known:
            return
        logging.warning("authority is read anew from offset %d", message.first)
        self._contender.expired(message.first, time.monotonic())
        self._first = message.first
        self._kept.clear()

    def _read(self, at: float, offset: int, value: object) -> None:
        try:
            record = authority.decode(value)
        except authority.MalformedRecordError as exc:
            logging.warning("authority stream, offset %d: %s", offset, exc)
            return
        if isinstance(record, authority.Snapshot):
            self._since_snapshot = 0
            self._try_snapshot(at, record)
        elif self._contender.known:
            self._fold(at, offset, record)
        else:
            self._kept.append((offset, record))

    def _try_snapshot(self, at: float, snapshot: authority.Snapshot) -> None:
        if self._contender.known or snapshot.covers < self._first:
            return
        lease = authority.Lease(**attrs.asdict(snapshot.lease))
        self._contender.restore(lease, at)
        self._book.restore(snapshot.orders)
        self._folded = snapshot.covers
        for offset, record in self._kept:
            self._fold(at, offset, record)
        self._kept.clear()

    def _fold(self, at: float, offset: int, record: authority.Record) -> None:
        if offset < self._folded:
            return
        self._folded = offset + 1
        self._since_snapshot += 1
        accepted = self._contender.read(at, offset, record)
        token = self._contender.lease.token
        accepted = self._book.apply(record, token) or accepted
        if isinstance(record, authority.Acquire) and accepted:
            logging.info("lease is held by %s, token %d", record.holder, token)
        self._accepted.resolve(record.id, accepted)

    def _snapshot_if_due(self) -> None:
        if not self._contender.known or self._since_snapshot < self._snapshot_due:
            return
        self._since_snapshot = 0
        orders = [_intent_of(order) for order in self._book.all_outstanding()]
        snapshot = authority.Snapshot(
            id=runtime.new_id(),
            covers=self._folded,
            lease=authority.LeaseState(**attrs.asdict(self._contender.lease)),
            orders=orders,
        )
        self._append(snapshot)

    def _append(self, record: authority.Record) -> None:
        until = time.monotonic() + self._term_s
        self._appender.post(
            _messages.Append(
                stream=self._stream,
                value=authority.encode(record),
                until=until,
                urgent=True,
            )
        )

    @handle.register
    def _(self, message: _messages.Desired) -> None:
        self._engines = message.engines

    @handle.register
    def _(self, message: _messages.FleetRead) -> None:
        self._members = [i for i in message.instances if i.kind == instances.ENTRY]

    @handle.register
    def _(self, message: _messages.GetPlan) -> _messages.Plan:
        orders = {name: self._book.outstanding(name) for name in self._engines}
        return _messages.Plan(
            held=self._contender.authority(time.monotonic()),
            engines=self._engines,
            outstanding={n: o for n, o in orders.items() if o is not None},
            members=self._members,
        )

    @handle.register
    def _(self, message: _messages.Intend):
        held = self._contender.authority(time.monotonic())
        if held is None:
            return False
        intent = authority.Intent(
            id=runtime.new_id(),
            token=held.token,
            engine=message.engine,
            role=message.spec.role,
            loads=list(message.spec.loads),
        )
        return self._append_and_wait(intent)

    @handle.register
    def _(self, message: _messages.Conclude):
        held = self._contender.authority(time.monotonic())
        if held is None:
            return False
        outcome = authority.OrderOutcome(
            id=message.order.id,
            token=held.token,
            engine=message.order.engine,
            outcome=message.phase.value,
        )
        return self._append_and_wait(outcome)

    def _append_and_wait(self, record):
        self._append(record)
        return self._accepted.add(record.id, time.monotonic() + READ_BACK_S, False)

    @handle.register
    def _(self, message: _messages.Resign) -> None:
        for record in self._contender.resign(time.monotonic()):
            self._append(record)

    @handle.register
    def _(self, message: _messages.GetStatus) -> authority.Authority | None:
        return self._contender.authority(time.monotonic())

    def tick(self) -> None:
        """Renews or takes the lease when it is time."""
        now = time.monotonic()
        self._accepted.expire(now)
        if not self._caught_up:
            return
        for record in self._contender.tick(now):
            self._append(record)


def _intent_of(order: authority.Order) -> authority.Intent:
    return authority.Intent(
        id=order.id,
        token=order.token,
        engine=order.engine,
        role=order.spec.role,
        loads=list(order.spec.loads),
    )
