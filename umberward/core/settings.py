"""The platform's settings file (TOML) and the operators' own properties, both checked."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import javaproperties
import msgspec

from umberward.core.types import Address, parse_address

Positive = Annotated[float, msgspec.Meta(gt=0, lt=1e12)]
NotNegative = Annotated[float, msgspec.Meta(ge=0, lt=1e12)]
Count = Annotated[int, msgspec.Meta(ge=1, lt=1 << 40)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


MIN_VALUE_KB = 2.0  # a job's description, its marks and some of its completions


class SettingsError(Exception):
    """One line that names the field and says what is wrong with it."""


class PeerSettings(msgspec.Struct, frozen=True):
    label: Text
    site: Text
    addr: Text


class Endpoints(msgspec.Struct, frozen=True):
    cloud: Text
    state: Text


class TeamQuota(msgspec.Struct, frozen=True):
    """A maximum of 0 means that none is set."""

    name: Text
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    kind: Text
    job_class: str | None = None
    within_s: NotNegative | None = None
    share: NotNegative | None = None
    times: NotNegative | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that come into force at some moment; what is left out stays as it is."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateLimits(msgspec.Struct, frozen=True):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count
    next: NextLimits | None = None

    def strictest(self) -> StateLimits:
        """The smaller of each limit: what fits these is never refused."""
        if self.next is None:
            return self
        least = {
            name: min(getattr(self, name), value)
            for name in self.next.__struct_fields__
            if (value := getattr(self.next, name)) is not None
        }
        return msgspec.structs.replace(self, **least)


class CloudLimits(msgspec.Struct, frozen=True):
    rps: Positive
    list_lag_s: NotNegative


class MachineLimits(msgspec.Struct, frozen=True):
    cpu: Positive
    memory_mb: Positive
    sockets: Count


class ClusterSettings(msgspec.Struct, frozen=True):
    size: Count
    zones: Annotated[list[Text], msgspec.Meta(min_length=1)]
    teams: list[TeamQuota]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    machine_limits: MachineLimits
    skew_ms: NotNegative = 0.0
    objectives: list[Objective] = []


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the platform hands to each controller."""

    label: Text
    site: Text
    listen: Text
    peer_bind: Text
    endpoints: Endpoints
    cluster: ClusterSettings
    peers: list[PeerSettings] = []


class OperatorSettings(msgspec.Struct, frozen=True):
    """The operators' own settings; the field ``a_b`` is the property ``a.b``."""

    lease_seconds: Annotated[float, msgspec.Meta(ge=1.0, le=60.0)] = 3.0
    rent_spare: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 1.0
    idle_seconds: Annotated[float, msgspec.Meta(ge=1.0, le=86400.0)] = 40.0
    silence_seconds: Annotated[float, msgspec.Meta(ge=2.0, le=3600.0)] = 4.0
    poll_cache: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 5000
    log_format: Literal["lines", "json"] = "lines"
    graphs_enabled: bool = False


class Settings(msgspec.Struct, frozen=True):
    platform: PlatformSettings
    operator: OperatorSettings
    listen: Address
    peer_bind: Address
    cloud: Address
    state: Address
    peers: dict[str, Address]


def load(path: Path, properties: Path | None = None) -> Settings:
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 text: {error.reason}") from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    return validate(raw, load_operator(properties), str(path))


def validate(raw: dict[str, Any], operator: OperatorSettings, source: str = "settings") -> Settings:
    try:
        platform = msgspec.convert(raw, PlatformSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{source}: {_plain(error)}") from None
    addresses: dict[str, Address] = {}
    for field, text in [
        ("listen", platform.listen),
        ("peer_bind", platform.peer_bind),
        ("endpoints.cloud", platform.endpoints.cloud),
        ("endpoints.state", platform.endpoints.state),
        *((f"peers.{peer.label}", peer.addr) for peer in platform.peers),
    ]:
        try:
            addresses[field] = parse_address(text)
        except ValueError as error:
            raise SettingsError(f"{source}: {field}: {error}") from None
    workers = platform.cluster.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(f"{source}: cluster.workers.cancel_s: must be above lease_s")
    for where, limits in (
        ("cluster.state", platform.cluster.state),
        ("cluster.state.next", platform.cluster.state.next),
    ):
        if limits is None:
            continue
        if limits.value_kb is not None and limits.value_kb < MIN_VALUE_KB:
            raise SettingsError(
                f"{source}: {where}.value_kb: {limits.value_kb:g} is too little for one record,"
                f" at least {MIN_VALUE_KB:g} are needed"
            )
        if limits.txn_ops is not None and limits.txn_ops < 2:
            raise SettingsError(f"{source}: {where}.txn_ops: a job's end needs 2 changes at once")
    if platform.label in [peer.label for peer in platform.peers]:
        raise SettingsError(f"{source}: peers: {platform.label} is this controller itself")
    names = [team.name for team in platform.cluster.teams]
    for name in names:
        if names.count(name) > 1:
            raise SettingsError(f"{source}: cluster.teams: {name} stands there twice")
    return Settings(
        platform=platform,
        operator=operator,
        listen=addresses["listen"],
        peer_bind=addresses["peer_bind"],
        cloud=addresses["endpoints.cloud"],
        state=addresses["endpoints.state"],
        peers={peer.label: addresses[f"peers.{peer.label}"] for peer in platform.peers},
    )


def load_operator(path: Path | None) -> OperatorSettings:
    if path is None:
        return OperatorSettings()
    try:
        text = path.read_text(encoding="utf-8")
        found = javaproperties.loads(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:
        raise SettingsError(f"{path}: not a properties file: {error}") from None
    known = set(OperatorSettings.__struct_fields__)
    fields = {}
    for name, value in found.items():
        field = name.replace(".", "_")
        if field not in known:
            raise SettingsError(f"{path}: {name}: no such property")
        fields[field] = value
    try:
        return msgspec.convert(fields, OperatorSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {_plain(error).replace('_', '.')}") from None


def _plain(error: msgspec.ValidationError) -> str:
    """Put the field's name first: 'cluster.state.rps: Expected `float`, got `str`'."""
    text = str(error)
    what, dash, where = text.partition(" - at `$")
    if dash:
        return f"{where.rstrip('`').lstrip('.')}: {what}"
    return text
