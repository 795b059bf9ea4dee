"""Each text file in the folder scenarios is one test."""

from tests import scenarios


def _test_of(path):
    def test() -> None:
        scenarios.run(path)

    test.__name__ = f"test_{path.stem}"
    return test


for _path in sorted(scenarios.FOLDER.glob("*.txt")):
    globals()[f"test_{_path.stem}"] = _test_of(_path)
