"""Processor time and memory of running processes, read from /proc."""

import os
import pathlib

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# User and system time in the fields after the command name.
_USER = 11
_SYSTEM = 12


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # The command name in parentheses may contain spaces.
    fields = text.rpartition(')')[2].split()
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICKS_PER_S


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process in KB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0
