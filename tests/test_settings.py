"""Loading of settings: each error is reported with the path to the setting."""

import copy
import json
import pathlib

import click.testing

from tests import fixtures, test_router_task
from turmericward import settings
from turmericward.programs import cli

check = fixtures.check
DOCUMENT = test_router_task.DOCUMENT

INVALID = [
    ("instance.address", "localhost", "instance.address"),
    ("instance.name", "A0", "instance.name"),
    ("log.addres", "127.0.0.1:1", "log: has no field named addres"),
    ("log.address", "127.0.0.1", "log.address"),
    ("log.timeout_s", "2", "log.timeout_s: is a str where a float belongs"),
    ("entry.ports", [], "entry.ports"),
    ("entry.ports", "12", "entry.ports: is a str where a list belongs"),
    ("entry.classes", [], "entry.classes: is a list where a dict belongs"),
    ("log", [], "log"),
    ("entry.ports", [0], "entry.ports"),
    ("entry.threads", 5.5, "entry.threads: is a float where a int belongs"),
    ("entry.urgent_reserve", 64, "entry"),
    ("steward.renew_s", 4.0, "steward: renew_s is more than half of term_s"),
    ("operators", [{"name": "x"}], "operators[0].key_sha256: is missing"),
    ("operators", [{"name": "x", "key_sha256": "y"}], "operators[0].key_sha256"),
    ("log_level", "loud", "log_level"),
    ("unknown", 1, "settings: has no field named unknown"),
]


def _with(path: str, value) -> str:
    document = copy.deepcopy(DOCUMENT)
    section, dot, field = path.partition(".")
    (document[section] if dot else document)[field or section] = value
    return json.dumps(document)


def test_each_error_names_the_path_of_its_setting():
    for path, value, expected in INVALID:
        with check.assertRaises(settings.SettingsError, msg=path) as caught:
            settings.loads(_with(path, value))
        check.assertIn(expected, str(caught.exception))
    for text in ("", "[]", "nul", '"x"'):
        with check.assertRaises(settings.SettingsError):
            settings.loads(text)


def test_check_config_reports_by_its_exit_code():
    runner = click.testing.CliRunner()
    with runner.isolated_filesystem():
        pathlib.Path("good.json").write_text(json.dumps(DOCUMENT))
        pathlib.Path("bad.json").write_text(_with("entry.ports", [0]))
        good = runner.invoke(cli.main, ["check-config", "good.json"])
        bad = runner.invoke(cli.main, ["check-config", "bad.json"])
        absent = runner.invoke(cli.main, ["check-config", "absent.json"])
    check.assertEqual((good.exit_code, bad.exit_code, absent.exit_code), (0, 2, 2))
    check.assertIn("entry.ports", bad.output)


def test_the_settings_page_lists_every_setting():
    page = pathlib.Path("docs/settings.md").read_text(encoding="utf-8")
    for line in settings.schema_lines():
        check.assertIn(line, page)


def test_the_key_digest_is_not_in_the_repr():
    operator = settings.Operator(name="ops", key_sha256="ab" * 32)
    check.assertNotIn("abab", repr(operator))
