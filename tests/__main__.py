"""Runs the named tests, or all, and prints one line of totals."""

import os
import pathlib
import sys
import unittest

from tests import loading

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def _known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line.split()[1] for line in lines if line.startswith("test: "))


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


def main() -> int:
    suite = loading.load(sys.argv[1:])
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=2, resultclass=_Result
    )
    result = runner.run(suite)
    for name in result.red:
        print(f"known red, passed over: {name}")
    failed = len(result.failures) + len(result.errors)
    skipped = len(result.skipped)
    print(f"{result.passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    # Skips the join of non-daemon threads that a failed test left running.
    os._exit(status)
