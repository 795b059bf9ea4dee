"""Orders of a domain: at most one is outstanding for each engine."""

import enum

import attrs

from turmericward.authority import _records


class OrderPhase(enum.Enum):
    """The phase of an order according to the log."""

    INTENDED = "intended"
    DONE = "done"
    VOID = "void"


@attrs.frozen(kw_only=True)
class Spec:
    """The state that an engine is ordered into.

    `loads` names what it has loaded: `model@version`, or an adapter's name.
    """

    role: str
    loads: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Order:
    """An order whose intent is in the log."""

    id: str
    token: int
    engine: str
    spec: Spec
    phase: OrderPhase


@attrs.frozen(kw_only=True)
class EngineState:
    """State that an engine reports; `order_id` is the last order it accepted."""

    spec: Spec
    changing: bool
    running: int
    order_id: str
    order_token: int


class OrderLedger:
    """Fold of intents and outcomes: the last order of each engine."""

    def __init__(self) -> None:
        """Creates the state of an empty stream."""
        self._last: dict[str, Order] = {}

    def apply(self, record: _records.Record, lease_token: int) -> bool:
        """Folds one record; returns whether it was accepted under the lease's token."""
        if isinstance(record, _records.Intent):
            return self._intend(record, lease_token)
        if isinstance(record, _records.OrderOutcome):
            return self._end(record, lease_token)
        return False

    def _intend(self, record: _records.Intent, lease_token: int) -> bool:
        if record.token != lease_token or self.outstanding(record.engine):
            return False
        self._last[record.engine] = Order(
            id=record.id,
            token=record.token,
            engine=record.engine,
            spec=Spec(role=record.role, loads=tuple(record.loads)),
            phase=OrderPhase.INTENDED,
        )
        return True

    def _end(self, record: _records.OrderOutcome, lease_token: int) -> bool:
        order = self.outstanding(record.engine)
        if record.token != lease_token or order is None or order.id != record.id:
            return False
        phase = OrderPhase(record.outcome)
        self._last[record.engine] = attrs.evolve(order, phase=phase)
        return True

    def outstanding(self, engine: str) -> Order | None:
        """Returns the engine's order that has no outcome yet, or None."""
        order = self._last.get(engine)
        if order is None or order.phase is not OrderPhase.INTENDED:
            return None
        return order

    def all_outstanding(self) -> list[Order]:
        """Returns every order that has no outcome yet."""
        return [o for o in self._last.values() if o.phase is OrderPhase.INTENDED]

    def restore(self, intents: list[_records.Intent]) -> None:
        """Replaces all orders by the outstanding ones of a snapshot."""
        self._last.clear()
        for intent in intents:
            self._intend(intent, intent.token)


def observed_phase(order: Order, state: EngineState) -> OrderPhase | None:
    """Determines the phase of an outstanding order from the engine's state.

    Returns:
        DONE when the engine has applied the order, VOID when it reports another
        order or state, None while it is still changing.
    """
    if state.changing:
        return None
    if state.order_id == order.id and state.spec == order.spec:
        return OrderPhase.DONE
    return OrderPhase.VOID
