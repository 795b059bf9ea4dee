"""Task that competes for the domain's lease and tracks the domain's orders."""

import functools
import time
import zlib

import attrs
from absl import logging

from turmericward import authority, positions, runtime
from turmericward.adapters import instances, log
from turmericward.steward import _messages

READ_BACK_TIMEOUT_S = 3.0
SNAPSHOT_INTERVAL_RECORDS = 50


def stream_name(domain: str) -> str:
    """Returns the name of the domain's authority stream."""
    return f"authority.{domain}"


class AuthorityTask(runtime.Task):
    """Owns the lease protocol and the fold of orders of one domain."""

    period_s = 0.1

    def __init__(self, cfg, appender, eras: positions.Eras | None = None) -> None:
        """Creates the task without the lease.

        Args:
            cfg: settings of the instance.
            appender: takes Append messages.
            eras: the log's eras, as all readers and writers of the process know them.
        """
        super().__init__()
        self._eras = positions.Eras() if eras is None else eras
        self._era = 0
        steward = cfg.steward
        timing = authority.Timing(
            term_s=steward.term_s,
            renew_s=steward.renew_s,
            margin_s=steward.margin_s,
            settle_s=steward.order_timeout_s,
        )
        holder = f"{cfg.instance.name}/{runtime.new_id()}"
        self._stream = stream_name(cfg.instance.domain)
        self._term_s = steward.term_s
        self._appender = appender
        self._contender = authority.Contender(
            holder, timing, time.monotonic(), runtime.new_id
        )
        self._order_ledger = authority.OrderLedger()
        self._pending_appends = runtime.Waiters()
        self._engines: dict[str, _messages.DesiredEngine] = {}
        self._members: list[instances.Instance] = []
        self._applied = 0
        self._first_offset = 0
        self._buffered: list[tuple[int, authority.Record]] = []
        self._records_since_snapshot = 0
        # Jitter: most stewards see a peer's snapshot before their own is due.
        jitter = zlib.crc32(holder.encode()) % SNAPSHOT_INTERVAL_RECORDS
        self._snapshot_interval = SNAPSHOT_INTERVAL_RECORDS + jitter
        self._caught_up = False

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.LogEra) -> None:
        self._era = message.era
        self._contender.enter_era(message.era, message.since, time.monotonic())
        # Orders without record are found at the engines, whose state is read first.
        self._order_ledger.restore([])
        self._applied = 0
        self._first_offset = 0
        self._buffered.clear()
        self._records_since_snapshot = 0
        self._caught_up = False

    def _held(self) -> authority.Authority | None:
        """Returns the right to send orders, or None if there is none now."""
        return self._contender.authority(time.monotonic(), self._eras.current)

    @handle.register
    def _(self, message: _messages.LogRead) -> None:
        if not self._contender.known and message.first == message.next_offset:
            self._contender.mark_empty(message.first, message.read_at)
        for record in message.records:
            self._process_record(message.read_at, record.offset, record.value)
        self._caught_up |= len(message.records) < log.MAX_RECORDS_PER_READ
        self._snapshot_if_due()

    @handle.register
    def _(self, message: _messages.LogReadFailed) -> None:
        """Does nothing: without renewals the lease ends with its term."""

    @handle.register
    def _(self, message: _messages.LogExpired) -> None:
        if self._applied >= message.first and self._contender.known:
            return
        logging.warning("authority: offset expired, rereading from %d", message.first)
        self._contender.expired(message.first, time.monotonic())
        self._first_offset = message.first
        self._buffered.clear()

    def _process_record(self, read_at: float, offset: int, value: object) -> None:
        try:
            record = authority.decode(value)
        except authority.MalformedRecordError as exc:
            logging.warning("authority stream, offset %d: %s", offset, exc)
            return
        if isinstance(record, authority.Snapshot):
            self._records_since_snapshot = 0
            self._try_snapshot(read_at, record)
        elif self._contender.known:
            self._fold(read_at, offset, record)
        else:
            self._buffered.append((offset, record))

    def _try_snapshot(self, read_at: float, snapshot: authority.Snapshot) -> None:
        if self._contender.known or snapshot.covers < self._first_offset:
            return
        lease = authority.Lease(**attrs.asdict(snapshot.lease))
        self._contender.restore(lease, read_at)
        self._order_ledger.restore(snapshot.orders)
        self._applied = snapshot.covers
        for offset, record in self._buffered:
            self._fold(read_at, offset, record)
        self._buffered.clear()

    def _fold(self, read_at: float, offset: int, record: authority.Record) -> None:
        if offset < self._applied:
            return
        self._applied = offset + 1
        self._records_since_snapshot += 1
        accepted = self._contender.read(read_at, offset, record)
        token = self._contender.lease.token
        accepted = self._order_ledger.apply(record, token) or accepted
        if isinstance(record, authority.Acquire) and accepted:
            logging.info("lease is held by %s, token %d", record.holder, token)
        self._pending_appends.resolve(record.id, accepted)

    def _snapshot_if_due(self) -> None:
        if (
            not self._contender.known
            or self._records_since_snapshot < self._snapshot_interval
        ):
            return
        self._records_since_snapshot = 0
        orders = [_intent_of(order) for order in self._order_ledger.all_outstanding()]
        snapshot = authority.Snapshot(
            id=runtime.new_id(),
            covers=self._applied,
            lease=authority.LeaseState(**attrs.asdict(self._contender.lease)),
            orders=orders,
        )
        self._append(snapshot)

    def _append(self, record: authority.Record) -> None:
        deadline = time.monotonic() + self._term_s
        self._appender.post(
            _messages.Append(
                stream=self._stream,
                value=authority.encode(record),
                deadline=deadline,
                urgent=True,
                era=self._era,
            )
        )

    @handle.register
    def _(self, message: _messages.SetDesired) -> None:
        self._engines = message.engines

    @handle.register
    def _(self, message: _messages.FleetRead) -> None:
        self._members = [i for i in message.instances if i.kind == instances.ENTRY]

    @handle.register
    def _(self, message: _messages.GetPlan) -> _messages.Plan:
        orders = {name: self._order_ledger.outstanding(name) for name in self._engines}
        return _messages.Plan(
            held=self._held(),
            engines=self._engines,
            outstanding={n: o for n, o in orders.items() if o is not None},
            members=self._members,
        )

    @handle.register
    def _(self, message: _messages.AppendIntent):
        held = self._held()
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
    def _(self, message: _messages.AppendOutcome):
        held = self._held()
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
        return self._pending_appends.add(
            record.id, time.monotonic() + READ_BACK_TIMEOUT_S, False
        )

    @handle.register
    def _(self, message: _messages.Resign) -> None:
        for record in self._contender.resign(time.monotonic(), self._eras.current):
            self._append(record)

    @handle.register
    def _(self, message: _messages.GetStatus) -> authority.Authority | None:
        return self._held()

    def run_periodic(self) -> None:
        """Renews the lease, or acquires it once the holder's term is over."""
        now = time.monotonic()
        self._pending_appends.expire(now)
        if not self._caught_up:
            return
        for record in self._contender.run_periodic(now):
            self._append(record)


def _intent_of(order: authority.Order) -> authority.Intent:
    return authority.Intent(
        id=order.id,
        token=order.token,
        engine=order.engine,
        role=order.spec.role,
        loads=list(order.spec.loads),
    )
