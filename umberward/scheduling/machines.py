"""The leader's state of one machine: session, reachability, placements, resources. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from umberward.core.types import (
    NO_RESOURCES,
    FencingToken,
    ImageName,
    Incarnation,
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
    SequenceNumber,
    TaskId,
    ZoneName,
)
from umberward.protocol.wire import MachineType
from umberward.scheduling.inflight_commands import InflightStarts
from umberward.scheduling.jobs import Placement, PreemptionKey

# A suspected machine whose messages still arrive counts as unreachable after this many unanswered
# probes.
UNREACHABLE_AFTER_PROBES = 2


@dataclass(slots=True)
class Quarantine:
    """The state of a machine's quarantine; `quarantine` maintains it."""

    since: Instant
    next_trial_at: Instant  # from then on it may be given a trial
    # From then on also one of a job with failures that may be the job's fault.
    next_repeated_trial_at: Instant
    failed_trials: int = 0
    trial_job: JobId | None = None  # the job of the latest trial, unless that has failed
    # The failures that led to it no longer count, but nothing has proven the machine sound.
    evidence_withdrawn: bool = False
    restored: bool = False  # begun by a previous leader, whose evidence is unknown


@dataclass(eq=False, repr=False, slots=True)
class Machine:
    """The leader's record of a machine.

    The fields are grouped by concern, and each group names the modules that maintain it. All times
    are the leader's monotonic time. Machines are compared by identity.
    """

    # ---- identity (from the heartbeat or the stored blocks) ----
    id: MachineId
    address: str  # where its worker receives commands and probes
    machine_type: MachineTypeName
    zone: ZoneName
    spot: bool  # the cloud may reclaim it at short notice
    known_since: Instant
    # Machines whose availability or free resources may have changed since the last pass; one
    # dictionary, shared by all machines.
    changed_machines: dict[MachineId, None]
    offer: MachineOffer = field(init=False)
    # The committed block of the machine list that contains it (`state_writer`); None: not stored.
    block_number: int | None = field(init=False, default=None)

    # ---- session and lease (`heartbeats`, `failure_detector`) ----
    incarnation: Incarnation = field(init=False, default=Incarnation(0))
    incarnation_since: Instant = field(init=False)  # when the leader first observed `incarnation`
    # Lowest valid incarnation; the sessions of earlier ones count as ended.
    min_incarnation: Incarnation = field(init=False, default=Incarnation(0))
    # The latest heartbeat of the session that was applied, and the latest that was answered.
    sequence: SequenceNumber = field(init=False, default=SequenceNumber(-1))
    answered_sequence: SequenceNumber = field(init=False, default=SequenceNumber(-1))
    # Latest possible start of its lease: when a heartbeat was last answered, a session was first
    # observed or the machine was reconciled. None: no lease.
    lease_started_at: Instant | None = field(init=False, default=None)
    # When another controller was last allowed to answer its heartbeats (`lease_delegation`).
    delegated_at: Instant | None = field(init=False, default=None)
    token_seen: FencingToken = field(init=False, default=FencingToken(0))
    # For commands and responses to its worker: at least `token_seen`, once that is of this term.
    fencing_token: FencingToken = field(init=False, default=FencingToken(0))
    # False while its only heartbeat may be an old duplicate of a machine that was deleted so long
    # ago that the leader no longer knows it. `confirmed_in_term` guards against old duplicates of
    # machines that exist.
    existence_confirmed: bool = field(init=False, default=True)
    reconciled: bool = field(init=False, default=False)  # its tasks are known in this term
    # All tasks that it ran for a previous leader have certainly ended.
    previous_tasks_ended: bool = field(init=False, default=False)
    # Its lease has expired and no message of it has arrived since.
    lease_expired: bool = field(init=False, default=False)

    # ---- heartbeats (`heartbeats`) ----
    # A response or a second heartbeat has arrived in this leader's term.
    confirmed_in_term: bool = field(init=False, default=False)
    heartbeat_at: Instant = field(init=False)  # arrival of its latest periodic heartbeat
    last_message_at: Instant = field(init=False)  # arrival of its latest heartbeat or response
    # The encoded tasks of the latest heartbeat if they required no commands (see
    # `HeartbeatHandler.receive`).
    settled_task_list: bytes | None = field(init=False, default=None)

    # ---- reachability (`reachability`, `command_results`) ----
    # Time from which it is suspected to receive nothing from the leader (None: not suspected), and
    # the number of unanswered probes since then.
    suspected_unreachable_since: Instant | None = field(init=False, default=None)
    unanswered_probes: int = field(init=False, default=0)
    probed_at: Instant = field(init=False)  # when it was last probed on suspicion
    probe_not_before: Instant = field(init=False)  # when it may be probed on suspicion again
    # Time from which it answers probes and commands but sends no heartbeat.
    no_heartbeats_since: Instant | None = field(init=False, default=None)
    probe_inflight: bool = field(init=False, default=False)  # a probe is in flight
    # It has sent no message within the heartbeat timeout and has not answered a probe.
    silent: bool = field(init=False, default=False)

    # ---- tasks and resources (`cluster_state`, `reconciliation`) ----
    placements: dict[TaskId, Placement] = field(init=False, default_factory=dict)
    inflight_starts: InflightStarts = field(init=False, default_factory=InflightStarts)
    exited_tasks: set[TaskId] = field(init=False, default_factory=set)  # exited but still listed
    # The parsed ids of its latest task list, most of which the next one repeats.
    listed_task_ids: dict[str, TaskId] = field(init=False, default_factory=dict)
    # Time from which an exited attempt has stayed listed for lack of a token that voids its starts.
    forget_deferred_since: Instant | None = field(init=False, default=None)
    # Tasks listed as running without a placement; they are to be stopped.
    tasks_without_placement: set[TaskId] = field(init=False, default_factory=set)
    allocated: Resources = field(init=False, default=NO_RESOURCES)
    # Room in the worker's heartbeats that attempts without a placement take: exited ones until they
    # are forgotten, and those that are to be stopped.
    unplaced_heartbeat_bytes: int = field(init=False, default=0)
    idle_since: Instant = field(init=False)
    # Cached images and their sizes in GB, the least recently used first.
    images: dict[ImageName, float] = field(init=False, default_factory=dict)

    # ---- failures (`failure_attribution`, `quarantine`) ----
    # Failures here since a task succeeded, by task.
    failures: dict[TaskId, int] = field(init=False, default_factory=dict)
    longest_failed_run_s: float = field(init=False, default=0.0)  # of these failures
    # Last success of a task that started after the last failure.
    succeeded_at: Instant = field(init=False, default=Instant(-math.inf))
    failed_at: Instant = field(init=False, default=Instant(-math.inf))
    quarantine: Quarantine | None = field(init=False, default=None)

    # ---- deletion (`autoscaler`) ----
    reclaim_at: Instant | None = field(init=False, default=None)  # when the cloud will reclaim it
    # It gets no new tasks and is to be deleted, or was deleted, by the cloud.
    draining: bool = field(init=False, default=False)

    # Cached sums over the placements, needed in each pass; None: to be recomputed.
    _free: tuple[MachineType, Resources] | None = field(init=False, default=None)
    _preemptable: dict[PreemptionKey, Resources] | None = field(init=False, default=None)
    _load: dict[tuple[bool, int], Resources] | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        """Initialize the offer, and all times that start when the machine becomes known."""
        self.offer = MachineOffer(self.machine_type, self.zone, self.spot)
        self.incarnation_since = self.known_since
        self.heartbeat_at = self.known_since
        self.last_message_at = self.known_since
        self.probed_at = self.known_since
        self.probe_not_before = self.known_since
        self.idle_since = self.known_since

    # ---- changes -----------------------------------------------------------------------------

    def mark_availability_changed(self) -> None:
        """Record that the machine or its resources may have become schedulable or unschedulable."""
        self.changed_machines[self.id] = None

    def mark_placements_changed(self) -> None:
        """Record that a task was added, released or is being stopped."""
        self.mark_availability_changed()
        self.settled_task_list = None
        self._free = None
        self.clear_cached_sums()

    def set_unplaced_heartbeat_bytes(self, heartbeat_bytes: int) -> None:
        """Record the room in heartbeats that attempts without a placement take."""
        if heartbeat_bytes != self.unplaced_heartbeat_bytes:
            self.unplaced_heartbeat_bytes = heartbeat_bytes
            self._free = None
            self.mark_availability_changed()

    def clear_cached_sums(self) -> None:
        """Clear the sums by preemption key and priority, as placements or their keys changed."""
        self._preemptable = None
        self._load = None

    def cache_image(self, image: ImageName, image_gb: float, cache_gb: float) -> None:
        """Record the use of an image; the worker caches the most recently used images."""
        self.images.pop(image, None)
        self.images[image] = image_gb
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            del self.images[next(iter(self.images))]

    # ---- availability ------------------------------------------------------------------------

    @property
    def quarantined(self) -> bool:
        """Whether it gets no new tasks but trials, as tasks seem to fail due to the machine."""
        return self.quarantine is not None

    @property
    def schedulable(self) -> bool:
        """Whether it may be given new tasks."""
        return self.usable_apart_from_quarantine and not self.quarantined

    @property
    def usable_apart_from_quarantine(self) -> bool:
        """Whether nothing but a quarantine can keep it from being given new tasks."""
        return (
            self.reconciled
            and self.block_number is not None
            and self.reclaim_at is None
            and not (
                self.draining or self.silent or self.lease_expired or self.tasks_without_placement
            )
            and not self.partially_reachable
        )

    @property
    def unreachable(self) -> bool:
        """Whether it seems to receive nothing from the leader, even if its messages arrive."""
        return (
            self.suspected_unreachable_since is not None
            and self.unanswered_probes >= UNREACHABLE_AFTER_PROBES
        )

    @property
    def partially_reachable(self) -> bool:
        """Whether messages between it and the leader seem to arrive in one direction only."""
        return self.unreachable or self.no_heartbeats_since is not None

    # ---- tasks and resources -----------------------------------------------------------------

    @property
    def has_stopping_tasks(self) -> bool:
        """Whether a task here is being stopped and has not ended yet."""
        return any(placement.stop_grace_s is not None for placement in self.placements.values())

    def free_room(self, machine_type: MachineType) -> Resources:
        """Return the unallocated resources; `machine_type` describes the machine's type."""
        if self._free is None or self._free[0] is not machine_type:
            used = self.allocated.plus(Resources(0.0, 0.0, 0.0, self.unplaced_heartbeat_bytes))
            self._free = (machine_type, machine_type.capacity.minus(used))
        return self._free[1]

    def preemptable_by_key(self) -> dict[PreemptionKey, Resources]:
        """Return the resources of tasks that are not being stopped, summed by preemption key."""
        if self._preemptable is None:
            sums: dict[PreemptionKey, Resources] = {}
            for placement in self.placements.values():
                if placement.stop_grace_s is None:
                    key = placement.preemption_key
                    sums[key] = sums.get(key, NO_RESOURCES).plus(placement.need)
            self._preemptable = sums
        return self._preemptable

    def load_by_priority(self) -> dict[tuple[bool, int], Resources]:
        """Return the resources of all tasks, summed by (accelerated, priority)."""
        if self._load is None:
            sums: dict[tuple[bool, int], Resources] = {}
            for placement in self.placements.values():
                key = (placement.preemption_key.accelerated, placement.preemption_key.priority)
                sums[key] = sums.get(key, NO_RESOURCES).plus(placement.need)
            self._load = sums
        return self._load
