"""Output of the command `front-status`."""

from click import testing

from standins import loopback
from tests import fixtures, platform_fixtures
from turmericward.programs import cli

check = fixtures.check


def _front_status(address: str):
    return testing.CliRunner().invoke(cli.main, ["front-status", address])


def test_output_shows_configuration_targets_and_retry_budget():
    with platform_fixtures.platform() as platform:
        platform.call("GET", "/read/x", "c1")
        platform.announce("m2", state="draining")
        platform_fixtures.launch.wait_until(
            lambda: "(leaving)" in _front_status(platform.metrics).output,
            what="m2 leaving",
        )
        result = _front_status(platform.metrics)
        check.assertEqual(result.exit_code, 0)
        lines = result.output.splitlines()
        check.assertEqual(lines[0], "front front-1 in a, configuration 3")
        check.assertIn("service plain: ", result.output)
        (leaving,) = [line for line in lines if "(leaving)" in line]
        check.assertIn("target m2 of model decode at", leaving)


def test_an_unreachable_front_is_reported_as_an_error():
    (port,) = loopback.free_ports(1)
    result = _front_status(f"127.0.0.1:{port}")
    check.assertNotEqual(result.exit_code, 0)
    check.assertIn("refused", result.output)
