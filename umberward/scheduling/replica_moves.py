"""Moves of replicas off machines on which they block accelerated work. No I/O.

Replicas never end by themselves, so nothing else would free the room.
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, MachineId
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machine_selection import CandidateMachines, choose_machines
from umberward.scheduling.machines import Machine
from umberward.scheduling.preemptable_work import PreemptableWork
from umberward.scheduling.preemption import JOB_PREEMPTION_PAUSE_S, Preemption
from umberward.scheduling.schedulable_machines import machines_with_room

log = logger(__name__)

MOVE_INTERVAL_S = 1.0
MAX_REPLICAS_EXAMINED = 8  # per interval, so that few replicas are down together
# A start counts towards the user's objective if the replica then runs for 30 s; 5 s are a margin.
MIN_REPLICA_RUN_S = 35.0


class ReplicaMoves:
    """Moves replicas off the machines that are kept free for accelerated work."""

    def __init__(self, cluster: ClusterState, preemption: Preemption, now: Instant) -> None:
        """Allow the first moves at `now`, a time of the leader's monotonic clock."""
        self.cluster = cluster
        self.preemption = preemption
        self.move_not_before = now

    def move_replicas(
        self,
        headroom_machines: set[MachineId],
        accelerated_capable_machines: set[MachineId],
        work: PreemptableWork,
    ) -> None:
        """Make room on the headroom machines that have too little for accelerated work.

        `accelerated_capable_machines`: all machines that could run such work; replicas do not move
        there. A replica is stopped only if there is room on another machine with its image, so that
        its downtime is short, and not when it has just started, as the start would not count
        towards the user's objective.
        """
        now = work.now
        if now < self.move_not_before:
            return
        self.move_not_before = Instant(now + MOVE_INTERVAL_S)
        blocked = self._blocked_machines(headroom_machines, work)
        if not blocked:
            return
        replicas = [job for job in self.cluster.jobs.values() if job.service]
        with_room = machines_with_room(work.schedulable_machines, work.free, replicas)
        examined = 0
        for machine in blocked:
            placements = list(machine.placements.values())
            # In random order, so that replicas without a target do not always come first.
            self.cluster.rng.shuffle(placements)
            for placement in placements:
                job = self.cluster.jobs.get(placement.task.job)
                if (
                    examined >= MAX_REPLICAS_EXAMINED
                    or job is None
                    or not _may_make_way(job, placement, now)
                ):
                    continue
                examined += 1
                if self._make_room(job, placement, with_room, accelerated_capable_machines, work):
                    log.info("replica_moved", task=placement.task, machine=machine.id)
                    self.cluster.stop(placement, 0.0)

    def _blocked_machines(
        self, headroom_machines: set[MachineId], work: PreemptableWork
    ) -> list[Machine]:
        """Return the headroom machines without room for an accelerated task, emptiest first."""
        need = self.cluster.headroom.largest_accelerator_need
        blocked = [
            machine
            for machine in work.schedulable_machines
            if machine.id in headroom_machines and not need.fits(work.free[machine.id])
        ]
        blocked.sort(key=lambda machine: (machine.allocated.cores, machine.id))
        return blocked

    def _make_room(
        self,
        job: Job,
        placement: Placement,
        with_room: list[Machine],
        accelerated_capable_machines: set[MachineId],
        work: PreemptableWork,
    ) -> bool:
        """Reserve or clear room on a machine with the replica's image; False: there is none."""
        image = ImageName(job.spec.image)
        machines = [
            m for m in with_room if m.id not in accelerated_capable_machines and image in m.images
        ]
        chosen = [
            machine_id
            for machine_id in choose_machines(
                self.cluster, job, 1, CandidateMachines(machines, work.free), ending=placement
            )
            if machine_id not in self.preemption.reservations
        ]
        if not chosen:
            cleared = self.preemption.preempt(
                job, 1, work, accelerated_capable_machines, image_cached_only=True, ending=placement
            )
            return cleared > 0
        target = chosen[0]
        self.preemption.reserve(job, target, work.now)
        work.free[target] = work.free[target].minus(job.need)
        return True


def _may_make_way(job: Job, placement: Placement, now: Instant) -> bool:
    """Tell whether the replica has run for long enough and its job has no other change pending."""
    return (
        job.service
        and not job.requeued_tasks
        and placement.stop_grace_s is None
        and placement.running_since is not None
        and now - placement.running_since >= MIN_REPLICA_RUN_S
        and now - job.room_reserved_at >= JOB_PREEMPTION_PAUSE_S
    )
