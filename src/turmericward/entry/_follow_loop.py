"""Loop that polls a steward and updates the mirror and the router's view."""

import time

from absl import logging

from turmericward import configuration, fleet, membership, runtime, schema
from turmericward.adapters import errors, instances, steward
from turmericward.entry import _router_task
from turmericward.wire import ttypes

LONG_POLL_S = 2.0
HOLD_LONG_POLL_S = 0.1
STEWARD_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.1
FAILBACK_INTERVAL_S = 1.0
ROUTER_TIMEOUT_S = 10.0


class FollowLoop(runtime.Loop):
    """Follows the local steward, or a peer's while the local one is unavailable."""

    def __init__(self, cfg, name: str, mirror, router: runtime.Task) -> None:
        """Creates the loop.

        Args:
            cfg: settings of the instance.
            name: name of this entry process.
            mirror: receives the resources.
            router: receives the views.
        """
        super().__init__()
        self._cfg = cfg
        self._name = name
        self._mirror = mirror
        self._router = router
        self._views = fleet.ViewBuilder(
            cfg.instance.name, cfg.instance.domain, cfg.entry.engines_per_model
        )
        self._local_address = f"{cfg.instance.address}:{cfg.steward.port}"
        self._client = steward.StewardClient(self._local_address, STEWARD_TIMEOUT_S)
        self._fleet_version = -1
        self._drained: list[str] = []
        self._has_holds = False
        self._peers: list[str] = []
        self._steward_index = 0
        self._failback_at = 0.0

    def stewards(self) -> list[str]:
        """Returns the addresses of all known stewards, the local one first."""
        seeds = self._cfg.steward.seeds
        return list(dict.fromkeys([self._local_address, *self._peers, *seeds]))

    def stop(self) -> None:
        """Stops the loop; a poll in progress is aborted."""
        super().stop()
        self._client.abort()

    def run_once(self) -> None:
        """Polls the steward once and applies the response."""
        self._fail_back()
        wait_s = HOLD_LONG_POLL_S if self._has_holds else LONG_POLL_S
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
            self.pause(RETRY_DELAY_S)
            return
        self._apply(answer)

    def _fail_over(self, exc: Exception) -> None:
        if self.stopping:
            return
        logging.warning("polling the steward failed: %s", exc)
        addresses = self.stewards()
        self._steward_index = (self._steward_index + 1) % len(addresses)
        self._connect(addresses[self._steward_index])
        self.pause(RETRY_DELAY_S)

    def _fail_back(self) -> None:
        # Only the local steward accepts confirmations of holds.
        if (
            self._client.address == self._local_address
            or time.monotonic() < self._failback_at
        ):
            return
        self._steward_index = 0
        self._connect(self._local_address)

    def _connect(self, address: str) -> None:
        self._client.close()
        self._client = steward.StewardClient(address, STEWARD_TIMEOUT_S)
        if self.stopping:
            # `stop` may have aborted the client before.
            self._client.abort()
        self._fleet_version = -1
        self._failback_at = time.monotonic() + FAILBACK_INTERVAL_S

    def _apply(self, answer: ttypes.FollowAnswer) -> None:
        resources = [_resource(r) for r in answer.resources]
        accepted = self._mirror.update(
            answer.applied, resources, is_snapshot=answer.whole
        )
        if accepted:
            self._views.update(resources, replace_all=answer.whole)
        else:
            # A restarted steward may be behind the state of this entry.
            self.pause(RETRY_DELAY_S)
        now = time.monotonic()
        holds = [_hold(h, now) for h in answer.holds]
        view = self._views.view(
            frozenset(i.name for i in answer.instances if i.leaving),
            {load.engine: _load(load, now) for load in answer.loads},
        )
        message = _router_task.SetView(view=view, holds=holds, released=answer.released)
        # Without the router's answer no hold is confirmed.
        self._drained = []
        self._drained = self._router.ask(message).result(ROUTER_TIMEOUT_S)
        self._has_holds = bool(holds)
        self._fleet_version = answer.fleet_version
        self._update_peers(answer.instances)

    def _update_peers(self, listed: list[ttypes.Instance]) -> None:
        entries = [i for i in listed if i.kind == instances.ENTRY]
        same_domain = [i for i in entries if i.domain == self._cfg.instance.domain]
        other_domains = [i for i in entries if i.domain != self._cfg.instance.domain]
        addresses = [
            f"{i.address}:{self._cfg.steward.port}" for i in same_domain + other_domains
        ]
        if addresses:
            self._peers = addresses

    def release_resources(self) -> None:
        """Closes the connection to the steward."""
        self._client.close()


def _resource(res: ttypes.Resource) -> configuration.Resource:
    value = None if res.deleted else schema.loads(res.value_json, "resource")
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
