"""Client of the platform's list of live and leaving instances."""

import attrs

from turmericward.adapters import _json_http, errors

ENTRY = "entry"
TARGET = "target"


@attrs.frozen(kw_only=True)
class Instance:
    """One row of the list; `kind` is `entry` or `target`."""

    kind: str
    name: str
    domain: str
    address: str
    leaving: bool


class InstanceList:
    """Reads the list; not for use by several threads."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Creates the client, not yet connected."""
        self._client = _json_http.JsonClient(address, timeout_s)

    def read(self) -> list[Instance]:
        """Returns all rows.

        Raises:
            InstanceListUnavailableError: no usable answer came.

        .. versionadded:: 0.1.0
        """
        try:
            answer = self._client.request("GET", "/instances")
            return [Instance(**row) for row in answer.body["instances"]]
        except (*_json_http.ERRORS, TypeError, KeyError) as exc:
            raise errors.InstanceListUnavailableError(repr(exc)) from exc

    def close(self) -> None:
        """Closes the connection."""
        self._client.close()
