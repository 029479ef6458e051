/**
 * Choice of the workers for the tasks of a job: one policy for each kind of job.
 */
import type { JobRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { countWaiting } from "./task-indexes.js";
import type { JobKind } from "./types.js";

/**
 * - `placed`: one task or one whole gang was started.
 * - `full`: no worker has room.
 * - `unclear`: the search found no worker but was cut short, so another search may find one.
 */
export type PlacementOutcome = "placed" | "full" | "unclear";

/**
 * A search that rejected at least this many workers was cut short by the bound of `CapacityIndex`. Must equal
 * `maxRejectedRows` there.
 */
const boundedSearchRejections = 96;

/** Chooses workers for the tasks of one kind of job. */
export abstract class PlacementPolicy {
    protected readonly state: PlacementState;

    constructor(state: PlacementState) {
        this.state = state;
    }

    /** Starts the next task of a job, or all tasks of a gang. The caller has checked the grant. */
    abstract placeNext(job: JobRow): PlacementOutcome;

    /** Returns the number of tasks that `placeNext` starts together. */
    countTasksPerStart(_job: JobRow): number {
        return 1;
    }

    protected classifyFailure(): PlacementOutcome {
        return this.state.workers.index.rejectedCount >= boundedSearchRejections ? "unclear" : "full";
    }
}

/** Packs tasks into the fullest workers that have room, and sends probes to ejected workers. */
export class BatchPolicy extends PlacementPolicy {
    override placeNext(job: JobRow): PlacementOutcome {
        const { workers } = this.state;
        if (this.placeProbe(job)) {
            return "placed";
        }
        const { cpu, memory, accelerators } = job.shape;
        const row = workers.index.findBestFit(cpu, memory, accelerators);
        if (row < 0) {
            return this.classifyFailure();
        }
        this.state.startTask(job, row, "bestFit", workers.index.rejectedCount);
        return "placed";
    }

    private placeProbe(job: JobRow): boolean {
        const { health, workers, now } = this.state;
        // Urgent work is not used for probes, because an ejected worker failed most of its tasks.
        if (health.ejected.size === 0 || job.priority === "urgent") {
            return false;
        }
        const row = health.findProbeRow(now, candidate => workers.fitsFree(candidate, job.shape, 1));
        if (row < 0) {
            return false;
        }
        health.markProbe(row);
        this.state.startTask(job, row, "probe", 0);
        return true;
    }
}

/** Most racks that one placement of a service compares. */
const maxComparedRacks = 16;
/** Most workers of each rack that one placement of a service compares. */
const maxComparedWorkers = 48;

/** Spreads the tasks of a service over racks and then over workers. */
export class ServicePolicy extends PlacementPolicy {
    override placeNext(job: JobRow): PlacementOutcome {
        const { workers } = this.state;
        const spreadRow = this.findSpreadRow(job);
        if (spreadRow >= 0) {
            this.state.startTask(job, spreadRow, "spread", this.rejectedCount);
            return "placed";
        }
        const { cpu, memory, accelerators } = job.shape;
        const row = workers.index.findBestFit(cpu, memory, accelerators);
        if (row < 0) {
            return this.classifyFailure();
        }
        this.state.startTask(job, row, "bestFit", this.rejectedCount + workers.index.rejectedCount);
        return "placed";
    }

    private rejectedCount = 0;

    /** Returns the worker with the fewest tasks of the job in the rack with the fewest, of those compared, or -1. */
    private findSpreadRow(job: JobRow): number {
        const { workers } = this.state;
        const rackCount = workers.rackRows.length;
        // Each placement starts at another rack, so that jobs with more tasks than compared racks reach all racks.
        const start = this.state.advanceSearchCursor(1);
        let bestRow = -1;
        let bestCount = Infinity;
        this.rejectedCount = 0;
        for (let offset = 0; offset < Math.min(rackCount, maxComparedRacks); offset++) {
            const rack = (start + offset) % rackCount;
            const count = job.rackTaskCounts.get(rack) ?? 0;
            if (count >= bestCount) {
                continue;
            }
            const row = this.findRowInRack(job, rack);
            if (row >= 0) {
                bestRow = row;
                bestCount = count;
            }
        }
        return bestRow;
    }

    private findRowInRack(job: JobRow, rack: number): number {
        const { workers } = this.state;
        const { cpu, memory, accelerators } = job.shape;
        const rows = workers.rackRows[rack] as number[];
        let bestRow = -1;
        let bestCount = Infinity;
        for (let offset = 0; offset < Math.min(rows.length, maxComparedWorkers); offset++) {
            const row = rows[offset] as number;
            const count = job.workerTaskCounts.get(row) ?? 0;
            if (count >= bestCount) {
                continue;
            }
            if (workers.index.fitsRow(row, cpu, memory, accelerators)) {
                bestRow = row;
                bestCount = count;
            }
            else {
                this.rejectedCount++;
            }
        }
        return bestRow;
    }
}

/** Starts all waiting tasks of a gang, or none. */
export class GangPolicy extends PlacementPolicy {
    override countTasksPerStart(job: JobRow): number {
        return countWaiting(job);
    }

    override placeNext(job: JobRow): PlacementOutcome {
        const { workers } = this.state;
        const { cpu, memory, accelerators } = job.shape;
        const count = countWaiting(job);
        const rows: number[] = [];
        let rejectedCount = 0;
        while (rows.length < count) {
            const row = workers.index.findBestFit(cpu, memory, accelerators);
            rejectedCount += workers.index.rejectedCount;
            if (row < 0) {
                for (const allocatedRow of rows) {
                    workers.addTasks(allocatedRow, job.shape, -1, false);
                }
                return "unclear";
            }
            workers.addTasks(row, job.shape, 1);
            rows.push(row);
        }
        for (const row of rows) {
            this.state.startTask(job, row, "gang", rejectedCount, true);
        }
        return "placed";
    }
}

/** Creates the policy for each kind of job. */
export function createPolicies(state: PlacementState): Readonly<Record<JobKind, PlacementPolicy>> {
    return {
        batch: new BatchPolicy(state),
        service: new ServicePolicy(state),
        gang: new GangPolicy(state),
    };
}
