"""Loop that polls a steward and keeps the mirror and the router's view new."""

import json
import time

from absl import logging

from turmericward import configuration, fleet, membership, runtime
from turmericward.adapters import errors, instances, steward
from turmericward.entry import _router_task
from turmericward.wire import ttypes

WAIT_S = 2.0
HOLD_WAIT_S = 0.1
CALL_S = 4.0
RETRY_S = 0.1
RETURN_S = 1.0
ASK_S = 10.0


class FollowLoop(runtime.Loop):
    """Follows the instance's own steward, or a peer's while that is away."""

    def __init__(self, cfg, name: str, mirror, router: runtime.Task) -> None:
        """Creates the loop.

        Args:
            cfg: settings of the instance.
            name: name of this entry process.
            mirror: takes the resources.
            router: takes the views.
        """
        super().__init__()
        self._cfg = cfg
        self._name = name
        self._mirror = mirror
        self._router = router
        self._views = fleet.ViewBuilder(
            cfg.instance.name, cfg.instance.domain, cfg.entry.engines_per_model
        )
        self._own = f"{cfg.instance.address}:{cfg.steward.port}"
        self._client = steward.StewardClient(self._own, CALL_S)
        self._fleet_version = -1
        self._drained: list[str] = []
        self._holding = False
        self._peers: list[str] = []
        self._attempt = 0
        self._return_at = 0.0

    def stewards(self) -> list[str]:
        """Returns the addresses of stewards, the instance's own first."""
        seeds = self._cfg.steward.seeds
        return list(dict.fromkeys([self._own, *self._peers, *seeds]))

    def step(self) -> None:
        """Polls once and passes on what is new."""
        self._return_to_own()
        wait_s = HOLD_WAIT_S if self._holding else WAIT_S
        req = ttypes.FollowRequest(
            entry=self._name,
            applied=self._mirror.applied,
            fleet_version=self._fleet_version,
            drained=self._drained,
            wait_ms=int(wait_s * 1000),
        )
        try:
            answer = self._client.follow(req)
        except errors.StewardUnavailableError as exc:
            self._fail_over(exc)
            return
        if not answer.ready:
            self.pause(RETRY_S)
            return
        self._take(answer)

    def _fail_over(self, exc: Exception) -> None:
        logging.warning("poll failed: %s", exc)
        addresses = self.stewards()
        self._attempt = (self._attempt + 1) % len(addresses)
        self._connect(addresses[self._attempt])
        self.pause(RETRY_S)

    def _return_to_own(self) -> None:
        # Holds are confirmed only through the own steward.
        if self._client.address == self._own or time.monotonic() < self._return_at:
            return
        self._attempt = 0
        self._connect(self._own)

    def _connect(self, address: str) -> None:
        self._client.close()
        self._client = steward.StewardClient(address, CALL_S)
        self._fleet_version = -1
        self._return_at = time.monotonic() + RETURN_S

    def _take(self, answer: ttypes.FollowAnswer) -> None:
        resources = [_resource(r) for r in answer.resources]
        taken = self._mirror.update(answer.applied, resources, whole=answer.whole)
        if taken:
            self._views.update(resources, whole=answer.whole)
        else:
            # A steward that restarted has yet to read what this entry has.
            self.pause(RETRY_S)
        now = time.monotonic()
        holds = [_hold(h, now) for h in answer.holds]
        view = self._views.view(
            frozenset(i.name for i in answer.instances if i.leaving),
            {load.engine: _load(load, now) for load in answer.loads},
        )
        message = _router_task.SetView(view=view, holds=holds, released=answer.released)
        self._drained = self._router.ask(message).result(ASK_S)
        self._holding = bool(holds)
        self._fleet_version = answer.fleet_version
        self._learn_peers(answer.instances)

    def _learn_peers(self, rows: list[ttypes.Instance]) -> None:
        entries = [i for i in rows if i.kind == instances.ENTRY]
        near = [i for i in entries if i.domain == self._cfg.instance.domain]
        far = [i for i in entries if i.domain != self._cfg.instance.domain]
        addresses = [f"{i.address}:{self._cfg.steward.port}" for i in near + far]
        if addresses:
            self._peers = addresses

    def closed(self) -> None:
        """Closes the connection."""
        self._client.close()


def _resource(res: ttypes.Resource) -> configuration.Resource:
    value = None if res.deleted else json.loads(res.value_json)
    return configuration.Resource(
        kind=res.kind, name=res.name, version=res.version, value=value
    )


def _hold(hold: ttypes.Hold, now: float) -> membership.Hold:
    return membership.Hold(
        engine=hold.engine, hold_id=hold.hold_id, until=now + hold.ttl_ms / 1000
    )


def _load(load: ttypes.Load, now: float) -> fleet.LoadView:
    return fleet.LoadView(
        running=load.running,
        queued=load.queued,
        role=load.role,
        at=now - load.age_ms / 1000,
    )
