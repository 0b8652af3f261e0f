from __future__ import annotations

import pytest

pytest_plugins = ["known_red", "pytester"]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--long-troubles", type=int, default=0, metavar="DAYS",
        help="Draw so many days of troubles (tests/test_troubles.py), each time others.",
    )  # fmt: skip
