"""Role orders to the platform's replicas, and the lease that authorizes them."""

import json

import attrs

from turmericward import (
    authority,
    dispatching,
    feeds,
    fleet,
    positions,
    runtime,
    schema,
    telemetry,
)
from turmericward.adapters import _request, errors
from turmericward.platform import _headers, _notices, _records, _store

LEASE_TOPIC = "keyed.leases"
LEASE_KEY = "roles"
JOURNAL_KEY = "duties"
TIMEOUT_S = 1.0
# Term of an on-demand lease, the same on all fronts.
TERM_S = 6.0
MAX_LEASE_BYTES = 16 * 1024
MAX_REPORT_BYTES = 1024 * 1024


@attrs.frozen(kw_only=True)
class _Report:
    stage: str = attrs.field(
        validator=schema.validators.one_of(*_records.ENGINE_STAGES)
    )
    # Whether the replica is executing an order.
    busy: bool
    # Number of orders accepted since the replica started.
    sequence: int


class StoreLease:
    """Stores the lease as the latest record of a key in the platform's store."""

    def __init__(
        self,
        client: _store.StoreClient,
        rejections: telemetry.Rejections | None = None,
    ) -> None:
        """Creates the lease log.

        Args:
            client: the store, for this object and a single thread.
            rejections: gets lease records that can't be used.
        """
        self._client = client
        self._rejections = rejections or telemetry.Rejections()

    def read(self) -> tuple[positions.Position, authority.Record | None]:
        """Returns the topic's end and the lease; see `delivery.LeaseLog`."""
        listing = self._client.newest(LEASE_TOPIC)
        leases = [r for r in listing.records if r.key == LEASE_KEY]
        if not leases:
            return listing.end, None
        return listing.end, self._decode(leases[0], listing.end.era)

    def read_state(self) -> dispatching.LogState:
        """Returns end, lease and journal; see `dispatching.DutyLog`."""
        listing = self._client.newest(LEASE_TOPIC)
        newest = {record.key: record for record in listing.records}
        lease, journal = newest.get(LEASE_KEY), newest.get(JOURNAL_KEY)
        return dispatching.LogState(
            end=listing.end,
            lease=None if lease is None else self._decode(lease, listing.end.era),
            journal=None if journal is None else journal.value,
        )

    def append_journal(
        self, value: bytes, end: positions.Position
    ) -> positions.Position | None:
        """Replaces the journal if the topic still ends at `end`."""
        return self._client.put(
            LEASE_TOPIC, JOURNAL_KEY, value, expected_end=end.offset
        )

    def _decode(self, record: feeds.Record, era: int) -> authority.Record:
        """Decodes the lease; one that can't be used counts as just acquired.

        It may have replaced the record of a holder whose term hasn't ended.
        """
        try:
            value = schema.loads(record.value, "lease", max_bytes=MAX_LEASE_BYTES)
            return authority.decode(value)
        except (schema.SchemaError, authority.AuthorityError) as exc:
            self._rejections.add("leases", f"offset {record.offset}", str(exc))
            return authority.OnDemandAcquire(id="", holder="", era=era, term_s=TERM_S)

    def append(self, claim: authority.Claim) -> positions.Position | None:
        """Appends a claim; see `delivery.LeaseLog`."""
        value = json.dumps(authority.encode(claim.record)).encode()
        return self._client.put(
            LEASE_TOPIC, LEASE_KEY, value, expected_end=claim.end.offset
        )


class ReplicaOrders:
    """Sends role orders to replicas over HTTP."""

    def __init__(self, holder: str, notices: _notices.NoticeReader) -> None:
        """Creates the sender.

        Args:
            holder: names the front that holds the lease.
            notices: reads the headers of replicas' responses.
        """
        self._holder = holder
        self._notices = notices

    def state(self, target: fleet.Target) -> dispatching.RoleState:
        """Queries a replica's role state; see `delivery.Orders`."""
        status, raw = self._exchange(target, "GET", "/api/report", b"", None)
        if status != 200:
            raise errors.AnswerLostError(f"{target.name}: report has status {status}")
        try:
            report = schema.decode(
                raw, _Report, "report", extra=True, max_bytes=MAX_REPORT_BYTES
            )
        except schema.SchemaError as exc:
            raise errors.AnswerLostError(f"{target.name}: {exc}") from exc
        return dispatching.RoleState(
            role=fleet.EngineRole(report.stage),
            busy=report.busy,
            sequence=report.sequence,
        )

    def order(
        self, change: fleet.RoleChange, sequence: int, held: authority.Authority
    ) -> bool:
        """Orders a role change under the lease; see `delivery.Orders`."""
        body = {
            "opcode": "stage",
            "stage": change.role.value,
            "holder": self._holder,
            "fencing_token": held.token,
            "expected_sequence": sequence,
        }
        raw = json.dumps(body).encode()
        status, _ = self._exchange(change.target, "POST", "/api/order", raw, held)
        return status in (200, 202)

    def _exchange(self, target, method: str, path: str, body: bytes, held):
        headers = [(_headers.EXPECTED_TARGET, target.name)]
        if body:
            headers.append(("Content-Type", "application/json"))
        req = _request.Request(
            method=method, path=path, headers=tuple(headers), body=body
        )
        deadline = runtime.now() + TIMEOUT_S
        self._notices.count_request(target.address)
        conn = _request.connect(target.address, TIMEOUT_S)
        with _request.closing(conn):
            if held is None:
                _request.send(conn, target.address, req)
            else:
                _request.send_within_term(
                    conn, target.address, req, held, TIMEOUT_S, runtime.now
                )
            resp = _request.read_response_head(conn, target.address)
            self._notices.read(resp, target)
            return resp.status, _request.read_whole(
                conn, resp, target.address, deadline
            )
