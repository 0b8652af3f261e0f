"""Grouping of machines into blocks, which the state service stores as one record each. No I/O.

A new leader learns from the stored blocks which machines may run tasks of previous leaders. As a
record holds the machines of a whole block, changes of the fleet need few writes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from umberward.core.types import MachineId, Version
from umberward.protocol import wire
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.machines import Machine

MIN_MACHINES_PER_BLOCK = 4
MAX_MACHINES_PER_BLOCK = 32
VALUE_BYTES_PER_MACHINE = 120  # generous estimate of a machine's share of a stored value


@dataclass(slots=True)
class MachineBlock:
    """The machines of one block, and the version under which it was last stored.

    Version 0 means that the state service has no such block.
    """

    version: Version = Version(0)  # noqa: RUF009 - a NewType of an immutable int
    machine_ids: set[MachineId] = field(default_factory=set)


class MachineBlocks:
    """Assigns machines to blocks, and tracks the blocks to be written."""

    def __init__(self, cluster: ClusterState) -> None:
        """Derive the number of machines per block from `cluster.max_value_bytes` (bytes)."""
        self.machines_per_block = max(
            MIN_MACHINES_PER_BLOCK,
            min(MAX_MACHINES_PER_BLOCK, cluster.max_value_bytes // VALUE_BYTES_PER_MACHINE),
        )
        # By number of the block that the machines leave.
        self.machines_moving_out: dict[int, set[MachineId]] = {}
        self._cluster = cluster
        self._blocks: dict[int, MachineBlock] = {}
        self._changed_blocks: set[int] = set()
        self._unstored_block_by_machine: dict[MachineId, int] = {}  # assigned blocks not stored yet

    def __contains__(self, number: int) -> bool:
        """Whether there is a block of this number."""
        return number in self._blocks

    @property
    def changed(self) -> bool:
        """Whether any block differs from its stored record."""
        return bool(self._changed_blocks)

    def load(self, number: int, version: Version, machines: Iterable[Machine]) -> None:
        """Add a block that a new leader has read from the state service."""
        machine_ids = set()
        for machine in machines:
            if machine.block_number in (None, number):
                machine.block_number = number
                machine.mark_availability_changed()
                machine_ids.add(machine.id)
            else:
                # The machine had moved to another block, but the previous leader's term ended
                # before it wrote the block that the machine left.
                self._changed_blocks.add(number)
        self._blocks[number] = MachineBlock(version, machine_ids)

    def assign(self, machine: Machine) -> None:
        """Assign a machine to the first block with room.

        Do nothing if it already has an assignment that is not stored yet.
        """
        if machine.id in self._unstored_block_by_machine:
            return
        number = 0
        while not self._accepts_machine(number):
            number += 1
        self._blocks[number].machine_ids.add(machine.id)
        self._unstored_block_by_machine[machine.id] = number
        self._changed_blocks.add(number)

    def remove(self, machine: Machine) -> None:
        """Remove a machine that no longer exists from its blocks."""
        if machine.block_number is not None:
            self._remove_from_block(machine.id, machine.block_number)
        pending_number = self._unstored_block_by_machine.pop(machine.id, None)
        if pending_number is not None:
            # A block that still lists the machine would count as changed after every write.
            self._remove_from_block(machine.id, pending_number)

    def split(self, number: int) -> None:
        """Move some of a block's machines to others, as its record exceeds the value limit.

        This happens to a block that was stored under a higher limit. Each machine must be stored
        in some block at all times, as a new leader would not wait for the tasks of an unlisted one.
        So the old block is written only together with or after the new ones.
        """
        machine_ids = self._blocks[number].machine_ids
        machine_ids_to_move = sorted(machine_ids)[
            min(self.machines_per_block, len(machine_ids) // 2) :
        ]
        machine_ids.difference_update(machine_ids_to_move)
        self.machines_moving_out.setdefault(number, set()).update(machine_ids_to_move)
        for machine_id in machine_ids_to_move:
            machine = self._cluster.machines.get(machine_id)
            if machine is not None:
                self.assign(machine)

    def changed_blocks_in_write_order(self) -> list[int]:
        """The numbers of the blocks to write; blocks that machines leave come last."""
        return sorted(
            self._changed_blocks,
            key=lambda number: (number in self.machines_moving_out, number),
        )

    def destination_blocks(self, number: int) -> set[int]:
        """The blocks that machines of this one move to, which must be stored no later than it."""
        return {
            self._unstored_block_by_machine[machine_id]
            for machine_id in self.machines_moving_out.get(number, ())
            if machine_id in self._unstored_block_by_machine
        }

    def version(self, number: int) -> Version:
        """The version under which the block was last stored; 0 if it is not stored."""
        return self._blocks[number].version

    def build_record(self, number: int) -> wire.BlockRecord:
        """Build the record to store for the block."""
        return wire.BlockRecord(
            {
                str(machine_id): (
                    machine.address,
                    str(machine.machine_type),
                    str(machine.zone),
                    machine.spot,
                )
                for machine_id in sorted(self._blocks[number].machine_ids)
                if (machine := self._cluster.machines.get(machine_id)) is not None
            }
        )

    def set_version(self, number: int, version: Version) -> None:
        """Set the version of a block in the state service."""
        self._blocks[number].version = version

    def record_stored(self, number: int, stored_ids: set[MachineId]) -> None:
        """Record that the state service has stored the block with these machines."""
        machine_ids = self._blocks[number].machine_ids
        if stored_ids == machine_ids:
            self._changed_blocks.discard(number)
            self.machines_moving_out.pop(number, None)
        for machine_id in stored_ids & machine_ids:
            self._unstored_block_by_machine.pop(machine_id, None)
            machine = self._cluster.machines.get(machine_id)
            if machine is not None:
                machine.block_number = number
                machine.mark_availability_changed()

    def _accepts_machine(self, number: int) -> bool:
        block = self._blocks.setdefault(number, MachineBlock())
        return (
            len(block.machine_ids) < self.machines_per_block
            and number not in self.machines_moving_out
        )

    def _remove_from_block(self, machine_id: MachineId, number: int) -> None:
        self._changed_blocks.add(number)
        self._blocks[number].machine_ids.discard(machine_id)
