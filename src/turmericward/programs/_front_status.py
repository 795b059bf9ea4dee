"""Fetches a front's `/status` page and formats it as text."""

import http.client

from turmericward import schema
from turmericward.adapters import _address

TIMEOUT_S = 3.0


def fetch(address: str) -> dict:
    """Returns the status of the front with this metrics address.

    Raises:
        OSError: the connection failed.
        ValueError: the response isn't a status.
    """
    host, port = _address.split(address)
    conn = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        conn.request("GET", "/status")
        resp = conn.getresponse()
        raw = resp.read()
    except http.client.HTTPException as exc:
        raise OSError(f"{address}: {exc!r}") from exc
    finally:
        conn.close()
    if resp.status != 200:
        raise ValueError(f"{address} answers {resp.status}")
    return schema.loads(raw, address)


def lines(status: dict) -> list[str]:
    """Returns the status as lines: the front, its peers, services and targets."""
    output = [
        f"front {status['front']} in {status['domain']}, "
        f"configuration {status['version']}"
    ]
    for peer, age_s in sorted(status["peer_ages_s"].items()):
        output.append(f"peer {peer}: heard {age_s:.1f} s ago")
    for service, retries in sorted(status["retries_left"].items()):
        output.append(f"service {service}: {retries:.1f} retries left")
    for barred in status.get("barred", ()):
        output.append(
            f"{barred['kind']} {barred['key']} ({barred['id'] or 'not seen here'}): "
            f"barred for {barred['barred_s']:.0f} s after {barred['crashes']} crashes"
        )
    for row in status.get("workspaces", ()):
        share = row["share_per_s"]
        bound = "not limited" if share is None else f"share {share:.0f}/s"
        output.append(
            f"workspace {row['workspace']} of {row['service']}: "
            f"asks for {row['work_per_s']:.0f}/s, {bound}"
        )
    for target in sorted(status["targets"], key=lambda t: (t["service"], t["name"])):
        states = [name for name in ("leaving", "held") if target[name]]
        states += [] if target["usable"] else ["ejected"]
        if target["limit_per_s"] is not None:
            states.append(
                f"limit {target['limit_per_s']:g} requests/s, "
                f"{target['limit_share_per_s']:.2f} of them from this front"
            )
        if target["failure_share"]:
            states.append(f"{target['failure_share']:.0%} of calls failed")
        output.append(
            f"target {target['name']} of {target['service']} {target['role']} "
            f"at {target['address']} in {target['domain']}: "
            f"{target['open_calls']} open calls, {target['urgent_tokens']} tokens "
            f"to read, {target['deferred_tokens']} deferred"
            + (f" ({', '.join(states)})" if states else "")
        )
    return output
