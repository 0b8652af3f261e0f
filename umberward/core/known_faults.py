"""The known faults of earlier builds, which may run beside this one during an upgrade.

A build is named by its version and a digest (`build_identity`). Earlier versions name none, so an
unknown build may have every fault that what it serves does not exclude.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from typing import NamedTuple

from umberward.core.build_identity import parse_build

Release = tuple[int, int, int]

VERSION_PATTERN = re.compile(r"(\d{1,6})\.(\d{1,6})(?:\.(\d{1,6}))?(?![0-9])")


class KnownFault(NamedTuple):
    """A fault of every version before `mended_release`.

    `symptom` is what callers see, and `page` describes it. A version whose peer status has the
    field `excluding_status_field` is later than the mend. A commit whose history has one of
    `mending_commits` is free of the fault; `patch_commit` is the release that differs least from
    the versions with it.
    """

    name: str
    symptom: str
    mended_release: Release
    excluding_status_field: str
    page: str
    mending_commits: tuple[str, ...]
    patch_commit: str

    @property
    def mended_in(self) -> str:
        """The first version with the mend."""
        return ".".join(map(str, self.mended_release))


KNOWN_FAULTS = (
    KnownFault(
        name="unfinished-lookup-taken-as-unknown-job",
        symptom="404, 400 or 422 for an accepted job that has ended, soon after a start",
        mended_release=(0, 1, 1),
        excluding_status_field="heard_age",
        page="docs/operators/upgrades.md",
        mending_commits=(
            "e4ec351f691f7eab2a1b41ebcf73f40b87a16687",
            "6a32a50da810341a4a45ff42cff151715e9a89f3",
        ),
        patch_commit="0fcfe804504e75ed3a700572259f04cfae41ee30",
    ),
)


class FaultMatch(NamedTuple):
    """A fault that a build has, or may have if it is not `certain`."""

    fault: KnownFault
    certain: bool

    @property
    def unless(self) -> str | None:
        """The versions that the build may be without having the fault; None if it is certain."""
        return None if self.certain else f"{self.fault.mended_in} or later"

    def describe(self) -> str:
        """A sentence for operators."""
        has = "has" if self.certain else f"unless it is {self.unless}, has"
        fault = self.fault
        return (
            f"{has} the known fault {fault.name}: {fault.symptom};"
            f" mended in {fault.mended_in}; see {fault.page}"
        )


def find_faults(build: str, status_fields: Collection[object] = ()) -> list[FaultMatch]:
    """The known faults of a build, which may come from another process in any form.

    `status_fields` are the names of the fields in the peer status of a process that runs it, if
    they are known.
    """
    release = _parse_release(build)
    matches = []
    for fault in KNOWN_FAULTS:
        if release is not None:
            if release < fault.mended_release:
                matches.append(FaultMatch(fault, certain=True))
        elif fault.excluding_status_field not in status_fields:
            matches.append(FaultMatch(fault, certain=False))
    return matches


def _parse_release(build: str) -> Release | None:
    """The release that a build belongs to; None if it can't be parsed."""
    found = VERSION_PATTERN.match(parse_build(build))
    if found is None:
        return None
    major, minor, patch = found.groups(default="0")
    return int(major), int(minor), int(patch)
