"""Runs tests in this process and counts their results."""

import pathlib
import sys
import unittest

import attrs

from tests import loading

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def _known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line.split()[1] for line in lines if line.startswith("test: "))


@attrs.frozen(kw_only=True)
class Totals:
    """Numbers of tests by result, and the ids of known red tests that failed."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    red: tuple[str, ...] = ()

    def __add__(self, other: "Totals") -> "Totals":
        """Returns the totals of both runs."""
        return Totals(
            passed=self.passed + other.passed,
            failed=self.failed + other.failed,
            skipped=self.skipped + other.skipped,
            red=self.red + other.red,
        )


class _Result(unittest.TextTestResult):
    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.known_red = _known_red()
        self.red: list[str] = []
        self.passed = 0

    def addSuccess(self, test) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed += 1

    def addFailure(self, test, err) -> None:  # noqa: N802
        if test.id() in self.known_red:
            self.red.append(test.id())
        else:
            super().addFailure(test, err)

    def addError(self, test, err) -> None:  # noqa: N802
        if test.id() in self.known_red:
            self.red.append(test.id())
        else:
            super().addError(test, err)


def run(names: list[str]) -> Totals:
    """Runs the named tests, or all, and prints each result."""
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=2, resultclass=_Result
    )
    result = runner.run(loading.load(names))
    return Totals(
        passed=result.passed,
        failed=len(result.failures) + len(result.errors),
        skipped=len(result.skipped),
        red=tuple(result.red),
    )
