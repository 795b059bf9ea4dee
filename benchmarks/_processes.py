"""Processor time and memory of a process, read from /proc."""

import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Returns a process's resident memory in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def wake_ups(pid: int) -> int:
    """Returns how often threads of a process have waited until now."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        for line in (task / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                total += int(line.split()[1])
    return total
