"""One machine as the leader sees it: session, reachability, placements and resources. No I/O."""

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

UNREACHABLE_AFTER_PROBES = 2  # unanswered ones, of a machine that is heard


@dataclass(eq=False, repr=False, slots=True)
class Machine:
    """The leader's record of a machine.

    The fields are grouped by concern, and each group names the module that maintains it. All
    moments are of the leader's steady clock. Machines are compared by identity.
    """

    # ---- identity (from the heartbeat or the stored blocks) ----
    id: MachineId
    address: str  # where its worker takes commands and probes
    machine_type: MachineTypeName
    zone: ZoneName
    spot: bool  # the cloud may take it back at short notice
    known_since: Instant
    # The machines whose usability or room may have changed since the last pass, shared by all.
    changed_machines: dict[MachineId, None]
    offer: MachineOffer = field(init=False)
    # `state_writer`: the committed block of machine names that lists it; None: not stored yet.
    block_number: int | None = field(init=False, default=None)

    # ---- session and lease (`heartbeats`, `failure_detector`) ----
    incarnation: Incarnation = field(init=False, default=Incarnation(0))
    incarnation_since: Instant = field(init=False)  # when its session was first heard of
    # Heartbeats of earlier sessions are late ones: those sessions count as over.
    min_incarnation: Incarnation = field(init=False, default=Incarnation(0))
    # The latest heartbeat of the session that was applied, and the latest that was answered.
    sequence: SequenceNumber = field(init=False, default=SequenceNumber(-1))
    answered_sequence: SequenceNumber = field(init=False, default=SequenceNumber(-1))
    # When the last answered heartbeat came: its lease runs from then at most. None: no lease.
    answered_at: Instant | None = field(init=False, default=None)
    # When another controller was last allowed to answer it (`lease_delegation`).
    delegated_at: Instant | None = field(init=False, default=None)
    token_seen: FencingToken = field(init=False, default=FencingToken(0))
    # False while its only heartbeat may be an old duplicate, from a machine deleted long ago.
    confirmed: bool = field(init=False, default=True)
    reconciled: bool = field(init=False, default=False)  # its tasks are known under this token
    # Whatever it ran for a former leader is certainly gone.
    predecessor_expired: bool = field(init=False, default=False)
    # Its lease has expired and nothing was heard of it since.
    lease_expired: bool = field(init=False, default=False)

    # ---- heartbeats (`heartbeats`) ----
    heartbeat_seen: bool = field(init=False, default=False)  # in this leader's term
    heartbeat_at: Instant = field(init=False)  # of its latest own heartbeat, not of a response
    last_heard_at: Instant = field(init=False)  # of its latest heartbeat or response
    # The encoded tasks of the latest heartbeat, if they needed no commands; see
    # `HeartbeatHandler.receive`.
    unchanged_heartbeat: bytes | None = field(init=False, default=None)

    # ---- reachability (`reachability`, `command_results`) ----
    # Since when it may receive nothing from the leader, and the probes unanswered since then.
    suspected_since: Instant | None = field(init=False, default=None)
    unanswered_probes: int = field(init=False, default=0)
    probed_at: Instant = field(init=False)  # when it was last probed on suspicion
    probe_not_before: Instant = field(init=False)  # when it may be probed on suspicion again
    # Since when it answers probes and commands but sends no heartbeat.
    no_heartbeats_since: Instant | None = field(init=False, default=None)
    probe_inflight: bool = field(init=False, default=False)  # a probe is under way
    probe_unanswered: bool = field(init=False, default=False)  # silent, and no answer to a probe

    # ---- tasks and resources (`cluster_state`, `reconciliation`) ----
    placements: dict[TaskId, Placement] = field(init=False, default_factory=dict)
    inflight_starts: InflightStarts = field(init=False, default_factory=InflightStarts)
    exited_tasks: set[TaskId] = field(init=False, default_factory=set)  # exited and still listed
    # Since when an exited attempt stays listed because a start of it may still arrive.
    unforgotten_since: Instant | None = field(init=False, default=None)
    # Listed as running, without a placement: to be stopped.
    unplaced_tasks: set[TaskId] = field(init=False, default_factory=set)
    allocated: Resources = field(init=False, default=NO_RESOURCES)
    idle_since: Instant = field(init=False)
    # The cached images and their sizes in GB, the least recently used first.
    images: dict[ImageName, float] = field(init=False, default_factory=dict)

    # ---- failures (`failure_attribution`) ----
    # How often each job failed here since a task succeeded, or each task where the job's failures
    # are attributed task by task.
    failures: dict[JobId | TaskId, int] = field(init=False, default_factory=dict)
    # When a task that began after the last failure succeeded.
    succeeded_at: Instant = field(init=False, default=Instant(-math.inf))
    failed_at: Instant = field(init=False, default=Instant(-math.inf))
    quarantined_since: Instant | None = field(init=False, default=None)

    # ---- deletion (`autoscaler`) ----
    preempted_at: Instant | None = field(init=False, default=None)  # when the cloud takes it back
    deletion_requested: bool = field(init=False, default=False)  # its deletion was requested

    # Sums over the placements that each pass asks for; None: to be computed anew.
    _free: tuple[MachineType, Resources] | None = field(init=False, default=None)
    _preemptable: dict[PreemptionKey, Resources] | None = field(init=False, default=None)
    _load: dict[tuple[bool, int], Resources] | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        """Count everything that is timed from the moment at which the machine became known."""
        self.offer = MachineOffer(self.machine_type, self.zone, self.spot)
        self.incarnation_since = self.known_since
        self.heartbeat_at = self.known_since
        self.last_heard_at = self.known_since
        self.probed_at = self.known_since
        self.probe_not_before = self.known_since
        self.idle_since = self.known_since

    # ---- changes -----------------------------------------------------------------------------

    def availability_changed(self) -> None:
        """Note that the machine may have become schedulable, or no longer be so."""
        self.changed_machines[self.id] = None

    def placements_changed(self) -> None:
        """Note that a task was added or released, or is being stopped."""
        self.availability_changed()
        self.unchanged_heartbeat = None
        self._free = None
        self.standing_changed()

    def standing_changed(self) -> None:
        """Note that a task here may be preempted by others than before."""
        self._preemptable = None
        self._load = None

    def cache_image(self, image: ImageName, image_gb: float, cache_gb: float) -> None:
        """Note the use of an image; the worker keeps the most recently used ones in its cache."""
        self.images.pop(image, None)
        self.images[image] = image_gb
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            del self.images[next(iter(self.images))]

    # ---- availability ------------------------------------------------------------------------

    @property
    def quarantined(self) -> bool:
        """Whether it gets no new tasks because it seems to fail what it starts."""
        return self.quarantined_since is not None

    @property
    def schedulable(self) -> bool:
        """Whether it may be given new tasks."""
        return (
            self.reconciled
            and self.block_number is not None
            and self.preempted_at is None
            and not (
                self.quarantined
                or self.deletion_requested
                or self.probe_unanswered
                or self.lease_expired
                or self.unplaced_tasks
            )
            and not self.partially_reachable
        )

    @property
    def unreachable(self) -> bool:
        """Whether it seems to receive nothing from the leader, whatever it sends."""
        return (
            self.suspected_since is not None and self.unanswered_probes >= UNREACHABLE_AFTER_PROBES
        )

    @property
    def partially_reachable(self) -> bool:
        """Whether messages between it and the leader seem to pass in one direction only."""
        return self.unreachable or self.no_heartbeats_since is not None

    # ---- tasks and resources -----------------------------------------------------------------

    @property
    def has_stopping_tasks(self) -> bool:
        """Whether a task here is being stopped and has not ended yet."""
        return any(placement.stop_grace_s is not None for placement in self.placements.values())

    def free_room(self, machine_type: MachineType) -> Resources:
        """The resources that no task is placed on; `machine_type` is that of `type`."""
        if self._free is None or self._free[0] is not machine_type:
            self._free = (machine_type, machine_type.capacity.minus(self.allocated))
        return self._free[1]

    def preemptable_by_key(self) -> dict[PreemptionKey, Resources]:
        """The resources of tasks that are not being stopped, summed by who may preempt them."""
        if self._preemptable is None:
            sums: dict[PreemptionKey, Resources] = {}
            for placement in self.placements.values():
                if placement.stop_grace_s is None:
                    key = placement.preemption_key
                    sums[key] = sums.get(key, NO_RESOURCES).plus(placement.need)
            self._preemptable = sums
        return self._preemptable

    def load_by_priority(self) -> dict[tuple[bool, int], Resources]:
        """The resources of all tasks, summed by whether they are accelerated and by priority."""
        if self._load is None:
            sums: dict[tuple[bool, int], Resources] = {}
            for placement in self.placements.values():
                key = (placement.preemption_key.accelerated, placement.preemption_key.priority)
                sums[key] = sums.get(key, NO_RESOURCES).plus(placement.need)
            self._load = sums
        return self._load
