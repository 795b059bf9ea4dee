"""Client of the platform's list of running and leaving instances."""

import attrs

from turmericward import schema, telemetry
from turmericward.adapters import _json_http, errors

ENTRY = "entry"
TARGET = "target"


def _ip(instance, attribute, value) -> None:
    """Accepts an IP address with or without a port."""
    try:
        schema.validators.ip_literal(instance, attribute, value)
    except ValueError:
        schema.validators.ip_port(instance, attribute, value)


@attrs.frozen(kw_only=True)
class Instance:
    """One listed instance; `kind` is `entry` or `target`."""

    kind: str = attrs.field(validator=schema.validators.label)
    name: str = attrs.field(validator=schema.validators.label)
    domain: str = attrs.field(validator=schema.validators.label)
    address: str = attrs.field(validator=_ip)
    leaving: bool


@attrs.frozen(kw_only=True)
class _Listing:
    instances: list[dict]


class InstanceListClient:
    """Reads the instance list; not thread-safe."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client; it connects on the first read."""
        self._client = _json_http.JsonClient(address, timeout_s)
        self._rejections = telemetry.Rejections()

    def read(self) -> list[Instance]:
        """Returns all listed instances whose row can be used.

        Raises:
            InstanceListUnavailableError: no usable response was received.

        .. versionadded:: 0.1.0
        """
        try:
            resp = self._client.request("GET", "/instances")
            listing = schema.structure(resp.body, _Listing, "instance list", extra=True)
        except _json_http.ERRORS as exc:
            raise errors.InstanceListUnavailableError(repr(exc)) from exc
        rows = (self._decode(row) for row in listing.instances)
        return [row for row in rows if row is not None]

    def _decode(self, row: dict) -> Instance | None:
        try:
            return schema.structure(row, Instance, "instance", extra=True)
        except schema.SchemaError as exc:
            key = schema.printable(repr(row.get("name")))
            self._rejections.add("instances", key, str(exc))
            return None

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()
