"""Workspaces of callers, and the keys by which they are known."""

import hashlib
from collections.abc import Iterable, Mapping

import attrs

from turmericward.routing import _errors


@attrs.frozen(kw_only=True)
class Workspace:
    """A workspace; its `priority` replaces that of its calls' routes if it is set."""

    name: str
    priority: int | None = None


def key_digest(key: bytes) -> bytes:
    """Returns what is stored in place of a key: its SHA-256 digest."""
    return hashlib.sha256(key).digest()


class Workspaces:
    """The workspaces of one configuration, by the digests of their keys."""

    def __init__(self, by_digest: Mapping[bytes, Workspace]) -> None:
        """Takes the workspace of each key, which is given by its digest."""
        self._by_digest = dict(by_digest)

    @classmethod
    def of_keys(cls, keys: Iterable[tuple[str, Workspace]]) -> "Workspaces":
        """Creates them from pairs of a key and its workspace.

        The last pair counts if two have the same key; clients send keys in UTF-8.
        """
        return cls({key_digest(key.encode()): workspace for key, workspace in keys})

    def find(self, key: bytes) -> Workspace:
        """Returns the workspace that holds a key, given as the bytes on the wire.

        Raises:
            UnknownKeyError: none does; the error doesn't contain the key.
        """
        workspace = self._by_digest.get(key_digest(key)) if key else None
        if workspace is None:
            raise _errors.UnknownKeyError("the key is unknown" if key else "no key")
        return workspace
