"""Loads and validates the platform's settings file (TOML) and the operators' properties file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import javaproperties
import msgspec

from umberward.core.types import Address, parse_address

Positive = Annotated[float, msgspec.Meta(gt=0, lt=1e12)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, lt=1e12)]
Count = Annotated[int, msgspec.Meta(ge=1, lt=1 << 40)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

# Enough for a job's record: its spec, its placement intents and some completed tasks.
MIN_VALUE_KB = 2.0
MIN_TRANSACTION_CHANGES = 2  # a job's end writes its final record and deletes its live one


class SettingsError(Exception):
    """Invalid settings, with a one-line message that names the file, the field and the problem."""

    def __init__(self, source: Path | str, problem: str) -> None:
        """`source`: the file; `problem`: the field, if known, and what is wrong."""
        super().__init__(f"{source}: {problem}")


class PeerSettings(msgspec.Struct, frozen=True):
    """Another controller: its name, its zone and its address for messages between controllers."""

    label: NonEmptyText
    site: NonEmptyText
    addr: NonEmptyText


class Endpoints(msgspec.Struct, frozen=True):
    """The addresses of the cloud and of the state service, as HOST:PORT."""

    cloud: NonEmptyText
    state: NonEmptyText


class TeamQuota(msgspec.Struct, frozen=True):
    """The guaranteed and maximum resources of a team; a maximum of 0 means unlimited."""

    name: NonEmptyText
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """A service-level objective for the jobs of one class, or for all if `job_class` is not set.

    `within_s` is in seconds, `share` a fraction of the jobs. `times` is the multiple of a job's
    deadline within which it is to end.
    """

    kind: NonEmptyText
    job_class: str | None = None
    within_s: NonNegative | None = None
    share: NonNegative | None = None
    times: NonNegative | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """Times in seconds that apply to all workers (PROTOCOL, "Workers -> controller nodes").

    `report_s`: heartbeat interval; `lease_s`: length of a worker's lease; `gang_wait_s` and
    `gang_peer_s`: how long the tasks of a gang wait for each other before and after their start;
    `cancel_s`: time within which the tasks of a cancelled job must end.
    """

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that may take effect at any moment; unset ones do not change."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service for all controllers together.

    `rps` and `write_rps` are per second, `value_kb` is per value, and `txn_ops` is the number of
    changes in one transaction. `next`: limits that may take effect at any moment.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count
    next: NextLimits | None = None

    def strictest(self) -> StateLimits:
        """Return the lower of the current and the next value of each limit.

        Requests within these are never rejected.
        """
        if self.next is None:
            return self
        smaller_limits = {
            name: min(getattr(self, name), value)
            for name in self.next.__struct_fields__
            if (value := getattr(self.next, name)) is not None
        }
        return msgspec.structs.replace(self, **smaller_limits)


class CloudLimits(msgspec.Struct, frozen=True):
    """The cloud's limit on requests per second, and the lag of its machine list in seconds."""

    rps: Positive
    list_lag_s: NonNegative


class ControllerLimits(msgspec.Struct, frozen=True):
    """The CPUs, memory and open sockets that a controller may use on its machine."""

    cpu: Positive
    memory_mb: Positive
    sockets: Count


class ClusterSettings(msgspec.Struct, frozen=True):
    """Settings of the whole cluster; `skew_ms` bounds the difference between clocks."""

    size: Count
    zones: Annotated[list[NonEmptyText], msgspec.Meta(min_length=1)]
    teams: list[TeamQuota]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    machine_limits: ControllerLimits
    skew_ms: NonNegative = 0.0
    objectives: list[Objective] = []


class PlatformSettings(msgspec.Struct, frozen=True):
    """The platform's settings file for one controller; addresses are HOST:PORT.

    `label` is the controller's name and `site` its zone.
    """

    label: NonEmptyText
    site: NonEmptyText
    listen: NonEmptyText
    peer_bind: NonEmptyText
    endpoints: Endpoints
    cluster: ClusterSettings
    peers: list[PeerSettings] = []


class OperatorSettings(msgspec.Struct, frozen=True):
    """The operators' own settings; the field ``a_b`` is the property ``a.b``.

    `lease_seconds`: length of the controller's own lease; `rent_spare`: factor applied to the spare
    machines rented for accelerated jobs, 0 for none; `idle_seconds`: minimum idle time before a
    machine is deleted; `silence_seconds`: minimum timeout of a worker's heartbeats; `poll_cache`:
    maximum number of final records, and of ids of unknown jobs, cached for polls.
    """

    lease_seconds: Annotated[float, msgspec.Meta(ge=1.0, le=60.0)] = 3.0
    rent_spare: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 1.0
    idle_seconds: Annotated[float, msgspec.Meta(ge=1.0, le=86400.0)] = 40.0
    silence_seconds: Annotated[float, msgspec.Meta(ge=2.0, le=3600.0)] = 4.0
    poll_cache: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 5000
    log_format: Literal["lines", "json"] = "lines"
    graphs_enabled: bool = False


class Settings(msgspec.Struct, frozen=True):
    """All settings of a controller, with parsed addresses; `peers` maps labels to addresses."""

    platform: PlatformSettings
    operator: OperatorSettings
    listen: Address
    peer_bind: Address
    cloud: Address
    state: Address
    peers: dict[str, Address]


def load(path: Path, properties: Path | None = None) -> Settings:
    """Load the platform's settings file and, if given, the operators' properties file.

    Raises SettingsError if a file cannot be read or has an invalid field.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, error.strerror or str(error)) from None
    except UnicodeDecodeError as error:
        raise SettingsError(path, f"not UTF-8 text: {error.reason}") from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(path, f"not TOML: {error}") from None
    return settings_from_toml(raw, load_operator_settings(properties), str(path))


def settings_from_toml(
    raw: dict[str, Any], operator: OperatorSettings, source: str = "settings"
) -> Settings:
    """Convert a decoded TOML file to settings. `source`: the file's name, for SettingsError."""
    try:
        platform = msgspec.convert(raw, PlatformSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(source, _format_validation_error(error)) from None
    addresses = _parse_addresses(platform, source)
    _check_worker_times(platform.cluster.workers, source)
    _check_state_limits("cluster.state", platform.cluster.state, source)
    if platform.cluster.state.next is not None:
        _check_state_limits("cluster.state.next", platform.cluster.state.next, source)
    _check_names(platform, source)
    return Settings(
        platform=platform,
        operator=operator,
        listen=addresses["listen"],
        peer_bind=addresses["peer_bind"],
        cloud=addresses["endpoints.cloud"],
        state=addresses["endpoints.state"],
        peers={peer.label: addresses[f"peers.{peer.label}"] for peer in platform.peers},
    )


def _parse_addresses(platform: PlatformSettings, source: str) -> dict[str, Address]:
    """Parse all addresses of the settings; the keys are the names of their fields."""
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
            raise SettingsError(source, f"{field}: {error}") from None
    return addresses


def _check_worker_times(workers: WorkerTimes, source: str) -> None:
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(source, "cluster.workers.cancel_s: must be above lease_s")


def _check_state_limits(section: str, limits: StateLimits | NextLimits, source: str) -> None:
    if limits.value_kb is not None and limits.value_kb < MIN_VALUE_KB:
        raise SettingsError(
            source,
            f"{section}.value_kb: {limits.value_kb:g} is too small for one record;"
            f" at least {MIN_VALUE_KB:g} is required",
        )
    if limits.txn_ops is not None and limits.txn_ops < MIN_TRANSACTION_CHANGES:
        raise SettingsError(
            source, f"{section}.txn_ops: must be at least 2: a job's end makes 2 changes at once"
        )


def _check_names(platform: PlatformSettings, source: str) -> None:
    if platform.label in [peer.label for peer in platform.peers]:
        raise SettingsError(source, f"peers: {platform.label} is the label of this controller")
    team_names = [team.name for team in platform.cluster.teams]
    for name in team_names:
        if team_names.count(name) > 1:
            raise SettingsError(source, f"cluster.teams: {name} is listed twice")


def load_operator_settings(path: Path | None) -> OperatorSettings:
    """Load the operators' settings from a Java properties file; None: the defaults.

    Raises SettingsError if the file cannot be read or has an unknown or invalid property.
    """
    if path is None:
        return OperatorSettings()
    try:
        properties = javaproperties.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(path, error.strerror or str(error)) from None
    except ValueError as error:
        raise SettingsError(path, f"not a properties file: {error}") from None
    known_fields = set(OperatorSettings.__struct_fields__)
    fields = {}
    for name, value in properties.items():
        field = name.replace(".", "_")
        if field not in known_fields:
            raise SettingsError(path, f"{name}: unknown property")
        fields[field] = value
    try:
        return msgspec.convert(fields, OperatorSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(path, _format_validation_error(error).replace("_", ".")) from None


def _format_validation_error(error: msgspec.ValidationError) -> str:
    """Format the error with the field first: 'cluster.state.rps: Expected `float`, got `str`'."""
    text = str(error)
    problem, separator, field = text.partition(" - at `$")
    if separator:
        return f"{field.rstrip('`').lstrip('.')}: {problem}"
    return text
