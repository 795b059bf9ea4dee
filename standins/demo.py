"""Demo that starts and configures a deployment, sends two requests and stops it."""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import click

from standins import launch


def _apply(cluster: launch.Cluster, address: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "resources.json"
        path.write_text(json.dumps(cluster.configuration()))
        command = [sys.executable, "-m", "turmericward.programs.cli"]
        command += ["--server", address, "--key", launch.OPERATOR_KEY]
        subprocess.run([*command, "apply", "-f", str(path)], check=True)


def _wait_configured(address: str, headers: dict) -> None:
    def listed() -> bool:
        status, _, body = launch.request(address, "GET", "/v1/models", None, headers)
        return status == 200 and bool(json.loads(body)["data"])

    launch.wait_until(listed, what="model in force")


def _post(address: str, path: str, value: dict, headers: dict) -> tuple[int, bytes]:
    """Sends a request; retries while it is refused, as a client would.

    That is while it wasn't run, or while its idempotency key can't be claimed.
    """
    deadline = time.monotonic() + launch.START_TIMEOUT_S
    while True:
        status, reply_headers, body = launch.request(
            address, "POST", path, value, headers
        )
        keyed = "Idempotency-Key" in headers
        refused = status == 503 and (keyed or b'"not_run"' in body)
        if not refused or time.monotonic() > deadline:
            return status, body
        click.echo(f"--- {path}: refused, retrying in {reply_headers['Retry-After']} s")
        time.sleep(float(reply_headers["Retry-After"]))


def _show(title: str, status: int, body: bytes) -> None:
    click.echo(f"--- {title}: status {status}")
    click.echo(body.decode().rstrip())
    if status != 200:
        raise SystemExit(f"{title} failed")


def main() -> None:
    """Runs the demo; exits with an error if a request fails."""
    with launch.Cluster() as cluster:
        node_a, node_b = cluster.nodes.values()
        click.echo("--- processes: " + ", ".join(cluster.processes))
        _apply(cluster, node_a.entries[0])
        headers = {"Authorization": f"Bearer {launch.TENANT_KEY}"}
        entry = node_b.entries[0]
        _wait_configured(entry, headers)
        chat = {
            "model": "small",
            "stream": True,
            "max_tokens": 5,
            "messages": [{"role": "user", "content": "Which fan is off?"}],
        }
        status, body = _post(entry, "/v1/chat/completions", chat, headers)
        _show("streamed chat completion", status, body)
        keyed = headers | {"Idempotency-Key": "demo-1"}
        status, body = _post(entry, "/services/alarm/dispatch", {"shed": 7}, keyed)
        _show("non-repeatable call", status, body)
        cluster.stop()
        click.echo("--- all processes ended with status 0")


if __name__ == "__main__":
    main()
