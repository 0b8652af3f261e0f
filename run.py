"""Entry for the platform: ``python3 run.py --config FILE`` runs one controller."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from umberward.cli.main import run  # the path must be set first

if __name__ == "__main__":
    run()
