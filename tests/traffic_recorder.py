"""Digests of what goes over the wire and into the state service while a scenario is played.

The stand-ins of the tests (`simulated_cluster.py`, `network.py`) call `note` with every message
them, as bytes. A digest covers all messages of a run in their order, so two versions of the code
that have the same digests have said the same to users, workers, the cloud, the state service and
each other. Nothing here may depend on the names of classes, fields or modules of the code.
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
        whole = hashlib.sha256()
        for message in self.messages:
            # With its length, so that bytes cannot move from one message to the next unnoticed.
            whole.update(len(message).to_bytes(8, "big"))
            whole.update(message)
        return Digest(len(self.messages), whole.hexdigest())


_recorder: Recorder | None = None


def note(*parts: Any) -> None:
    """Add a message, if a run is being recorded. Parts that are not bytes are encoded as on the
    wire, so only values that have a form there may be given."""
    if _recorder is not None:
        _recorder.add(encode(parts))


@contextlib.contextmanager
def recording() -> Iterator[Recorder]:
    global _recorder
    _recorder = made = Recorder()
    try:
        yield made
    finally:
        _recorder = None
