"""Program of the front: settings, tasks, servers and signals."""

import os
import signal
import threading
import traceback
import zlib
from concurrent import futures

import click
from absl import logging

from turmericward import (
    authority,
    delivery,
    dispatching,
    feeds,
    httpd,
    memory,
    peers,
    positions,
    routing,
    runtime,
    schema,
    telemetry,
    transfer,
)
from turmericward.adapters import _address, _body_memory
from turmericward.platform import (
    _cache_listing,
    _duties,
    _follow,
    _headers,
    _ingress,
    _notices,
    _orders,
    _reload,
    _settings,
    _store,
    _transport,
    _usage_store,
)
from turmericward.programs import _common

WORKER_THREADS = 120
BYTES_PER_MB = 1024 * 1024
# Share of the memory for bodies of responses that are being received.
BODY_MEMORY_SHARE = 1 / 16
# Share of the memory for all that is held for clients and targets.
HELD_MEMORY_SHARE = 3 / 16
MAX_TRACEBACK_CHARS = 2000
BALANCER_LAG_S = 3.0
# Longer than targets are silent that are sound.
QUEUE_S = 2.0
STOP_TIMEOUT_S = 1.0
LAST_USAGE_TIMEOUT_S = 0.1
# After a store outage, replicas renew expired announcements within 2 s.
REANNOUNCE_GRACE_S = 2.5
# Bounds clock drift between two fronts plus the delay of one loop iteration.
CLOCK_MARGIN_S = 1.0
# Applies until a configuration sets client limits.
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
# Descriptors unavailable to client connections: files, connections to targets,
# listeners and peer sockets.
RESERVED_DESCRIPTORS = 400


class Front:
    """All tasks, loops and servers of one front process."""

    def __init__(self, cfg: _settings.Settings, path: str) -> None:
        """Creates all tasks and binds the listening sockets.

        Args:
            cfg: the settings.
            path: the settings file, polled for changes while the process runs.
        """
        self._cfg = cfg
        self._clients: list[_store.StoreClient] = []
        body_mb = cfg.limits.memory_mb * BODY_MEMORY_SHARE
        _body_memory.shared.limit_bytes = int(body_mb * BYTES_PER_MB)
        metrics = telemetry.Metrics(None, "")
        account = memory.Account(
            cfg.limits.memory_mb * HELD_MEMORY_SHARE * BYTES_PER_MB, metrics.count
        )
        _body_memory.shared.account = account
        metrics.add_gauge("memory.held_bytes", lambda: account.held)
        metrics.add_gauge("memory.limit_bytes", lambda: int(account.bounds.total))
        self._rejections = telemetry.Rejections(metrics.count)
        self._eras = positions.Eras(lambda: metrics.count("store.new_eras"))
        self.reload = _reload.ReloadLoop(path, cfg, self._reconfigure)
        self._draining = threading.Event()
        self._drain = runtime.Drain(cfg.bounds.drain_s, lag_s=BALANCER_LAG_S)
        seed = zlib.crc32(cfg.instance.name.encode())
        sock = peers.open_socket(cfg.instance.address, cfg.listen.peers)
        peer_task = peers.PeerTask(
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
            usage_window_s=_duties.usage_window_s(cfg.duties),
        )
        self._peer_task = peer_task
        self._dispatch = dispatching.DispatchTask(
            name=cfg.instance.name,
            domain=cfg.instance.domain,
            seed=seed,
            grace_s=REANNOUNCE_GRACE_S,
            retries=_retry_bounds(cfg),
            publish=peer_task.publish_state,
            on_configured=self._apply_table,
            publish_began=self._publish_began(),
            link=_transfer_link(cfg),
            metrics=metrics,
        )
        for task in (self._dispatch, peer_task):
            task.on_rejected = self._on_message_rejected
        notices = _notices.NoticeReader(
            self._dispatch.post, lambda: self._dispatch.recently_limited
        )
        sink = _follow.ConfigurationSink(self._dispatch, self._rejections)
        configuration = self._follow_loop(
            _follow.CONFIGURATION_TOPIC,
            feeds.Topic.CONFIGURATION,
            self._configuration_pacing(),
            sink,
        )
        standing = self._standing_lease()
        loops = [
            peers.ReceiveLoop(sock, peer_task, self._rejections),
            self._announce_loop(),
            configuration,
            self._follow_loop(
                _follow.TARGETS_TOPIC,
                feeds.Topic.TARGETS,
                self._targets_pacing(),
                _follow.TargetsSink(self._dispatch, self._rejections),
            ),
            self._roles_loop(notices, standing),
            dispatching.CacheListingLoop(
                self._dispatch,
                _cache_listing.ReplicaCacheLister(notices),
                seed,
                lambda: peer_task.polls_targets,
            ),
            self.reload,
            *self._duty_loops(standing, metrics),
        ]
        self._group = runtime.Group([peer_task, self._dispatch, *loops], "front")
        ctx = delivery.Context(
            dispatch=self._dispatch,
            transport=_transport.ReplicaTransport(notices),
            metrics=metrics,
            drain=self._drain,
        )
        self._open_calls = ctx.open_calls
        limits = httpd.Limits(
            threads=WORKER_THREADS,
            max_body_bytes=DEFAULT_MAX_BODY_BYTES,
            connections=cfg.limits.file_descriptors - RESERVED_DESCRIPTORS,
            queue_s=QUEUE_S,
            id_header=_headers.CALL_ID,
            account=account,
        )
        address = _address.split(cfg.listen.front)
        ingress = _ingress.Ingress(
            ctx,
            seed,
            lambda: sink.is_in_force and runtime.now() < configuration.fresh_until,
        )
        self._server = httpd.Server(ingress, address, limits, self._drain)
        self._server.set_head_check(ingress.identification.check_head)
        readiness = _ingress.Readiness(
            self._dispatch, self._draining, lambda: self._server.is_full
        )
        self._server.add_probe(readiness, _address.split(cfg.listen.ready))
        metrics_address = (cfg.instance.address, cfg.listen.metrics)
        pages = _ingress.OperatorPages(metrics, self._dispatch)
        self._server.add_probe(pages, metrics_address)

    def _apply_table(self, table: routing.RoutingTable) -> None:
        if table.client_limits is not None:
            self._server.set_client_limits(table.client_limits)

    def _publish_began(self):
        if _duties.usage_window_s(self._cfg.duties) is None:
            return None
        return self._peer_task.post

    def _standing_lease(self) -> dispatching.StandingLease | None:
        cfg = self._cfg
        if not _duties.has_duties(cfg.duties):
            return None
        log = _orders.StoreLease(self._store_client(), self._rejections)
        gap_s = cfg.bounds.order_gap_ms / 1000
        return _duties.standing_lease(cfg.instance.name, gap_s, log, self._eras)

    def _duty_loops(
        self, lease: dispatching.StandingLease | None, metrics: telemetry.Metrics
    ) -> list[runtime.Loop]:
        if lease is None:
            return []
        ctx = _duties.DutyContext(
            settings=self._cfg.duties,
            peer_task=self._peer_task,
            dispatch=self._dispatch,
        )
        loops = _duties.loops(
            ctx, self._cfg.instance.name, lease, self._drain, metrics.count
        )
        if _duties.usage_window_s(self._cfg.duties) is not None:
            store = _usage_store.StoredUsage(self._store_client(), self._rejections)
            instance = self._cfg.instance
            loops.append(
                _duties.usage_store_loop(instance, self._peer_task, lease, store)
            )
        return loops

    def _roles_loop(
        self,
        notices: _notices.NoticeReader,
        standing: dispatching.StandingLease | None,
    ) -> dispatching.RolesLoop:
        order_gap_s = self._cfg.bounds.order_gap_ms / 1000
        timing = authority.Timing(
            term_s=_orders.TERM_S,
            renew_s=_orders.TERM_S,
            margin_s=order_gap_s + CLOCK_MARGIN_S,
            settle_s=order_gap_s + CLOCK_MARGIN_S,
        )
        holder = f"{self._cfg.instance.name}/{runtime.new_id()}"
        return dispatching.RolesLoop(
            self._dispatch,
            authority.OnDemandLease(holder, timing, runtime.new_id),
            _orders.StoreLease(self._store_client(), self._rejections),
            _orders.ReplicaOrders(holder, notices),
            self._eras,
            lambda: self._peer_task.polls_targets and not self._drain.began,
            standing,
            _duties.orders_replicas(self._cfg.duties),
        )

    def _configuration_pacing(self) -> feeds.Pacing:
        bound_s = self._cfg.bounds.configuration_ms / 1000
        return _follow.configuration_pacing(bound_s, self._cfg.store.wait_s)

    def _targets_pacing(self) -> feeds.Pacing:
        bound_s = self._cfg.bounds.leaving_ms / 1000
        return _follow.targets_pacing(bound_s, self._cfg.store.wait_s)

    def _follow_loop(
        self, name: str, topic: feeds.Topic, pacing: feeds.Pacing, sink: feeds.Sink
    ) -> feeds.FollowLoop:
        peer_task = self._peer_task
        loop = feeds.FollowLoop(
            self._store_client(),
            name,
            topic,
            pacing,
            sink,
            peer_task.publish_range,
            lambda: peer_task.reads_store,
            self._eras,
        )
        peer_task.subscribe(topic, loop.put_batch)
        return loop

    def _announce_loop(self) -> peers.AnnounceLoop:
        instance = self._cfg.instance
        announcement = peers.Announcement(
            host=instance.address,
            domain=instance.domain,
            capacity=_capacity(self._cfg.limits),
        )
        return peers.AnnounceLoop(
            self._store_client(),
            _follow.FRONTS_TOPIC,
            instance.name,
            announcement,
            self._on_announced,
            lambda: self._peer_task.post(peers.FrontsListed()),
            self._eras,
            self._rejections,
        )

    def _on_announced(self, front: str, announcement: peers.Announcement) -> None:
        self._peer_task.post(
            peers.Announced(
                front=front,
                host=announcement.host,
                domain=announcement.domain,
                capacity=announcement.capacity,
            )
        )

    def _on_message_rejected(self, message: object, exc: Exception) -> None:
        """Reports a message whose handler failed, once for each kind of failure."""
        key = f"{type(message).__name__}: {type(exc).__name__}"
        details = "".join(traceback.format_exception(exc))[-MAX_TRACEBACK_CHARS:]
        self._rejections.add("messages", key, f"{message!r:.300}: {details}")

    def _store_client(self) -> _store.StoreClient:
        store = self._cfg.store
        client = _store.StoreClient(
            store.address, store.timeout_s, self._eras, self._rejections
        )
        self._clients.append(client)
        return client

    def _reconfigure(self, cfg: _settings.Settings) -> None:
        for client in self._clients:
            client.set_server(cfg.store.address, cfg.store.timeout_s)
        self._dispatch.post(_retry_bounds(cfg))
        self._drain.set_length(cfg.bounds.drain_s)

    def run(self, stop: threading.Event) -> None:
        """Serves until `stop` is set, then drains and stops all tasks."""
        self._group.start()
        try:
            self._server.run(stop, self._begin_drain)
        finally:
            self._open_calls.log()
            self._publish_last_usage()
            self._group.stop(min(STOP_TIMEOUT_S, self._drain.until_end_s))

    def _publish_last_usage(self) -> None:
        if _duties.usage_window_s(self._cfg.duties) is None:
            return
        asked = self._dispatch.ask(dispatching.PublishBegan())
        # The process ends at its time, with or without them.
        futures.wait([asked], timeout=LAST_USAGE_TIMEOUT_S)

    def _begin_drain(self) -> None:
        logging.info("front drains")
        self._peer_task.post(peers.Drain())
        self._draining.set()


def _capacity(limits: _settings.LimitSettings) -> int:
    """Returns an instance's relative capacity: link Mbit/s times usable cores."""
    capacity = int(limits.link_mbps * limits.cores * limits.core_share)
    return min(capacity, schema.validators.MAX_INT32)


def _retry_bounds(cfg: _settings.Settings) -> dispatching.RetryBounds:
    return dispatching.RetryBounds(
        share=cfg.bounds.retry_share, slack=cfg.bounds.retry_slack
    )


def _transfer_link(cfg: _settings.Settings) -> transfer.Link | None:
    costs = cfg.transfer
    if costs is None:
        return None
    return transfer.Link(
        delay_s=costs.delay_ms / 1000,
        price_s=costs.price_ms / 1000,
        byte_price_s=costs.price_ms_per_mb / 1000 / BYTES_PER_MB,
    )


@click.command()
def main() -> None:
    """Serves clients' calls until SIGTERM, then drains open calls and exits."""
    path = os.environ.get(_settings.PATH_VARIABLE, "")
    cfg = _common.load_settings(path, _settings.Settings)
    telemetry.configure_logs("turmericward-front", cfg.instance.name, "info")
    stop = _common.stop_event()
    telemetry.log_event("front starts", domain=cfg.instance.domain)
    front = Front(cfg, path)
    signal.signal(signal.SIGHUP, lambda *_: front.reload.request_reload())
    front.run(stop)
    _common.exit_process()
