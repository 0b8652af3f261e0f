"""Identifies the build that a process runs: its version and a digest of its sources."""

from __future__ import annotations

import hashlib
from pathlib import Path

from umberward import __version__

PACKAGE_DIR = Path(__file__).resolve().parent.parent
SOURCE_PATTERN = "**/*.py"
DIGEST_BYTES = 6
MAX_BUILD_LENGTH = 64  # characters
UNKNOWN_BUILD = "unknown"


def read_build(package_dir: Path = PACKAGE_DIR, version: str = __version__) -> str:
    """The identity of the sources in `package_dir`, as VERSION+DIGEST.

    Never raises: UNKNOWN_BUILD if there are no sources or they cannot be read.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    try:
        sources = sorted(package_dir.glob(SOURCE_PATTERN))
        for source in sources:
            content = source.read_bytes()
            digest.update(f"{source.relative_to(package_dir)} {len(content)}\n".encode())
            digest.update(content)
    except OSError:
        return UNKNOWN_BUILD
    if not sources:
        return UNKNOWN_BUILD
    return parse_build(f"{version}+{digest.hexdigest()}" if version else None)


def parse_build(value: object) -> str:
    """The build that another process has reported; UNKNOWN_BUILD if it is not a valid one."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_BUILD_LENGTH:
        return UNKNOWN_BUILD
    if not value.isascii() or not value.isprintable() or " " in value:
        return UNKNOWN_BUILD
    return value
