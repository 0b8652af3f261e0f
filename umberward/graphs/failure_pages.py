"""Packs the failures of an array into the page records that are stored beside its record."""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.types import MachineId
from umberward.graphs.records import Failure
from umberward.protocol import wire

MAX_MACHINE_NAMES_BYTES = 600  # of the machines' names in one failure, as JSON
PAGE_OVERHEAD_BYTES = 32  # of a page record beside its failures
SEPARATOR_BYTES = 1
PAGES_PER_VALUE_LIMIT = 2  # a page takes at most this fraction of a value


def paginate(failures: Iterable[Failure], value_limit: int) -> list[list[Failure]]:
    """Divide failures among page records, in order, so that a full page never changes.

    `value_limit` is the largest value of the state service, in bytes.
    """
    pages: list[list[Failure]] = []
    page_bytes = 0
    for failure in failures:
        failure_bytes = wire.json_size(failure) + SEPARATOR_BYTES
        if not pages or page_bytes + failure_bytes > value_limit // PAGES_PER_VALUE_LIMIT:
            pages.append([])
            page_bytes = PAGE_OVERHEAD_BYTES
        pages[-1].append(failure)
        page_bytes += failure_bytes
    return pages


def list_machines(machines: Iterable[MachineId]) -> list[str]:
    """Return each machine's name once, in order, as many as a failure's record may hold."""
    names = [str(machine) for machine in dict.fromkeys(machines)]
    while len(names) > 1 and wire.json_size(names) > MAX_MACHINE_NAMES_BYTES:
        names.pop()
    return names
