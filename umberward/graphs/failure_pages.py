"""Divides the failures of an array among page records, which are stored beside its record."""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.types import MachineId
from umberward.graphs.records import Failure
from umberward.protocol import wire

MAX_MACHINE_NAMES_BYTES = 600  # JSON size of the machine names in one failure
PAGE_OVERHEAD_BYTES = 32  # JSON size of a page record without its failures
SEPARATOR_BYTES = 1  # the comma between two failures
PAGE_VALUE_DIVISOR = 2  # a page takes at most 1/2 of the largest value


def paginate(failures: Iterable[Failure], max_value_bytes: int) -> list[list[Failure]]:
    """Divide failures among page records in order, so that a full page never changes.

    `max_value_bytes` is the maximum size of a value in the state service, in bytes.
    """
    pages: list[list[Failure]] = []
    page_bytes = 0
    for failure in failures:
        failure_bytes = wire.json_size(failure) + SEPARATOR_BYTES
        if not pages or page_bytes + failure_bytes > max_value_bytes // PAGE_VALUE_DIVISOR:
            pages.append([])
            page_bytes = PAGE_OVERHEAD_BYTES
        pages[-1].append(failure)
        page_bytes += failure_bytes
    return pages


def limit_machine_names(machines: Iterable[MachineId]) -> list[str]:
    """Return the distinct machine names in order, cut off at MAX_MACHINE_NAMES_BYTES.

    The first name is always returned.
    """
    names = [str(machine) for machine in dict.fromkeys(machines)]
    while len(names) > 1 and wire.json_size(names) > MAX_MACHINE_NAMES_BYTES:
        names.pop()
    return names
