"""Loads module-level functions named test_* as unittest cases."""

import importlib
import inspect
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parent
LONG_MODULES = ("tests.test_scenarios", "tests.test_soak")


class FunctionTest(unittest.FunctionTestCase):
    """A test case whose id is the module and name of its function."""

    def id(self) -> str:
        return f"{self._testFunc.__module__}.{self._testFunc.__name__}"

    def __str__(self) -> str:
        return self.id()

    def shortDescription(self) -> None:  # noqa: N802
        """Returns None, so that unittest prints the id only."""


def module_suite(module) -> unittest.TestSuite:
    functions = [
        function
        for name, function in inspect.getmembers(module, inspect.isfunction)
        if name.startswith("test_") and function.__module__ == module.__name__
    ]
    functions.sort(key=lambda f: (f.__code__.co_firstlineno, f.__name__))
    return unittest.TestSuite(FunctionTest(f) for f in functions)


def _module_names() -> list[str]:
    return [f"tests.{path.stem}" for path in sorted(ROOT.glob("test_*.py"))]


def units() -> list[str]:
    """Returns names that `load` takes and that together cover all tests.

    Tests of a module with long ones are units of their own and come first.
    """
    single = [test.id() for test in load(list(LONG_MODULES))]
    return single + [name for name in _module_names() if name not in LONG_MODULES]


def _load(name: str) -> list[unittest.TestCase]:
    module, _, function = name.partition(":")
    if module not in _module_names():
        module, _, _ = name.rpartition(".")
        return [t for t in _tests_of(module) if t.id() == name]
    return [t for t in _tests_of(module) if function in t.id()]


def _tests_of(module: str) -> list[unittest.TestCase]:
    return list(module_suite(importlib.import_module(module)))


def load(names: list[str]) -> unittest.TestSuite:
    """Returns the tests with these names, or all.

    A name is that of a module, of one test, or MODULE:TEXT for the module's tests whose
    names hold the text.
    """
    suite = unittest.TestSuite()
    for name in names or _module_names():
        suite.addTests(_load(name))
    return suite
