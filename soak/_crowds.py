"""Clients inside all limits whose requests cost a front more than usual ones do."""

import contextlib
import http.client
import pathlib
import random
import re
import resource
import socket
import time

from soak import _evidence, _fleet, _scene

CLIENTS = 6
LENGTH_S = 5.0
TIMEOUT_S = 5.0
RETRY_S = 0.1
# Of each client; the time is for a front that doesn't answer.
PROMPTS = 15
MAX_SENDING_S = 60.0
# As many segments as make a long prompt, with a token each.
SEGMENTS = 2_500
OWN_TOKENS = 250
# More than a front has connections, with the descriptors of a front of the soak.
HOLDERS = 4_200
SHORT_REQUEST = (
    "POST /job/x HTTP/1.1\r\nHost: {host}\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\nq\r\n"
)
ANSWERED_WITHIN_S = 2.0
ID_BITS = 40


@_scene.fault(_scene.UNPLANNED)
def many_segments(scene: _scene.Scene) -> None:
    """Clients of a front send prompts of many segments, which no two of them share."""
    front = scene.pick_front()
    if front is None:
        return
    try:
        scene.evidence.count_fault(scene.name)
        rngs = [random.Random(scene.rng.random()) for _ in range(CLIENTS)]
        threads = [_scene.start(_send_prompts, front, rng) for rng in rngs]
        for thread in threads:
            thread.join()
        scene.evidence.memory_peaks.append(
            _evidence.MemoryPeak(front=front.name, mb=_peak_mb(front.process.pid))
        )
    finally:
        front.busy.release()


@_scene.fault(_scene.UNPLANNED)
def hold_connections(scene: _scene.Scene) -> None:
    """Clients whose bodies stop short stay, as many as a front has connections."""
    front = scene.pick_front()
    if front is None:
        return
    try:
        with contextlib.ExitStack() as stack:
            if not _raise_descriptor_limit():
                return
            scene.evidence.count_fault(scene.name)
            for _ in range(HOLDERS):
                stack.enter_context(_stop_short(front))
            crowded = _evidence.Crowded(front=front.name)
            scene.evidence.crowded.append(crowded)
            until = time.monotonic() + LENGTH_S
            threads = [
                _scene.start(_call_beside, front, crowded, until)
                for _ in range(CLIENTS)
            ]
            for thread in threads:
                thread.join()
    finally:
        front.busy.release()


def _raise_descriptor_limit() -> bool:
    """Returns whether this process may open enough descriptors."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < 2 * HOLDERS:
        return False
    soft = hard if hard != resource.RLIM_INFINITY else 2 * HOLDERS
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return True


@contextlib.contextmanager
def _stop_short(front: _fleet.Front):
    """Opens a connection whose request has no end."""
    host, _, port = front.address.rpartition(":")
    with socket.socket() as sock:
        sock.settimeout(TIMEOUT_S)
        with contextlib.suppress(OSError):
            sock.connect((host, int(port)))
            sock.sendall(SHORT_REQUEST.format(host=_fleet.HOST).encode())
        yield


def _call_beside(front: _fleet.Front, crowded: _evidence.Crowded, until: float) -> None:
    """Sends calls, each on a connection of its own."""
    while time.monotonic() < until:
        conn = http.client.HTTPConnection(front.address, timeout=ANSWERED_WITHIN_S)
        answered = False
        with (
            contextlib.closing(conn),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            conn.request("GET", "/read/x", headers={"Host": _fleet.HOST})
            conn.getresponse().read()
            answered = True
        crowded.answered.append(answered)
        time.sleep(RETRY_S)


def _send_prompts(front: _fleet.Front, rng: random.Random) -> None:
    until = time.monotonic() + MAX_SENDING_S
    for _ in range(PROMPTS):
        if time.monotonic() >= until:
            return
        conn = http.client.HTTPConnection(front.address, timeout=TIMEOUT_S)
        try:
            conn.request("POST", "/ask/x?events=2", b"q", _headers(rng))
            conn.getresponse().read()
        except (OSError, http.client.HTTPException):
            # The front has ended; the promise about its memory tells why.
            time.sleep(RETRY_S)
        finally:
            conn.close()


def _headers(rng: random.Random) -> dict[str, str]:
    segments = [f"{rng.getrandbits(ID_BITS):x}:1" for _ in range(SEGMENTS)]
    return {
        "Host": _fleet.HOST,
        "Turmericward-Attempt-Id": f"{rng.getrandbits(ID_BITS):x}",
        "Turmericward-Model-Id": "m",
        "Turmericward-Token-Count": f"{SEGMENTS + OWN_TOKENS},8",
        "Turmericward-Prompt-Prefix": ",".join([*segments, f"ff:{OWN_TOKENS}"]),
    }


def _peak_mb(pid: int) -> float:
    """Returns the most memory that a process has held, 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    match = re.search(r"VmHWM:\s+(\d+) kB", text)
    return int(match[1]) / 1024 if match else 0.0
