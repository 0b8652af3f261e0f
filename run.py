"""Entry point for the platform: ``python3 run.py --config FILE`` runs one controller."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from umberward.cli.main import run  # needs the path set above

if __name__ == "__main__":
    run()
