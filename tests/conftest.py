from __future__ import annotations

import pytest

from umberward.scheduling.invariants import Invariants

Invariants.raises = True  # in tests a violation is a failure, and nothing is refused silently

pytest_plugins = ["known_red", "pytester"]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--write-golden",
        action="store_true",
        help="Write the digests of now (tests/test_golden_traffic.py) in place of the stored ones.",
    )
    parser.addoption(
        "--long-troubles",
        type=int,
        default=0,
        metavar="DAYS",
        help="Draw so many days of troubles (tests/test_fault_days.py), each time others.",
    )
