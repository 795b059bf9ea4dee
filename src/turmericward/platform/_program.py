"""The front's program: settings, tasks, servers, signals."""

import os
import signal
import threading
import zlib

import click
from absl import logging

from turmericward import authority, delivery, feeds, httpd, peers, runtime, telemetry
from turmericward.adapters import _address
from turmericward.platform import (
    _follow,
    _ingress,
    _memory,
    _orders,
    _reload,
    _settings,
    _store,
    _transport,
)
from turmericward.programs import _common

THREADS = 120
BALANCER_LAG_S = 3.0
STOP_TIMEOUT_S = 1.0
# Announcements that expired with the store away are back within two seconds.
MISSING_GRACE_S = 2.5
LEASE_TERM_S = 6.0
# Bound on the drift between two fronts' clocks, and on a step's delay.
CLOCK_MARGIN_S = 1.0
# Until a configuration says it.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Not for clients' connections: files, connections to targets, listeners, peers.
RESERVED_DESCRIPTORS = 400


class Front:
    """One front process."""

    def __init__(self, cfg: _settings.Settings, path: str) -> None:
        """Creates all tasks and binds the listening sockets.

        Args:
            cfg: the settings.
            path: their file, read again while the process runs.
        """
        self._cfg = cfg
        self._clients: list[_store.StoreClient] = []
        self.reload = _reload.ReloadLoop(path, cfg, self._reconfigure)
        self._draining = threading.Event()
        seed = zlib.crc32(cfg.instance.name.encode())
        sock = peers.open_socket(cfg.instance.address, cfg.listen.peers)
        tell = peers.PeerTask(
            cfg.instance.name,
            cfg.instance.domain,
            cfg.listen.peers,
            sock,
            deliver=lambda state: self._dispatch.post(state),
            capacity=_capacity(cfg.limits),
            fresh_s={
                feeds.Topic.CONFIGURATION: self._configuration_pacing().fresh_s,
                feeds.Topic.TARGETS: self._targets_pacing().fresh_s,
            },
        )
        self._peers = tell
        self._dispatch = delivery.DispatchTask(
            name=cfg.instance.name,
            domain=cfg.instance.domain,
            seed=seed,
            grace_s=MISSING_GRACE_S,
            retries=_retry_bounds(cfg),
            tell=tell.tell,
            configured=self._apply,
        )
        loops = [
            peers.ReceiveLoop(sock, tell),
            self._announce(),
            self._follow(
                _follow.CONFIGURATION_TOPIC,
                feeds.Topic.CONFIGURATION,
                self._configuration_pacing(),
                _follow.ConfigurationSink(self._dispatch),
            ),
            self._follow(
                _follow.TARGETS_TOPIC,
                feeds.Topic.TARGETS,
                self._targets_pacing(),
                _follow.TargetsSink(self._dispatch),
            ),
            self._roles(),
            delivery.MemoryLoop(
                self._dispatch,
                _memory.ReplicaMemory(self._dispatch.post),
                seed,
                lambda: tell.asks,
            ),
            self.reload,
        ]
        self._group = runtime.Group([tell, self._dispatch, *loops], "front")
        metrics = telemetry.Metrics(None, "")
        ctx = delivery.Context(
            dispatch=self._dispatch,
            transport=_transport.ReplicaTransport(self._dispatch.post),
            metrics=metrics,
        )
        limits = httpd.Limits(
            threads=THREADS,
            max_body_bytes=MAX_BODY_BYTES,
            balancer_lag_s=BALANCER_LAG_S,
            connections=cfg.limits.file_descriptors - RESERVED_DESCRIPTORS,
        )
        address = _address.split(cfg.listen.front)
        self._server = httpd.Server(_ingress.Ingress(ctx, seed), address, limits)
        readiness = _ingress.Readiness(self._dispatch, self._draining)
        self._server.add_probe(readiness, _address.split(cfg.listen.ready))
        metrics_address = (cfg.instance.address, cfg.listen.metrics)
        pages = _ingress.OperatorPages(metrics, self._dispatch)
        self._server.add_probe(pages, metrics_address)

    def _apply(self, table: delivery.RoutingTable) -> None:
        if table.client_limits is not None:
            self._server.set_client_limits(table.client_limits)

    def _roles(self) -> delivery.RolesLoop:
        gap_s = self._cfg.bounds.order_gap_ms / 1000
        timing = authority.Timing(
            term_s=LEASE_TERM_S,
            renew_s=LEASE_TERM_S,
            margin_s=gap_s + CLOCK_MARGIN_S,
            settle_s=gap_s + CLOCK_MARGIN_S,
        )
        holder = f"{self._cfg.instance.name}/{runtime.new_id()}"
        return delivery.RolesLoop(
            self._dispatch,
            authority.BriefLease(holder, timing, runtime.new_id),
            _orders.StoreLease(self._store()),
            _orders.ReplicaOrders(holder),
            lambda: self._peers.asks,
        )

    def _configuration_pacing(self) -> feeds.Pacing:
        bound_s = self._cfg.bounds.configuration_ms / 1000
        return _follow.configuration_pacing(bound_s, self._cfg.store.wait_s)

    def _targets_pacing(self) -> feeds.Pacing:
        bound_s = self._cfg.bounds.leaving_ms / 1000
        return _follow.targets_pacing(bound_s, self._cfg.store.wait_s)

    def _follow(
        self, name: str, topic: feeds.Topic, pacing: feeds.Pacing, sink: feeds.Sink
    ) -> feeds.FollowLoop:
        tell = self._peers
        loop = feeds.FollowLoop(
            self._store(),
            name,
            topic,
            pacing,
            sink,
            tell.followed,
            lambda: tell.reads,
        )
        tell.follow(topic, loop.hear)
        return loop

    def _announce(self) -> peers.AnnounceLoop:
        instance = self._cfg.instance
        own = peers.Announcement(
            host=instance.address,
            domain=instance.domain,
            capacity=_capacity(self._cfg.limits),
        )
        return peers.AnnounceLoop(
            self._store(), _follow.FRONTS_TOPIC, instance.name, own, self._announced
        )

    def _announced(self, front: str, found: peers.Announcement) -> None:
        self._peers.post(
            peers.Announced(
                front=front,
                host=found.host,
                domain=found.domain,
                capacity=found.capacity,
            )
        )

    def _store(self) -> _store.StoreClient:
        store = self._cfg.store
        client = _store.StoreClient(store.address, store.timeout_s)
        self._clients.append(client)
        return client

    def _reconfigure(self, cfg: _settings.Settings) -> None:
        for client in self._clients:
            client.move(cfg.store.address, cfg.store.timeout_s)
        self._dispatch.post(_retry_bounds(cfg))

    def run(self, stop: threading.Event) -> None:
        """Serves until `stop` is set and the drain that follows has ended."""
        self._group.start()
        self._server.run(stop, self._stopping)
        self._group.stop(STOP_TIMEOUT_S)

    def _stopping(self) -> None:
        logging.info("front drains")
        self._peers.post(peers.Drain())
        self._draining.set()


def _capacity(limits: _settings.LimitSettings) -> int:
    """Returns what an instance can carry: link Mbit/s times cores."""
    return int(limits.link_mbps * limits.cores * limits.core_share)


def _retry_bounds(cfg: _settings.Settings) -> delivery.RetryBounds:
    return delivery.RetryBounds(
        share=cfg.bounds.retry_share, slack=cfg.bounds.retry_slack
    )


@click.command()
def main() -> None:
    """Serves clients' calls until SIGTERM, then ends without cutting any."""
    path = os.environ.get(_settings.PATH_VARIABLE, "")
    cfg = _common.load_settings(path, _settings.Settings)
    telemetry.configure_logs("turmericward-front", cfg.instance.name, "info")
    stop = _common.stop_event()
    # A signal that comes before the front can take it must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    telemetry.log_event("front starts", domain=cfg.instance.domain)
    front = Front(cfg, path)
    signal.signal(signal.SIGHUP, lambda *_: front.reload.ask())
    front.run(stop)
