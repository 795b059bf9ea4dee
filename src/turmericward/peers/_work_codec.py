"""Encoding of the workspaces' work in datagrams."""

from turmericward import sharing
from turmericward.peers import _fields
from turmericward.wire.peers import ttypes

# No front has so many services; more are malformed.
MAX_SERVICES = 1_000
# All rates, waits and numbers of waits are sent as whole thousandths: at each of
# hundreds of fronts a workspace may ask for less than a millisecond a second.
THOUSANDTHS = 1000


def encode(work: sharing.Work | None) -> list[ttypes.ServiceWork] | None:
    """Returns the field of a datagram; None if the work is as told before."""
    if work is None:
        return None
    return [_encode_service(service, part) for service, part in work.items()]


def _encode_service(service: int, part: sharing.ServiceWork) -> ttypes.ServiceWork:
    return ttypes.ServiceWork(
        service_id=service,
        served_per_s=_thousandths(part.served),
        others_per_s=_thousandths(part.others),
        others_count=_fields.int32(part.others_count),
        heaviest=[
            ttypes.WorkspaceWork(workspace=workspace, per_s=_thousandths(per_s))
            for workspace, per_s in part.heaviest.items()
        ],
        waits=_fields.int32(part.pressure.total * THOUSANDTHS),
        samples=_fields.int32(part.pressure.samples * THOUSANDTHS),
    )


def _thousandths(value: float) -> int:
    return _fields.int64(round(value * THOUSANDTHS))


def decode(
    rows: list[ttypes.ServiceWork] | None,
) -> dict[int, sharing.ServiceWork] | None:
    """Returns the work by service; None if the field is missing.

    Raises:
        _fields.MalformedStateError: a field of a row is missing.
    """
    if rows is None:
        return None
    if len(rows) > MAX_SERVICES:
        raise _fields.MalformedStateError(f"work at {len(rows)} services")
    return {row.service_id: _decode_service(row) for row in rows}


def _decode_service(row: ttypes.ServiceWork) -> sharing.ServiceWork:
    _fields.require(row.service_id, row.served_per_s, row.others_per_s)
    _fields.require(row.others_count, row.heaviest, row.waits, row.samples)
    for workspace in row.heaviest:
        _fields.require(workspace.workspace, workspace.per_s)
    part = sharing.ServiceWork(
        served=max(0, row.served_per_s) / THOUSANDTHS,
        others=max(0, row.others_per_s) / THOUSANDTHS,
        others_count=max(0, row.others_count),
        heaviest={w.workspace: max(0, w.per_s) / THOUSANDTHS for w in row.heaviest},
        pressure=sharing.Pressure(
            total=max(0, row.waits) / THOUSANDTHS,
            samples=max(0, row.samples) / THOUSANDTHS,
        ),
    )
    return part.limited_to(sharing.MAX_SUMMED_WORKSPACES)
