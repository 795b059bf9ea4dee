"""Client of the platform's list of running and leaving instances."""

import attrs

from turmericward.adapters import _json_http, errors

ENTRY = "entry"
TARGET = "target"


@attrs.frozen(kw_only=True)
class Instance:
    """One listed instance; `kind` is `entry` or `target`."""

    kind: str
    name: str
    domain: str
    address: str
    leaving: bool


class InstanceListClient:
    """Reads the instance list; not thread-safe."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client; it connects on the first read."""
        self._client = _json_http.JsonClient(address, timeout_s)

    def read(self) -> list[Instance]:
        """Returns all listed instances.

        Raises:
            InstanceListUnavailableError: no usable response was received.

        .. versionadded:: 0.1.0
        """
        try:
            resp = self._client.request("GET", "/instances")
            return [Instance(**row) for row in resp.body["instances"]]
        except (*_json_http.ERRORS, TypeError, KeyError) as exc:
            raise errors.InstanceListUnavailableError(repr(exc)) from exc

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()
