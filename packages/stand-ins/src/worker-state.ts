/**
 * The tasks of one worker stand-in. It starts whatever it is given and records what a correct scheduler never sends.
 */
import type { Clock, Failure, ResourceVector, Result, TaskId, Timer } from "@waxwingroute/core";
import { addResources, createFailure, Err, fitsWithin, multiplyResources, Ok, zeroResources } from "@waxwingroute/core";
import type {
    TaskLeaseRenewal,
    TaskOutcome,
    TaskStart,
    WorkerAddress,
    WorkerReport,
    WorkerTask,
} from "@waxwingroute/platform";
import type { Overcommit, Records, TaskRun } from "./records.js";
import { parseCommand } from "./task-command.js";

/** Options of a worker stand-in. */
export interface WorkerStateOptions {
    readonly clock: Clock;
    readonly records: Records;
    readonly address: WorkerAddress;
    /** Milliseconds after its start at which a task first reports its use. Default 2,000. */
    readonly usageLagMs?: number;
    /** Part of its declared amounts that a task uses, from 0 up. Default 0.75. */
    readonly usageFraction?: number;
    /** Milliseconds for which outcomes are kept without an acknowledgement. Default 600,000. */
    readonly outcomeKeepMs?: number;
}

interface TaskRow {
    readonly start: TaskStart;
    readonly run: TaskRun;
    readonly startedAt: number;
    /** When the task ends by itself; `undefined` if never. */
    readonly endsAt: number | undefined;
    endTimer: Timer | undefined;
    leaseTimer: Timer | undefined;
    keepTimer: Timer | undefined;
    outcome: TaskOutcome | undefined;
    throttlePercent: number;
}

/** The state of one worker. */
export class WorkerState {
    /** Every task that starts while this is set fails at once. */
    isFailingEverything = false;
    isDraining = false;
    private readonly tasks = new Map<TaskId, TaskRow>();
    private used: ResourceVector = zeroResources;
    private overcommit: Overcommit | undefined;

    constructor(private readonly options: WorkerStateOptions) {}

    /** Starts a task that arrived `elapsedMs` after it was sent. */
    start(start: TaskStart, elapsedMs: number): Result<void, Failure> {
        const { records, address, clock } = this.options;
        const at = clock.getNow();
        if (elapsedMs >= start.expiresInMs) {
            const lateByMs = elapsedMs - start.expiresInMs;
            records.lateStarts.push({ worker: address.worker, task: start.task, lateByMs, at });
            const message = `start of task "${start.task}" arrived ${lateByMs} ms after its expiry`;
            return Err(createFailure("worker-refused", message, "notRun"));
        }
        const existing = this.tasks.get(start.task);
        if (existing !== undefined) {
            const wasRunning = existing.outcome === undefined;
            records.repeatedStarts.push({ worker: address.worker, task: start.task, wasRunning, at });
            if (wasRunning) {
                return Ok(undefined);
            }
            this.dropRow(existing);
        }
        this.run(start);
        return Ok(undefined);
    }

    /** Renews the leases of the named tasks, forgets acknowledged outcomes, and reports. */
    renew(renewal: TaskLeaseRenewal): Result<WorkerReport, Failure> {
        for (const task of renewal.acknowledged) {
            const row = this.tasks.get(task);
            if (row?.outcome !== undefined) {
                this.dropRow(row);
            }
        }
        for (const task of renewal.tasks) {
            const row = this.tasks.get(task);
            if (row !== undefined && row.outcome === undefined) {
                this.setLease(row, renewal.leaseMs);
            }
        }
        return this.list();
    }

    stop(task: TaskId): Result<void, Failure> {
        this.finishTask(task, "stopped");
        return Ok(undefined);
    }

    /** Stops a task and keeps the time that it has left for its next start on any worker. */
    checkpoint(task: TaskId): Result<void, Failure> {
        const row = this.tasks.get(task);
        if (row !== undefined && row.outcome === undefined && row.endsAt !== undefined) {
            this.options.records.checkpoints.set(task, Math.max(0, row.endsAt - this.options.clock.getNow()));
        }
        return this.stop(task);
    }

    throttle(task: TaskId, percent: number): Result<void, Failure> {
        const row = this.tasks.get(task);
        if (row === undefined || row.outcome !== undefined) {
            return Err(createFailure("worker-unknown-task", `task "${task}" does not run here`, "notRun"));
        }
        row.throttlePercent = percent;
        return Ok(undefined);
    }

    /** Ends the lease of a task now; returns whether the task ran. */
    expireLease(task: TaskId): boolean {
        return this.finishTask(task, "leaseExpired");
    }

    /** Drops all tasks and outcomes, as a power failure does. */
    reset(): void {
        for (const row of this.tasks.values()) {
            if (row.outcome === undefined) {
                this.finishRow(row, "stopped");
            }
            this.dropRow(row);
        }
    }

    list(): Result<WorkerReport, Failure> {
        return Ok({
            worker: this.options.address.worker,
            capacity: this.options.address.capacity,
            isDraining: this.isDraining,
            tasks: [...this.tasks.values()].map(row => this.toTask(row)),
        });
    }

    private run(start: TaskStart): void {
        const { clock, records, address } = this.options;
        const behaviour = this.isFailingEverything
            ? { durationMs: 0, outcome: "failed" as const }
            : parseCommand(start.command);
        const startedAt = clock.getNow();
        const durationMs = records.checkpoints.get(start.task) ?? behaviour.durationMs;
        records.checkpoints.delete(start.task);
        const { task, team, resources, epoch } = start;
        const row: TaskRow = {
            start,
            run: records.recordTaskStart({ worker: address.worker, task, team, resources, epoch }),
            startedAt,
            endsAt: durationMs === undefined ? undefined : startedAt + durationMs,
            endTimer: undefined,
            leaseTimer: undefined,
            keepTimer: undefined,
            outcome: undefined,
            throttlePercent: 100,
        };
        this.tasks.set(task, row);
        this.used = addResources(this.used, start.resources);
        this.recordOvercommit();
        this.setLease(row, start.leaseMs);
        if (durationMs !== undefined) {
            row.endTimer = clock.schedule(durationMs, () => this.finishRow(row, behaviour.outcome));
        }
    }

    private setLease(row: TaskRow, leaseMs: number): void {
        row.leaseTimer?.cancel();
        row.leaseTimer = this.options.clock.schedule(leaseMs, () => this.finishRow(row, "leaseExpired"));
    }

    private finishTask(task: TaskId, outcome: TaskOutcome): boolean {
        const row = this.tasks.get(task);
        if (row === undefined || row.outcome !== undefined) {
            return false;
        }
        this.finishRow(row, outcome);
        return true;
    }

    private finishRow(row: TaskRow, outcome: TaskOutcome): void {
        if (row.outcome !== undefined) {
            return;
        }
        row.endTimer?.cancel();
        row.leaseTimer?.cancel();
        row.outcome = outcome;
        this.options.records.recordTaskEnd(row.run, outcome);
        // Not subtractResources: it stops at 0 and would hide an error in the sum.
        this.used = addResources(this.used, {
            cpuMillis: -row.start.resources.cpuMillis,
            memoryMb: -row.start.resources.memoryMb,
            accelerators: -row.start.resources.accelerators,
        });
        this.recordOvercommit();
        row.keepTimer = this.options.clock.schedule(this.options.outcomeKeepMs ?? 600_000, () => this.dropRow(row));
    }

    private dropRow(row: TaskRow): void {
        row.keepTimer?.cancel();
        this.tasks.delete(row.start.task);
    }

    private recordOvercommit(): void {
        const { records, address, clock } = this.options;
        const isOver = !fitsWithin(this.used, address.capacity);
        if (isOver && this.overcommit === undefined) {
            const { worker, capacity } = address;
            this.overcommit = { worker, capacity, used: this.used, from: clock.getNow() };
            records.overcommits.push(this.overcommit);
        }
        else if (isOver && this.overcommit !== undefined) {
            const previous = this.overcommit.used;
            this.overcommit.used = {
                cpuMillis: Math.max(previous.cpuMillis, this.used.cpuMillis),
                memoryMb: Math.max(previous.memoryMb, this.used.memoryMb),
                accelerators: Math.max(previous.accelerators, this.used.accelerators),
            };
        }
        else if (!isOver && this.overcommit !== undefined) {
            this.overcommit.until = clock.getNow();
            this.overcommit = undefined;
        }
    }

    private toTask(row: TaskRow): WorkerTask {
        const hasUsage = row.outcome === undefined
            && this.options.clock.getNow() - row.startedAt >= (this.options.usageLagMs ?? 2_000);
        const fraction = (this.options.usageFraction ?? 0.75) * row.throttlePercent / 100;
        const usage = {
            ...multiplyResources(row.start.resources, fraction),
            accelerators: row.start.resources.accelerators,
        };
        return {
            task: row.start.task,
            team: row.start.team,
            resources: row.start.resources,
            epoch: row.start.epoch,
            outcome: row.outcome,
            usage: hasUsage ? usage : undefined,
        };
    }
}
