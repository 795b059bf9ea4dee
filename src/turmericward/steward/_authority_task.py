"""Task that competes for the domain's lease and keeps the order book."""

import functools
import time

from absl import logging

from turmericward import authority, runtime
from turmericward.adapters import instances
from turmericward.steward import _messages

READ_BACK_S = 3.0


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
        self._caught_up = False

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Acts on one message."""
        return super().handle(message)

    @handle.register
    def _(self, message: _messages.LogRead) -> None:
        for record in message.records:
            self._fold(message.at, record.offset, record.value)
        self._caught_up = True

    @handle.register
    def _(self, message: _messages.LogLost) -> None:
        """Changes nothing: the term ends by itself."""

    @handle.register
    def _(self, message: _messages.LogExpired) -> None:
        logging.warning("authority is read anew from offset %d", message.first)

    def _fold(self, at: float, offset: int, value: object) -> None:
        if offset < self._folded:
            return
        self._folded = offset + 1
        try:
            record = authority.decode(value)
        except authority.MalformedRecordError as exc:
            logging.warning("authority stream, offset %d: %s", offset, exc)
            return
        accepted = self._contender.read(at, offset, record)
        token = self._contender.lease.token
        accepted = self._book.apply(record, token) or accepted
        if isinstance(record, authority.Acquire) and accepted:
            logging.info("lease is held by %s, token %d", record.holder, token)
        self._accepted.resolve(record.id, accepted)

    def _append(self, record: authority.Record) -> None:
        until = time.monotonic() + self._term_s
        self._appender.post(
            _messages.Append(
                stream=self._stream, value=authority.encode(record), until=until
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
