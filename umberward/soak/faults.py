"""Injects the planned faults of a soak and ends each after its duration."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from umberward.local.links import DUPLICATED, HELD, LATE, LOST, LinkFault
from umberward.soak import history
from umberward.soak.cluster import CLOUD, STATE, SoakCluster
from umberward.soak.plan import KILLS_IN_SERIES, WORKER_TIMES, Fault, FaultKind
from umberward.soak.users import Users

ANY_CONTROLLER = "keeper-*"
COMMAND_DELAY_S = (1.0, 9.0)  # most are longer than the time-out of a direct command
TRANSACTION_DELAY_S = (2.0, 8.0)
STATE_RESPONSE_DELAY_S = (0.2, 1.5)
DUPLICATE_DELAY_S = (1.0, 2.0 * WORKER_TIMES.lease_s)
MAX_CANCELLED = 8


class FaultInjector:
    """Injects faults into links, machines, controllers and the state service."""

    def __init__(self, cluster: SoakCluster, users: Users) -> None:
        """Start without any fault."""
        self.cluster = cluster
        self.users = users
        self.fault_number = 0  # number of faults begun; makes the labels of link faults unique
        self.fault_tasks: list[curio.Task] = []

    async def run(self, faults: list[Fault]) -> None:
        """Begin each fault at its time and return when the last one has begun."""
        for fault in faults:
            await curio.sleep(max(0.0, fault.at_s - self.cluster.now()))
            self.fault_tasks.append(await self.cluster.task_scope.spawn(self._inject, fault))

    async def end_all(self) -> None:
        """End all faults: links work, machines and controllers resume, and no new fault begins."""
        cluster = self.cluster
        for task in self.fault_tasks:
            await task.cancel()
        cluster.links.faults.clear()
        cluster.state.refused.clear()
        cluster.state.transaction_fault = ""
        cluster.state.set_down(False)
        for number in range(len(cluster.controller_names)):
            cluster.set_stopped(number, stopped=False)
        for host in list(cluster.workers):
            cluster.set_hanging(host, still=False)

    # ---- one fault -------------------------------------------------------------------------

    async def _inject(self, fault: Fault) -> None:
        self.fault_number += 1
        hosts = self._busiest_hosts(fault.machine_count)
        leader = self._leader_number()
        other = (leader + 1) % len(self.cluster.controller_names)
        what = (
            f"leader {self.cluster.controller_names[leader]},"
            f" {len(hosts)} machines from {hosts[:1]}"
        )
        self.cluster.record(
            history.FaultBegan(self.cluster.now(), fault.kind.value, fault.duration_s, what)
        )
        if fault.kind in (FaultKind.KILL_LEADER, FaultKind.KILL_OTHER):
            self.cluster.kill_controller(
                leader if fault.kind is FaultKind.KILL_LEADER else other, fault.duration_s
            )
        elif fault.kind is FaultKind.KILL_ALL:
            for number in range(len(self.cluster.controller_names)):
                self.cluster.kill_controller(number, fault.duration_s)
        elif fault.kind is FaultKind.KILL_LEADERS_IN_SERIES:
            await self._kill_leaders_in_series(fault)
        elif fault.kind in (FaultKind.STOP_LEADER, FaultKind.STOP_OTHER):
            number = leader if fault.kind is FaultKind.STOP_LEADER else other
            self.cluster.set_stopped(number, stopped=True)
            await curio.sleep(fault.duration_s)
            self.cluster.set_stopped(number, stopped=False)
        elif fault.kind is FaultKind.MACHINES_HANG:
            await self._hang_machines(hosts, fault.duration_s)
        elif fault.kind is FaultKind.MACHINES_DIE:
            self.cluster._remove_workers(
                self.cluster.cloud.core.delete(hosts[: max(1, len(hosts) // 3)])
            )
        elif fault.kind is FaultKind.CANCEL_MANY:
            await self.users.cancel_many(min(MAX_CANCELLED, fault.machine_count))
        elif fault.kind in STATE_FAULTS:
            await STATE_FAULTS[fault.kind](self, fault.duration_s, leader)
        else:
            links = self._link_faults(fault.kind, self.cluster.controller_names[leader], hosts)
            await self._apply_link_faults(links, fault.duration_s)

    async def _kill_leaders_in_series(self, fault: Fault) -> None:
        """Kill the current leader several times."""
        for _ in range(KILLS_IN_SERIES):
            self.cluster.kill_controller(self._leader_number(), fault.duration_s)
            await curio.sleep(max(2.0, fault.duration_s))

    async def _hang_machines(self, hosts: list[str], duration_s: float) -> None:
        label = f"hang {self.fault_number}"
        for host in hosts:
            self.cluster.links.faults[f"{label} to {host}"] = LinkFault("*", host, HELD)
            self.cluster.links.faults[f"{label} from {host}"] = LinkFault(host, "*", HELD)
            self.cluster.set_hanging(host, still=True)
        await curio.sleep(duration_s)
        for host in hosts:
            self.cluster.set_hanging(host, still=False)
            self.cluster.links.faults.pop(f"{label} to {host}", None)
            self.cluster.links.faults.pop(f"{label} from {host}", None)

    async def _apply_link_faults(self, faults: list[LinkFault], duration_s: float) -> None:
        labels = {f"{self.fault_number} {index}": fault for index, fault in enumerate(faults)}
        self.cluster.links.faults.update(labels)
        await curio.sleep(duration_s)
        for label in labels:
            self.cluster.links.faults.pop(label, None)

    def _link_faults(self, kind: FaultKind, leader: str, hosts: list[str]) -> list[LinkFault]:
        least, most = COMMAND_DELAY_S
        faults_of_host: dict[FaultKind, Callable[[str], list[LinkFault]]] = {
            FaultKind.COMMANDS_LATE: lambda h: [
                LinkFault(ANY_CONTROLLER, h, LATE, "/do", least, most, 0.5)
            ],
            FaultKind.COMMANDS_HELD: lambda h: [LinkFault(ANY_CONTROLLER, h, HELD, "/do")],
            FaultKind.COMMAND_ANSWERS_LOST: lambda h: [LinkFault(h, ANY_CONTROLLER, LOST, "/do")],
            FaultKind.REPORTS_LOST: lambda h: [LinkFault(h, ANY_CONTROLLER, LOST, "/hello")],
            FaultKind.REPORT_ANSWERS_LOST: lambda h: [LinkFault(ANY_CONTROLLER, h, LOST)],
            FaultKind.REPORTS_COPIED: lambda h: [
                LinkFault(h, ANY_CONTROLLER, DUPLICATED, "/hello", *DUPLICATE_DELAY_S, 0.3)
            ],
            FaultKind.MACHINES_CUT: lambda h: [
                LinkFault(ANY_CONTROLLER, h, HELD),
                LinkFault(h, ANY_CONTROLLER, HELD),
            ],
            FaultKind.LEADER_CUT_FROM_WORKERS: lambda h: [
                LinkFault(leader, h, LOST),
                LinkFault(h, leader, LOST),
            ],
        }
        if kind in faults_of_host:
            return [fault for host in hosts for fault in faults_of_host[kind](host)]
        peer_faults = [
            LinkFault(leader, ANY_CONTROLLER, LOST),
            LinkFault(ANY_CONTROLLER, leader, LOST),
        ]
        if kind is FaultKind.LEADER_ALONE:
            return [*peer_faults, LinkFault(leader, STATE, LOST), LinkFault(leader, CLOUD, LOST)]
        return peer_faults

    async def _state_refuses(self, duration_s: float, leader: int) -> None:
        self.cluster.state.refused.add(leader)
        await curio.sleep(duration_s)
        self.cluster.state.refused.discard(leader)

    async def _state_slow(self, duration_s: float, _: int) -> None:
        await self._apply_link_faults(
            [LinkFault(STATE, ANY_CONTROLLER, LATE, "", *STATE_RESPONSE_DELAY_S)], duration_s
        )

    async def _state_down(self, duration_s: float, _: int) -> None:
        self.cluster.state.set_down(True)
        await curio.sleep(duration_s)
        self.cluster.state.set_down(False)

    async def _state_answers_lost(self, duration_s: float, _: int) -> None:
        await self._apply_link_faults(
            [LinkFault(STATE, ANY_CONTROLLER, LOST, "/commit", share=0.4)], duration_s
        )

    async def _transactions_late(self, duration_s: float, _: int) -> None:
        late = LinkFault(ANY_CONTROLLER, STATE, LATE, "/commit", *TRANSACTION_DELAY_S, 0.4)
        await self._apply_link_faults([late], duration_s)

    def _leader_number(self) -> int:
        return self.cluster.leader or 0

    def _busiest_hosts(self, count: int) -> list[str]:
        """The `count` machines with the most tasks, or fewer."""
        cores = [worker.core for worker, _ in self.cluster.workers.values()]
        cores.sort(key=lambda core: (-len(core.running_tasks), core.host))
        return [core.host for core in cores[:count]]


STATE_FAULTS: dict[FaultKind, Callable[[FaultInjector, float, int], Awaitable[None]]] = {
    FaultKind.STATE_REFUSES_LEADER: FaultInjector._state_refuses,
    FaultKind.STATE_SLOW: FaultInjector._state_slow,
    FaultKind.STATE_DOWN: FaultInjector._state_down,
    FaultKind.STATE_ANSWERS_LOST: FaultInjector._state_answers_lost,
    FaultKind.TRANSACTIONS_LATE: FaultInjector._transactions_late,
}
