"""Usage of domains in the platform's store, for when they are cut from the holder."""

import json

import attrs

from turmericward import metering, schema, telemetry
from turmericward.platform import _store

USAGE_TOPIC = "keyed.usage"
MAX_USAGE_BYTES = 1024 * 1024
MAX_COUNT = 2**30
MAX_WINDOW = 2**43


@attrs.frozen(kw_only=True)
class _Window:
    window: int = attrs.field(validator=schema.validators.between(0, MAX_WINDOW))
    counts: dict[str, int]


@attrs.frozen(kw_only=True)
class _Usage:
    unix_s: float
    windows: list[_Window]


class StoredUsage:
    """Keeps the newest usage of each domain; see `dispatching.UsageStore`."""

    def __init__(
        self, client: _store.StoreClient, rejections: telemetry.Rejections
    ) -> None:
        """Creates it.

        Args:
            client: the store, for this object and a single thread.
            rejections: gets records that can't be used.
        """
        self._client = client
        self._rejections = rejections

    def put(self, domain: str, usage: metering.Usage) -> None:
        """Replaces a domain's usage."""
        rows = [{"window": r.window, "counts": dict(r.counts)} for r in usage.windows]
        value = {"unix_s": usage.unix_s, "windows": rows}
        self._client.put(USAGE_TOPIC, domain, json.dumps(value).encode())

    def read(self) -> dict[str, metering.Usage]:
        """Returns the usage of each domain."""
        usages = {}
        for record in self._client.newest(USAGE_TOPIC).records:
            try:
                usages[record.key] = _decode(record.value)
            except schema.SchemaError as exc:
                self._rejections.add("usage", record.key, str(exc))
        return usages


def _decode(raw: bytes) -> metering.Usage:
    value = schema.decode(raw, _Usage, "usage", max_bytes=MAX_USAGE_BYTES)
    return metering.Usage(
        unix_s=value.unix_s,
        windows=tuple(
            metering.WindowUsage(
                window=row.window,
                counts={n: min(max(0, c), MAX_COUNT) for n, c in row.counts.items()},
                domain=True,
            )
            for row in value.windows
        ),
    )
