"""What operators are shown of a front's beliefs."""

from click import testing

from tests import fixtures, platform_fixtures
from turmericward.programs import cli

check = fixtures.check


def _shown(address: str):
    return testing.CliRunner().invoke(cli.main, ["front-status", address])


def test_a_front_tells_its_configuration_targets_and_budget():
    with platform_fixtures.platform() as found:
        found.call("GET", "/read/x", "c1")
        found.announce("m2", state="draining")
        platform_fixtures.launch.wait_until(
            lambda: "(leaving)" in _shown(found.metrics).output, what="m2 leaving"
        )
        result = _shown(found.metrics)
        check.assertEqual(result.exit_code, 0)
        lines = result.output.splitlines()
        check.assertEqual(lines[0], "front front-1 in a, configuration 3")
        check.assertIn("service plain: ", result.output)
        (leaving,) = [line for line in lines if "(leaving)" in line]
        check.assertIn("target m2 of model decode at", leaving)


def test_a_front_that_is_not_there_is_told_in_a_sentence():
    (port,) = platform_fixtures.launch.free_ports(1)
    result = _shown(f"127.0.0.1:{port}")
    check.assertNotEqual(result.exit_code, 0)
    check.assertIn("refused", result.output)
