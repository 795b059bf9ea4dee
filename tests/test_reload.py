"""Reloading of the settings file while a front runs."""

import contextlib
import json
import pathlib
import signal
import tempfile
import threading

from tests import fixtures, platform_fixtures
from turmericward import settings
from turmericward.platform import _reload, _settings

check = fixtures.check
SETTINGS = {
    "instance": {"name": "front-1", "domain": "a", "address": "127.0.0.1"},
    "listen": {
        "front": "127.0.0.1:1",
        "ready": "127.0.0.1:2",
        "peers": 3,
        "metrics": 4,
    },
    "store": {"address": "127.0.0.1:5", "wait_s": 0.5, "timeout_s": 0.5},
    "limits": {"file_descriptors": 4096, "memory_mb": 300},
    "bounds": {
        "drain_s": 8,
        "retry_share": 0.2,
        "retry_slack": 50,
        "retry_window_s": 10,
        "order_gap_ms": 500,
    },
}


class _File:
    """A settings file with a reload loop that is run one iteration at a time."""

    def __init__(self, directory: str) -> None:
        self.applied = []
        self._path = pathlib.Path(directory) / "settings.json"
        self._path.write_text(json.dumps(SETTINGS))
        cfg = settings.load(str(self._path), _settings.Settings)
        self._loop = _reload.ReloadLoop(str(self._path), cfg, self.applied.append)

    def write(self, text: str) -> None:
        self.write_bytes(text.encode())

    def write_bytes(self, raw: bytes) -> None:
        self._path.write_bytes(raw)
        self._loop.request_reload()
        self._loop.run_once()

    def change(self, section: str, **values) -> None:
        self.write(json.dumps(SETTINGS | {section: SETTINGS[section] | values}))


@contextlib.contextmanager
def _file():
    with tempfile.TemporaryDirectory() as directory:
        yield _File(directory)


def test_bounds_and_store_address_are_applied_without_a_restart():
    with _file() as file:
        file.change("bounds", retry_slack=7)
        check.assertEqual(file.applied[-1].bounds.retry_slack, 7)
        file.change("store", address="127.0.0.1:6")
        check.assertEqual(file.applied[-1].store.address, "127.0.0.1:6")


def test_settings_that_need_a_restart_are_only_logged():
    with _file() as file, check.assertLogs("absl", "WARNING") as logs:
        file.change("listen", peers=9)
    check.assertEqual(file.applied, [])
    check.assertIn("listen.peers", logs.output[0])


def test_an_invalid_file_is_ignored_and_each_error_logged_once():
    with _file() as file, check.assertLogs("absl", "ERROR") as logs:
        for _ in range(3):
            file.write('{"store": ')
        file.change("bounds", retry_slack=-1, retry_share="much")
    check.assertEqual(file.applied, [])
    check.assertEqual(len(logs.output), 2)
    check.assertIn("bounds.retry_share", logs.output[1])


def test_an_unchanged_file_is_not_applied():
    with _file() as file:
        file.write(json.dumps(SETTINGS))
        check.assertEqual(file.applied, [])


def test_stop_wakes_the_waiting_loop():
    with _file() as file:
        thread = threading.Thread(target=file._loop.run)
        thread.start()
        file._loop.stop()
        thread.join(2)
        check.assertFalse(thread.is_alive())


def test_sighup_reloads_the_settings_of_a_running_front():
    with platform_fixtures.platform(("p1",)) as platform:
        platform.wait_ready()
        value = json.loads(platform.settings.read_text())
        value["bounds"]["retry_slack"] = 9
        platform.settings.write_text(json.dumps(value))
        platform.process.send_signal(signal.SIGHUP)
        platform_fixtures.launch.wait_until(
            lambda: "settings changed: bounds.retry_slack" in platform.log.read_text(),
            what="settings applied",
        )
        check.assertTrue(platform.is_ready())
