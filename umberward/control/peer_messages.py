"""The messages between controllers: CBOR maps over HTTP.

The names on the wire stay as they are for compatibility with earlier versions, which may run at the
same time. They are mapped to the names in the code only here, except for those of `Delegation` and
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
FORWARDED_HEARTBEAT_PATH = "/peer/hello"
CANCELLATIONS_PATH = "/peer/cancelled"
UNKNOWN_JOBS_PATH = "/peer/unknown"
DELEGATION_PATH = "/peer/loan"
SNAPSHOT_PATH = "/peer/hints"

# Fields of a status.
FAULT_SIGHTINGS_FIELD = "faulty"
TOKEN_FIELD = "token"
WATCHED_FIELD = "watched"

Message = TypeVar("Message", bound=msgspec.Struct)


class InvalidPeerMessageError(ControllerError):
    """A message of another controller can't be decoded or has invalid content."""


class PeerStatus(
    msgspec.Struct,
    kw_only=True,
    frozen=True,
    rename={
        "name": "label",
        "state_contact_age_s": "contact_age",
        "term": "stamp",
        "newest_token": TOKEN_FIELD,
        "heartbeat_age_s": "heard_age",
        "uptime_s": "uptime",
        "fault_sightings": FAULT_SIGHTINGS_FIELD,
        "watched_s": WATCHED_FIELD,
    },
):
    """The status of a controller, returned to a peer that requests it.

    `state_contact_age_s` is the time in seconds since it sent the latest lease renewal that the
    state service granted.
    `leader` is the current leader, and `term` the version of the leader's key.
    `newest_token` is the highest fencing token that it may use; omitted unless it leads, and by
    earlier versions.
    `heartbeat_age_s` is the time in seconds since a worker last sent it a heartbeat; earlier
    versions omit it.
    `build` and `uptime_s` say which process it is, for the log only; they are omitted if the build
    is not known, and by earlier versions, and of any type if they are malformed.
    `fault_sightings` lists the `SightingReport`s of peers with a known fault, for the log only; it
    is omitted if there are none. `watched_s` is for how many seconds the sender would have learned
    of such a peer; omitted if it has no contact, and by earlier versions.
    """

    name: str = ""
    state_contact_age_s: float
    leader: ControllerName | None
    term: int = 0
    heartbeat_age_s: float = math.inf
    build: object = msgspec.UNSET
    uptime_s: object = msgspec.UNSET
    fault_sightings: object = msgspec.UNSET
    watched_s: object = msgspec.UNSET
    newest_token: int | msgspec.UnsetType = msgspec.UNSET

    @property
    def token_or_zero(self) -> int:
        """The highest fencing token that the sender may use; 0 if it says none."""
        return 0 if self.newest_token is msgspec.UNSET else self.newest_token


class CancelledJobs(msgspec.Struct):
    """Jobs whose cancellation the sender has confirmed to their users."""

    sender: str = msgspec.field(name="from")
    cancelled: list[str] = []


class UnknownJobs(msgspec.Struct):
    """Jobs that the sender has just called unknown to users, and the build of its process."""

    sender: str = msgspec.field(name="from")
    build: str = ""
    jobs: list[str] = []


class KnownJobs(msgspec.Struct):
    """The response to `UnknownJobs`: those that the receiver knows, with their phases."""

    known: dict[str, str] = {}


class DelegationRequest(NamedTuple):
    """The query with which a controller requests a delegation from the leader.

    `last_sequence` is the `serial` of the latest delegation that it has received, or 0.
    `unused` is true if it has answered no worker since it requested that delegation.
    """

    delegate: ControllerName
    last_sequence: int
    unused: bool

    def to_target(self) -> str:
        """The request target, including the query."""
        return (
            f"{DELEGATION_PATH}?for={self.delegate}&seen={self.last_sequence}"
            f"&idle={int(self.unused)}"
        )

    @classmethod
    def from_query(cls, query: str) -> DelegationRequest:
        """Decode a query. Raises InvalidPeerMessageError."""
        fields = dict(parse_qsl(query))
        try:
            delegate, last_sequence = ControllerName(fields["for"]), int(fields["seen"])
        except (KeyError, ValueError) as error:
            raise InvalidPeerMessageError(str(error)) from None
        return cls(delegate, last_sequence, unused=fields.get("idle") == "1")


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message as a CBOR map, with the fields in the order of their definition."""
    return bytes(cbor2.dumps(msgspec.to_builtins(message)))


def decode(body: bytes, kind: type[Message]) -> Message:
    """Decode a body as a message of type `kind`. Raises InvalidPeerMessageError."""
    try:
        return msgspec.convert(cbor2.loads(body), kind)
    except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise InvalidPeerMessageError(str(error)) from None
