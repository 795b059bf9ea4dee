"""Role orders to the platform's replicas, and the lease that authorizes them."""

import json

import attrs

from turmericward import authority, delivery, fleet, positions, runtime, schema
from turmericward.adapters import _request, errors
from turmericward.platform import _headers, _notices, _records, _store

LEASE_TOPIC = "keyed.leases"
LEASE_KEY = "roles"
TIMEOUT_S = 1.0


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

    def __init__(self, client: _store.StoreClient) -> None:
        """Takes ownership of `client`, which serves a single thread."""
        self._client = client

    def read(self) -> tuple[positions.Position, authority.Record | None]:
        """Returns the topic's end and the lease; see `delivery.LeaseLog`."""
        listing = self._client.newest(LEASE_TOPIC)
        leases = [r for r in listing.records if r.key == LEASE_KEY]
        if not leases:
            return listing.end, None
        try:
            return listing.end, authority.decode(json.loads(leases[0].value))
        except (ValueError, authority.AuthorityError) as exc:
            raise errors.LogUnavailableError(f"lease: {exc}") from exc

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

    def state(self, target: fleet.Target) -> delivery.RoleState:
        """Queries a replica's role state; see `delivery.Orders`."""
        status, raw = self._exchange(target, "GET", "/api/report", b"", None)
        if status != 200:
            raise errors.AnswerLostError(f"{target.name}: report has status {status}")
        try:
            report = schema.structure(json.loads(raw), _Report, "report", extra=True)
        except ValueError as exc:
            raise errors.AnswerLostError(f"{target.name}: {exc}") from exc
        return delivery.RoleState(
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
