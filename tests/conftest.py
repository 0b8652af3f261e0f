from __future__ import annotations

import pytest

from umberward.scheduling.invariants import Invariants

# In service a violated invariant is logged and the action refused.
Invariants.raise_on_violation = True

pytest_plugins = ["known_red", "pytester"]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--write-golden",
        action="store_true",
        help="Replace the stored digests of tests/test_golden_traffic.py by the current ones.",
    )
    parser.addoption(
        "--long-troubles",
        type=int,
        default=0,
        metavar="DAYS",
        help="Run tests/test_fault_days.py on this number of randomly drawn days.",
    )
    parser.addoption(
        "--more-users",
        type=int,
        default=0,
        metavar="USERS",
        help="Add so many users to each scenario of tests/test_job_state_exploration.py.",
    )
