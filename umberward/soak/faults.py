"""Begins the drawn faults of a soak, and ends each when its time is over."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from umberward.local.links import COPIED, HELD, LATE, LOST, LinkFault
from umberward.soak import history
from umberward.soak.cluster import CLOUD, STATE, SoakCluster
from umberward.soak.plan import SERIES, TIMES, Fault, Kind
from umberward.soak.users import Users

ANY = "keeper-*"
ANSWERS_LATE_S = (1.0, 9.0)  # longer than a direct command's time-out
TRANSACTIONS_LATE_S = (2.0, 8.0)
SLOW_S = (0.2, 1.5)
COPIES_S = (1.0, 2.0 * TIMES.lease_s)
MOST_CANCELLED = 8


class Faults:
    """Causes faults of links, machines, controllers and the state service."""

    def __init__(self, cluster: SoakCluster, users: Users) -> None:
        """No fault has begun."""
        self.cluster = cluster
        self.users = users
        self.number = 0
        self.causing: list[curio.Task] = []

    async def run(self, faults: list[Fault]) -> None:
        """Begin each fault at its time; returns when the last one has begun."""
        for fault in faults:
            await curio.sleep(max(0.0, fault.at_s - self.cluster.now()))
            self.causing.append(await self.cluster.group.spawn(self._cause, fault))

    async def end_all(self) -> None:
        """End all faults: links work, machines and controllers go on, and nothing more begins."""
        cluster = self.cluster
        for task in self.causing:
            await task.cancel()
        cluster.links.faults.clear()
        cluster.state.refused.clear()
        cluster.state.lossy = ""
        cluster.state.set_down(False)
        for number in range(len(cluster.names)):
            cluster.stop(number, stopped=False)
        for host in list(cluster.workers):
            cluster.hang(host, still=False)

    # ---- one fault -------------------------------------------------------------------------

    async def _cause(self, fault: Fault) -> None:
        self.number += 1
        hosts = self._hosts(fault.machines)
        leader = self._leader()
        other = (leader + 1) % len(self.cluster.names)
        what = f"leader {self.cluster.names[leader]}, {len(hosts)} machines from {hosts[:1]}"
        self.cluster.record(
            history.FaultBegan(self.cluster.now(), fault.kind.value, fault.for_s, what)
        )
        if fault.kind in (Kind.KILL_LEADER, Kind.KILL_OTHER):
            self.cluster.kill(leader if fault.kind is Kind.KILL_LEADER else other, fault.for_s)
        elif fault.kind is Kind.KILL_ALL:
            for number in range(len(self.cluster.names)):
                self.cluster.kill(number, fault.for_s)
        elif fault.kind is Kind.KILL_LEADERS_IN_SERIES:
            await self._series(fault)
        elif fault.kind in (Kind.STOP_LEADER, Kind.STOP_OTHER):
            number = leader if fault.kind is Kind.STOP_LEADER else other
            self.cluster.stop(number, stopped=True)
            await curio.sleep(fault.for_s)
            self.cluster.stop(number, stopped=False)
        elif fault.kind is Kind.MACHINES_HANG:
            await self._hang(hosts, fault.for_s)
        elif fault.kind is Kind.MACHINES_DIE:
            self.cluster._gone(self.cluster.cloud.core.delete(hosts[: max(1, len(hosts) // 3)]))
        elif fault.kind is Kind.CANCEL_MANY:
            await self.users.cancel_many(min(MOST_CANCELLED, fault.machines))
        elif fault.kind in STATE_FAULTS:
            await STATE_FAULTS[fault.kind](self, fault.for_s, leader)
        else:
            links = self._links(fault.kind, self.cluster.names[leader], hosts)
            await self._links_fail(links, fault.for_s)

    async def _series(self, fault: Fault) -> None:
        """Kill whoever leads, several times."""
        for _ in range(SERIES):
            self.cluster.kill(self._leader(), fault.for_s)
            await curio.sleep(max(2.0, fault.for_s))

    async def _hang(self, hosts: list[str], for_s: float) -> None:
        label = f"hang {self.number}"
        for host in hosts:
            self.cluster.links.faults[f"{label} to {host}"] = LinkFault("*", host, HELD)
            self.cluster.links.faults[f"{label} from {host}"] = LinkFault(host, "*", HELD)
            self.cluster.hang(host, still=True)
        await curio.sleep(for_s)
        for host in hosts:
            self.cluster.hang(host, still=False)
            self.cluster.links.faults.pop(f"{label} to {host}", None)
            self.cluster.links.faults.pop(f"{label} from {host}", None)

    async def _links_fail(self, faults: list[LinkFault], for_s: float) -> None:
        labels = {f"{self.number} {index}": fault for index, fault in enumerate(faults)}
        self.cluster.links.faults.update(labels)
        await curio.sleep(for_s)
        for label in labels:
            self.cluster.links.faults.pop(label, None)

    def _links(self, kind: Kind, leader: str, hosts: list[str]) -> list[LinkFault]:
        least, most = ANSWERS_LATE_S
        each: dict[Kind, Callable[[str], list[LinkFault]]] = {
            Kind.COMMANDS_LATE: lambda h: [LinkFault(ANY, h, LATE, "/do", least, most, 0.5)],
            Kind.COMMANDS_HELD: lambda h: [LinkFault(ANY, h, HELD, "/do")],
            Kind.COMMAND_ANSWERS_LOST: lambda h: [LinkFault(h, ANY, LOST, "/do")],
            Kind.REPORTS_LOST: lambda h: [LinkFault(h, ANY, LOST, "/hello")],
            Kind.REPORT_ANSWERS_LOST: lambda h: [LinkFault(ANY, h, LOST)],
            Kind.REPORTS_COPIED: lambda h: [LinkFault(h, ANY, COPIED, "/hello", *COPIES_S, 0.3)],
            Kind.MACHINES_CUT: lambda h: [LinkFault(ANY, h, HELD), LinkFault(h, ANY, HELD)],
            Kind.LEADER_CUT_FROM_WORKERS: lambda h: [
                LinkFault(leader, h, LOST),
                LinkFault(h, leader, LOST),
            ],
        }
        if kind in each:
            return [fault for host in hosts for fault in each[kind](host)]
        cut_from_peers = [LinkFault(leader, ANY, LOST), LinkFault(ANY, leader, LOST)]
        if kind is Kind.LEADER_ALONE:
            return [*cut_from_peers, LinkFault(leader, STATE, LOST), LinkFault(leader, CLOUD, LOST)]
        return cut_from_peers

    async def _state_refuses(self, for_s: float, leader: int) -> None:
        self.cluster.state.refused.add(leader)
        await curio.sleep(for_s)
        self.cluster.state.refused.discard(leader)

    async def _state_slow(self, for_s: float, _: int) -> None:
        await self._links_fail([LinkFault(STATE, ANY, LATE, "", *SLOW_S)], for_s)

    async def _state_down(self, for_s: float, _: int) -> None:
        self.cluster.state.set_down(True)
        await curio.sleep(for_s)
        self.cluster.state.set_down(False)

    async def _state_answers_lost(self, for_s: float, _: int) -> None:
        await self._links_fail([LinkFault(STATE, ANY, LOST, "/commit", share=0.4)], for_s)

    async def _transactions_late(self, for_s: float, _: int) -> None:
        late = LinkFault(ANY, STATE, LATE, "/commit", *TRANSACTIONS_LATE_S, 0.4)
        await self._links_fail([late], for_s)

    def _leader(self) -> int:
        return self.cluster.leader or 0

    def _hosts(self, count: int) -> list[str]:
        """The machines with the most tasks, at most `count`."""
        cores = [worker.core for worker, _ in self.cluster.workers.values()]
        cores.sort(key=lambda core: (-len(core.running_tasks), core.host))
        return [core.host for core in cores[:count]]


STATE_FAULTS: dict[Kind, Callable[[Faults, float, int], Awaitable[None]]] = {
    Kind.STATE_REFUSES_LEADER: Faults._state_refuses,
    Kind.STATE_SLOW: Faults._state_slow,
    Kind.STATE_DOWN: Faults._state_down,
    Kind.STATE_ANSWERS_LOST: Faults._state_answers_lost,
    Kind.TRANSACTIONS_LATE: Faults._transactions_late,
}
