/**
 * The workers of the shard, with one array per property. The free capacity of a worker is its capacity minus what its
 * tasks use; the index also subtracts what reservations hold.
 */
import type { RackId, ResourceVector, WorkerId } from "@waxwingroute/core";
import { CapacityIndex, extendColumn } from "./capacity-index.js";
import { countFitting } from "./rows.js";
import type { TaskShape } from "./rows.js";
import type { WorkerUpdate } from "./types.js";

/** Workers with equal capacity and their number, for the check whether a job can ever run. */
interface CapacityGroup {
    readonly capacity: ResourceVector;
    count: number;
}

/** A table of workers. A worker keeps its row while it has tasks, also after it was removed. */
export class WorkerTable {
    readonly index = new CapacityIndex();
    readonly ids: WorkerId[] = [];
    /** Rack number of each row, or -1. */
    readonly racks: number[] = [];
    /** Rows of the workers of each rack. */
    readonly rackRows: number[][] = [];
    /** Rows whose free capacity may have grown since the set was last cleared. */
    readonly freedRows = new Set<number>();
    /** Total capacity of the workers in rotation. */
    totalCpu = 0;
    totalMemory = 0;
    totalAccelerators = 0;
    private readonly rows = new Map<WorkerId, number>();
    private readonly rackNumbers = new Map<RackId, number>();
    private readonly capacityGroups = new Map<string, CapacityGroup>();
    private readonly capacities: ResourceVector[] = [];
    private readonly isInRotation: boolean[] = [];
    private readonly isEjected: boolean[] = [];
    private readonly isRemoved: boolean[] = [];
    private readonly taskCounts: number[] = [];
    private readonly unusedRows: number[] = [];
    private usedCpu = new Int32Array(64);
    private usedMemory = new Int32Array(64);
    private usedAccelerators = new Int32Array(64);
    private heldCpu = new Int32Array(64);
    private heldMemory = new Int32Array(64);
    private heldAccelerators = new Int32Array(64);

    get size(): number {
        return this.rows.size;
    }

    /** Number of rows, of which some may be unused. */
    get rowCount(): number {
        return this.ids.length;
    }

    findRow(worker: WorkerId): number | undefined {
        return this.rows.get(worker);
    }

    /** Adds or changes a worker and returns its row. */
    update(change: WorkerUpdate): number {
        const row = this.rows.get(change.worker) ?? this.add(change.worker);
        this.addToTotals(row, -1);
        this.capacities[row] = change.capacity;
        this.isInRotation[row] = change.isInRotation;
        this.isRemoved[row] = false;
        this.addToTotals(row, 1);
        this.setRack(row, this.ensureRack(change.rack));
        this.refreshIndex(row, true);
        return row;
    }

    /** Removes a worker; its row is reused once its tasks have ended and nothing is held on it. */
    remove(row: number): void {
        this.addToTotals(row, -1);
        this.isInRotation[row] = false;
        this.isRemoved[row] = true;
        this.refreshIndex(row, false);
        this.releaseRowIfUnused(row);
    }

    setEjected(row: number, isEjected: boolean): void {
        this.isEjected[row] = isEjected;
        this.refreshIndex(row, !isEjected);
    }

    /** Returns whether the worker may get tasks that are not probes. */
    canPlace(row: number): boolean {
        return this.isInRotation[row] === true && this.isEjected[row] !== true;
    }

    isRowInRotation(row: number): boolean {
        return this.isInRotation[row] === true;
    }

    countTasks(row: number): number {
        return this.taskCounts[row] as number;
    }

    getCapacity(row: number): ResourceVector {
        return this.capacities[row] as ResourceVector;
    }

    /** Returns whether `count` tasks fit into the free capacity of a worker, ignoring what reservations hold. */
    fitsFree(row: number, shape: TaskShape, count: number): boolean {
        const capacity = this.capacities[row] as ResourceVector;
        return capacity.cpuMillis - (this.usedCpu[row] as number) >= shape.cpu * count
            && capacity.memoryMb - (this.usedMemory[row] as number) >= shape.memory * count
            && capacity.accelerators - (this.usedAccelerators[row] as number) >= shape.accelerators * count;
    }

    /** Returns the free capacity of a worker. Amounts are negative where its tasks use more than its capacity. */
    computeFree(row: number): ResourceVector {
        const capacity = this.capacities[row] as ResourceVector;
        return {
            cpuMillis: capacity.cpuMillis - (this.usedCpu[row] as number),
            memoryMb: capacity.memoryMb - (this.usedMemory[row] as number),
            accelerators: capacity.accelerators - (this.usedAccelerators[row] as number),
        };
    }

    /** Adds (`count` above 0) or removes tasks of a shape. A removal that undoes an attempt frees nothing new. */
    addTasks(row: number, shape: TaskShape, count: number, hasMoreFree = count < 0): void {
        this.usedCpu[row] = (this.usedCpu[row] as number) + shape.cpu * count;
        this.usedMemory[row] = (this.usedMemory[row] as number) + shape.memory * count;
        this.usedAccelerators[row] = (this.usedAccelerators[row] as number) + shape.accelerators * count;
        this.taskCounts[row] = (this.taskCounts[row] as number) + count;
        this.refreshIndex(row, hasMoreFree);
        if (this.isRemoved[row] === true) {
            this.releaseRowIfUnused(row);
        }
    }

    /** Holds (`count` above 0) or releases capacity for a reservation. */
    addHolds(row: number, shape: TaskShape, count: number): void {
        this.heldCpu[row] = (this.heldCpu[row] as number) + shape.cpu * count;
        this.heldMemory[row] = (this.heldMemory[row] as number) + shape.memory * count;
        this.heldAccelerators[row] = (this.heldAccelerators[row] as number) + shape.accelerators * count;
        this.refreshIndex(row, count < 0);
    }

    hasHolds(row: number): boolean {
        return this.heldCpu[row] !== 0 || this.heldMemory[row] !== 0 || this.heldAccelerators[row] !== 0;
    }

    /**
     * Returns how many tasks of a shape the workers could run if they were empty, up to `bound`. With
     * `isLimitedToRotation` only workers that may get tasks count.
     */
    countFitsWhenEmpty(shape: TaskShape, bound: number, isLimitedToRotation = false): number {
        let count = 0;
        if (isLimitedToRotation) {
            for (let row = 0; row < this.rowCount && count < bound; row++) {
                if (this.canPlace(row)) {
                    count += countFitting(this.capacities[row] as ResourceVector, shape);
                }
            }
            return count;
        }
        for (const group of this.capacityGroups.values()) {
            count += countFitting(group.capacity, shape) * group.count;
        }
        return Math.min(bound, count);
    }

    private add(worker: WorkerId): number {
        const row = this.unusedRows.pop() ?? this.ids.length;
        if (row >= this.usedCpu.length) {
            const size = this.usedCpu.length * 2;
            this.usedCpu = extendColumn(this.usedCpu, size);
            this.usedMemory = extendColumn(this.usedMemory, size);
            this.usedAccelerators = extendColumn(this.usedAccelerators, size);
            this.heldCpu = extendColumn(this.heldCpu, size);
            this.heldMemory = extendColumn(this.heldMemory, size);
            this.heldAccelerators = extendColumn(this.heldAccelerators, size);
        }
        this.ids[row] = worker;
        this.rows.set(worker, row);
        this.taskCounts[row] = 0;
        this.isEjected[row] = false;
        this.isInRotation[row] = false;
        this.isRemoved[row] = true;
        this.racks[row] = -1;
        return row;
    }

    private ensureRack(rack: RackId): number {
        const known = this.rackNumbers.get(rack);
        if (known !== undefined) {
            return known;
        }
        const number = this.rackRows.length;
        this.rackNumbers.set(rack, number);
        this.rackRows.push([]);
        return number;
    }

    private setRack(row: number, rack: number): void {
        const previous = this.racks[row] as number;
        if (previous === rack) {
            return;
        }
        if (previous >= 0) {
            this.rackRows[previous] = (this.rackRows[previous] as number[]).filter(other => other !== row);
        }
        if (rack >= 0) {
            (this.rackRows[rack] as number[]).push(row);
        }
        this.racks[row] = rack;
    }

    /** Adds a worker to the totals or, with `sign` -1, subtracts it. */
    private addToTotals(row: number, sign: 1 | -1): void {
        if (this.isRemoved[row] === true) {
            return;
        }
        const capacity = this.capacities[row] as ResourceVector;
        const key = `${capacity.cpuMillis}/${capacity.memoryMb}/${capacity.accelerators}`;
        const group = this.capacityGroups.get(key) ?? { capacity, count: 0 };
        group.count += sign;
        this.capacityGroups.set(key, group);
        if (group.count === 0) {
            this.capacityGroups.delete(key);
        }
        if (this.isInRotation[row] === true) {
            this.totalCpu += sign * capacity.cpuMillis;
            this.totalMemory += sign * capacity.memoryMb;
            this.totalAccelerators += sign * capacity.accelerators;
        }
    }

    private releaseRowIfUnused(row: number): void {
        if (this.taskCounts[row] !== 0 || this.hasHolds(row) || this.rows.get(this.ids[row] as WorkerId) !== row) {
            return;
        }
        this.setRack(row, -1);
        this.rows.delete(this.ids[row] as WorkerId);
        this.unusedRows.push(row);
    }

    private refreshIndex(row: number, hasMoreFree: boolean): void {
        if (!this.canPlace(row)) {
            this.index.remove(row);
            return;
        }
        const free = this.computeFree(row);
        this.index.update(
            row,
            free.cpuMillis - (this.heldCpu[row] as number),
            free.memoryMb - (this.heldMemory[row] as number),
            free.accelerators - (this.heldAccelerators[row] as number),
        );
        if (hasMoreFree) {
            this.freedRows.add(row);
        }
    }
}
