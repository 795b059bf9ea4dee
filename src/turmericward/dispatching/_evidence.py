"""What a call has in common with others, by kind of evidence."""

from collections.abc import Callable

from turmericward import requests
from turmericward.dispatching import _messages

# Keys of a call, each with its name in log lines.
Keys = dict[int, str]
Found = dict[requests.EvidenceKind, Keys]
_Reader = Callable[[_messages.Place], Keys]
_READERS: dict[requests.EvidenceKind, _Reader] = {}


def _reads(kind: requests.EvidenceKind) -> Callable[[_Reader], _Reader]:
    """Registers a function that returns a call's keys of a kind."""

    def register(reader: _Reader) -> _Reader:
        _READERS[kind] = reader
        return reader

    return register


@_reads(requests.EvidenceKind.SEGMENT)
def _shared_segments(message: _messages.Place) -> Keys:
    prompt = message.call.prompt
    return {} if prompt is None else prompt.shared_ids


@_reads(requests.EvidenceKind.REQUEST)
def _whole_request(message: _messages.Place) -> Keys:
    return {message.fingerprint: message.call.route.name}


def keys_of(message: _messages.Place) -> Found:
    """Returns the keys of a call, of each kind."""
    return {kind: reader(message) for kind, reader in _READERS.items()}
