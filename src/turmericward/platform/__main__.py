"""Entry point of `python -m turmericward.platform`."""

from turmericward.platform import _program

if __name__ == "__main__":
    _program.main()
