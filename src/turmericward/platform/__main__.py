"""Entry point of `python -m turmericward.platform`."""

import signal

# By default SIGHUP would end the process, also while it imports the rest.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    from turmericward.platform import _program

    _program.main()
