"""Digests of the messages on the wire and the writes to the state service during a scenario.

The simulated services (`simulated_cluster.py`, `network.py`) call `record_message` with every
message. A digest covers all messages of a run in their order, so two versions of the code with
equal digests have sent the same to users, workers, the cloud, the state service and each other.
Nothing here may depend on the names of classes, fields or modules of the code.
"""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

encode = msgspec.msgpack.Encoder().encode


class Digest(NamedTuple):
    messages: int
    sha256: str


class Recorder:
    """The messages of one run."""

    def __init__(self) -> None:
        self.messages: list[bytes] = []

    def add(self, message: bytes) -> None:
        self.messages.append(message)

    def digest(self) -> Digest:
        sha256 = hashlib.sha256()
        for message in self.messages:
            # The length is included so that bytes moved between messages change the digest.
            sha256.update(len(message).to_bytes(8, "big"))
            sha256.update(message)
        return Digest(len(self.messages), sha256.hexdigest())


_recorder: Recorder | None = None


def record_message(*parts: Any) -> None:
    """Add a message, if a run is being recorded.

    Parts that are not bytes are encoded as on the wire, so they must be encodable there.
    """
    if _recorder is not None:
        _recorder.add(encode(parts))


@contextlib.contextmanager
def recording() -> Iterator[Recorder]:
    global _recorder
    _recorder = recorder = Recorder()
    try:
        yield recorder
    finally:
        _recorder = None
