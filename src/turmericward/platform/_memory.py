"""Asks the platform's replicas which parts of prompts they keep."""

import json
from collections.abc import Callable

import attrs

from turmericward import delivery, fleet, requests, runtime, schema
from turmericward.adapters import _request, errors
from turmericward.platform import _headers, _notices

TIMEOUT_S = 1.0


@attrs.frozen(kw_only=True)
class _Listing:
    # Rows of an empty text, a part's id, its tokens and the model.
    held: list[list]


class ReplicaMemory:
    """Lists replicas' memory; see `delivery.EngineMemory`."""

    def __init__(self, notice: Callable[[delivery.TargetNotice], None]) -> None:
        """Creates the lister.

        Args:
            notice: takes what replicas say of themselves.
        """
        self._notice = notice

    def kept(self, target: fleet.Target) -> tuple[tuple[int, int], ...]:
        """Returns the numbers of the parts that a replica keeps, with their tokens."""
        headers = ((_headers.EXPECTED_TARGET, target.name),)
        req = _request.Request(method="GET", path="/api/kv-list", headers=headers)
        until = runtime.now() + TIMEOUT_S
        conn = _request.connect(target.address, TIMEOUT_S)
        with _request.closing(conn):
            _request.send(conn, target.address, req)
            resp = _request.answer_head(conn, target.address)
            _notices.pass_on(resp, target, self._notice)
            raw = _request.read_whole(conn, resp, target.address, until)
        if resp.status != 200:
            raise errors.AnswerLostError(f"{target.name} lists {resp.status}")
        return decode(raw, target.name)


def decode(raw: bytes, name: str) -> tuple[tuple[int, int], ...]:
    """Decodes the listing of the replica `name`.

    Raises:
        AnswerLostError: it isn't a listing.
    """
    try:
        found = schema.structure(json.loads(raw), _Listing, "listing", extra=True)
        return tuple(_part(*row) for row in found.held)
    except (ValueError, TypeError) as exc:
        raise errors.AnswerLostError(f"{name}: {exc}") from exc


def _part(_: str, part_id: str, tokens: int, model: str) -> tuple[int, int]:
    return requests.part_number(str(model), str(part_id)), int(tokens)
