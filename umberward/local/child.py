"""Runs the command line as a child that ends with its parent, however that ends.

The parent keeps the other end of standard input open as long as it lives.
"""

from __future__ import annotations

import os
import runpy
import threading


def _wait_for_the_parent() -> None:
    while os.read(0, 1024):
        pass
    os._exit(0)


if __name__ == "__main__":
    threading.Thread(target=_wait_for_the_parent, daemon=True).start()
    runpy.run_module("umberward", run_name="__main__")
