"""Machines take no more work after a mistaken job on them has been cancelled."""

from __future__ import annotations

import time
from pathlib import Path

import curio
from standins import users
from standins.cluster import Cluster, Plan, default_outcome
from standins.record import Record
from standins.users import Users, job

from umberward.core.settings import StateLimits, WorkerTimes
from umberward.core.types import Resources
from umberward.local.cloudcore import CapacityPool
from umberward.local.workercore import TaskOutcome, WorkerCore
from umberward.protocol.job_spec import JobSpec
from umberward.protocol.wire import MachineType

PORTAL, MISTAKEN, NEXT = "req-000001", "req-000057", "req-000058"
TEAM = "payroll-ops-00"
NEED = Resources(2.0, 0.0, 2.8)  # of each task of the two arrays
PLAN = Plan(
    machine_types=[
        MachineType("sampaguita", 8.0, 32.0, 0.55, 15.0, ["luzon", "visayas"], spot_price=0.18)
    ],
    machines=[("sampaguita", "luzon"), ("sampaguita", "visayas")],
    teams=[{"name": TEAM}],
    workers=WorkerTimes(
        report_s=0.8, lease_s=11.0, gang_wait_s=35.0, gang_peer_s=8.0, cancel_s=36.0
    ),
    limits=StateLimits(rps=200.0, write_rps=15.0, value_kb=4.0, txn_ops=8),
    zones=["luzon", "visayas"],
)
FAILING_RUN_S = 1.0
SETTLED_S = 2.0  # until the portal's replicas run
SOUND = 24  # arrays before the one that may have a mistake, which is 4% of them
SOUND_RUN_S = 0.5
SOUND_WITHIN_S = 12.0
REPORTED_S = 1.0  # within which the leader knows what a machine has done
BEFORE_CANCEL_S = 6.0  # from the mistaken job's submission to its user's request to cancel it
MAX_WAIT_S = 90.0  # for which no job is left waiting while a machine has room
WATCH_S = 92.0
POLL_S = 0.2


def has_room(core: WorkerCore) -> bool:
    """Whether a machine has room for a task of the array that waits."""
    return NEED.fits(core.machine_type.capacity.minus(core.reserved))


def array(uid: str, shards: int) -> dict[str, object]:
    """An array like those of the class `remittance-batch`."""
    return job(
        uid,
        "batch",
        shards,
        owner=TEAM,
        cores=NEED.cores,
        mem_gb=NEED.mem_gb,
        expect_s=4.0,
        reclaimable=True,
    )


async def run_sound_arrays(cluster: Cluster, people: Users) -> None:
    """Run the arrays without a mistake, all of which succeed."""
    async with curio.TaskGroup() as group:
        for number in range(SOUND):
            body = {**array(f"req-{number + 2:06}", 1), "expect_s": SOUND_RUN_S}
            await group.spawn(people.request, "POST", "/v1/jobs", body)
    deadline = time.monotonic() + SOUND_WITHIN_S
    while len(cluster.shared_tasks.done) < SOUND:
        if time.monotonic() > deadline:
            message = "the arrays without a mistake were not run"
            raise users.NotRunError(message)
        await curio.sleep(POLL_S)
    await curio.sleep(REPORTED_S)


async def longest_wait(cluster: Cluster, people: Users) -> float:
    """How long the next job waits without a break while a machine has room for it."""
    began_at = waits_since = time.monotonic()
    polled_at, longest = 0.0, 0.0
    while time.monotonic() < began_at + WATCH_S and longest <= MAX_WAIT_S:
        now = time.monotonic()
        cores = [worker.core for worker, _ in cluster.workers.values()]
        if any(name.startswith(NEXT) for core in cores for name in core.running_tasks):
            return longest
        if not any(has_room(core) for core in cores):
            waits_since = now
        longest = max(longest, now - waits_since)
        if now > polled_at + 5.0:
            polled_at = now
            await people.request("GET", f"/v1/jobs/{NEXT}")
        await curio.sleep(POLL_S)
    return longest


async def case(record: Record, with_trouble: bool) -> list[str]:  # noqa: FBT001 - as `users.run` calls it
    """Run arrays; submit one, with a mistake if there is a disruption; cancel it; send another."""
    cluster = Cluster(PLAN, record)
    people = Users(cluster)
    # The cloud has no further machines, with the disruption and without it.
    for name, zone in PLAN.machines:
        for spot in (True, False):
            pool = CapacityPool(name, zone, spot)
            count = 0 if spot else PLAN.machines.count((name, zone))
            cluster.cloud.core.capacity[pool] = count

    def outcome(host: str, task: str, spec: JobSpec) -> TaskOutcome:
        if with_trouble and task.startswith(MISTAKEN):
            return TaskOutcome(FAILING_RUN_S, "error")
        return default_outcome(host, task, spec)

    cluster.outcome = outcome
    async with cluster:
        portal = job(
            PORTAL, "service", 4, owner=TEAM, rank="production", cores=2.0, expect_s=0.0, apart=True
        )
        await people.request("POST", "/v1/jobs", portal)
        await curio.sleep(SETTLED_S)
        await run_sound_arrays(cluster, people)
        await people.request("POST", "/v1/jobs", array(MISTAKEN, 8))
        await curio.sleep(BEFORE_CANCEL_S)
        _, answer = await people.request("POST", f"/v1/jobs/{MISTAKEN}/cancel")
        record.write(f"{MISTAKEN} is {answer['phase']}: the trouble is over")
        status, _ = await people.request("POST", "/v1/jobs", array(NEXT, 2))
        if status not in (200, 201):
            message = f"the job was answered with {status}"
            raise users.NotRunError(message)
        longest = await longest_wait(cluster, people)
        for worker, _ in cluster.workers.values():
            used = worker.core.reserved.cores
            record.write(f"{worker.core.host}: {used:g} of 8 cores in use")
        if longest > MAX_WAIT_S:
            return [f"{NEXT} was left waiting for {longest:.0f} s beside machines with room"]
        return []


if __name__ == "__main__":
    users.run(Path(__file__).resolve().parent, case)
