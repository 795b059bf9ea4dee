"""Loads module-level functions named test_* as unittest cases."""

import importlib
import inspect
import pathlib
import pkgutil
import unittest

ROOT = pathlib.Path(__file__).parent


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


def _all_modules() -> list[str]:
    names = [m.name for m in pkgutil.iter_modules([str(ROOT)])]
    return [f"tests.{name}" for name in sorted(names) if name.startswith("test_")]


def load(names: list[str]) -> unittest.TestSuite:
    suite = unittest.TestSuite()
    for name in names or _all_modules():
        module, _, function = name.partition(":")
        tests = module_suite(importlib.import_module(module))
        suite.addTests(t for t in tests if function in t.id())
    return suite
