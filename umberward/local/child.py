"""Runs the command line in a child process that exits with its parent, even if that is killed.

The parent holds the other end of standard input; end of file means that the parent has exited.
This file is run by its path, so that it can also run the package of a build without this module.
"""

from __future__ import annotations

import os
import runpy
import sys
import threading


def child_command() -> list[str]:
    """The start of a command that runs the `umberward` package found first in PYTHONPATH."""
    return [sys.executable, "-P", __file__]


def _exit_with_parent() -> None:
    while os.read(0, 1024):
        pass
    os._exit(0)


if __name__ == "__main__":
    threading.Thread(target=_exit_with_parent, daemon=True).start()
    runpy.run_module("umberward", run_name="__main__")
