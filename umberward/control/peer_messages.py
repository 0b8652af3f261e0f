"""The messages that controllers send each other over HTTP, as CBOR maps.

The names on the wire are those of earlier versions, which may run beside this one. They are mapped
to the names in the code here and nowhere else, but for those of `Delegation` and
`FailoverSnapshot`, which are mapped where these are defined.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypeVar
from urllib.parse import parse_qsl

import cbor2
import msgspec

from umberward.control.errors import ControllerError
from umberward.core.types import ControllerName

STATUS_PATH = "/peer"
HEARTBEAT_PATH = "/peer/hello"
CANCELLATIONS_PATH = "/peer/cancelled"
DELEGATION_PATH = "/peer/loan"
SNAPSHOT_PATH = "/peer/hints"

Message = TypeVar("Message", bound=msgspec.Struct)


class InvalidPeerMessageError(ControllerError):
    """A message of another controller can't be decoded, or says what it must not say."""


class PeerStatus(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    rename={
        "name": "label",
        "contact_age_s": "contact_age",
        "leader_version": "stamp",
        "heartbeat_age_s": "heard_age",
    },
):
    """What a controller answers to a peer that lacks the state service.

    `contact_age_s`: seconds since the state service last renewed its lease; `leader` and
    `leader_version`: who leads, and the version of the leader's key; `heartbeat_age_s`: seconds
    since a worker last sent it a heartbeat, which earlier versions leave out.
    """

    name: str = ""
    contact_age_s: float
    leader: ControllerName | None
    leader_version: int = 0
    heartbeat_age_s: float = math.inf


class CancelledJobs(msgspec.Struct):
    """Jobs of which this controller has confirmed the cancellation to their users."""

    sender: str = msgspec.field(name="from")
    cancelled: list[str] = []


class DelegationRequest(NamedTuple):
    """The query by which a controller asks the leader for a delegation.

    `last_seen_serial` is that of the latest delegation it has received, 0 for none; `unused` tells
    that it has answered no worker since it asked for that one.
    """

    delegate: ControllerName
    last_seen_serial: int
    unused: bool

    def to_target(self) -> str:
        """The request target, with the query."""
        return (
            f"{DELEGATION_PATH}?for={self.delegate}&seen={self.last_seen_serial}"
            f"&idle={int(self.unused)}"
        )

    @classmethod
    def from_query(cls, query: str) -> DelegationRequest:
        """Decode a query. Raises InvalidPeerMessageError."""
        fields = dict(parse_qsl(query))
        try:
            delegate, last_seen_serial = ControllerName(fields["for"]), int(fields["seen"])
        except (KeyError, ValueError) as error:
            raise InvalidPeerMessageError(str(error)) from None
        return cls(delegate, last_seen_serial, unused=fields.get("idle") == "1")


def encode(message: msgspec.Struct) -> bytes:
    """The CBOR map of a message, with its fields in the order of their definition."""
    return bytes(cbor2.dumps(msgspec.to_builtins(message)))


def decode(body: bytes, kind: type[Message]) -> Message:
    """Decode a body as a message of this kind. Raises InvalidPeerMessageError."""
    try:
        return msgspec.convert(cbor2.loads(body), kind)
    except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise InvalidPeerMessageError(str(error)) from None
