/**
 * The executors of a shard: which slots are in use, and which executor gets the next request.
 */
import type { ExecutorId, QueueId, TeamId } from "@waxwingroute/core";
import { Table } from "@waxwingroute/core";
import { ExecutorHealth, selectOutliers } from "./executor-health.js";
import { ExecutorRow } from "./executor-row.js";
import type { SlotUse } from "./executor-row.js";
import { FreeSlotIndex } from "./free-slot-index.js";
import type { ResolvedRouterOptions, RouterExecutor } from "./types.js";

/** What a request needs of an executor. */
export interface ExecutorNeed {
    readonly queue: QueueId;
    readonly isIdempotent: boolean;
    /** Executors that already had an attempt at the request. */
    readonly tried: readonly ExecutorId[];
}

// Ten lists a second of an executor that refuses everything cost it little, and a restarted one is soon back.
const relistMs = 100;
// An estimate of waiting times needs no newer number, and counting costs more than a refusal.
const usableSlotsMs = 50;
// In list intervals. One or two lost lists say little; three seconds is within the time that a leaving endpoint has.
const maxListAge = 3;

export class ExecutorPool {
    private readonly rows = new Table<ExecutorId, ExecutorRow>();
    private readonly index = new FreeSlotIndex();
    private readonly running = new Map<TeamId, number>();
    private readonly usableSlots = new Map<QueueId, { readonly slots: number; readonly countedAt: number; }>();
    private readonly maxListAgeMs: number;
    /** When no attempt of an earlier owner can run any more. */
    readonly earlierOwnerEndsBy: number;
    private unknownSlots = 0;
    private evaluateAt = 0;

    constructor(private readonly options: ResolvedRouterOptions) {
        this.maxListAgeMs = maxListAge * options.listIntervalMs;
        const { clock, maxDeadlineMs, startInFlightMs, clockRateBound } = options;
        this.earlierOwnerEndsBy = clock.getNow() + (maxDeadlineMs + startInFlightMs) * (1 + clockRateBound);
    }

    list(): ExecutorRow[] {
        return [...this.rows.values()];
    }

    get(executor: ExecutorId): ExecutorRow | undefined {
        return this.rows.get(executor);
    }

    /** Adds an executor, or updates its definition and keeps its slots. */
    update(definition: RouterExecutor): void {
        const row = this.rows.get(definition.executor);
        if (row === undefined) {
            const health = new ExecutorHealth(this.options.ejectionMs);
            const created = new ExecutorRow(definition, health);
            this.rows.set(definition.executor, created);
            this.index.update(created);
        }
        else {
            row.definition = definition;
            row.isRemoved = false;
            this.index.update(row);
        }
        this.updateUnknownSlots();
    }

    /** Removes an executor. Its row stays until its attempts have ended, in case the executor is added again. */
    remove(executor: ExecutorId): void {
        const row = this.rows.get(executor);
        if (row !== undefined) {
            row.isRemoved = true;
            this.deleteUnused(row);
        }
    }

    /** Returns the number of slots that a team uses in the shard. */
    countRunning(team: TeamId): number {
        return this.running.get(team) ?? 0;
    }

    /**
     * Returns the slots of executors that were never listed. An earlier owner may have filled them with attempts of any one
     * team, so they count against the grant of each team until the last such attempt has timed out.
     */
    countUnknownSlots(now: number): number {
        return now < this.earlierOwnerEndsBy ? this.unknownSlots : 0;
    }

    /** Returns the slots of executors in rotation that serve a queue, without those whose use is uncertain. */
    countUsableSlots(queue: QueueId, now: number): number {
        const known = this.usableSlots.get(queue);
        if (known !== undefined && now - known.countedAt < usableSlotsMs) {
            return known.slots;
        }
        let slots = 0;
        for (const row of this.rows.values()) {
            if (row.isInRotation(now, this.maxListAgeMs) && !row.health.isEjected && hasQueue(row, queue)) {
                slots += Math.max(0, row.capacity - row.uncertainCount);
            }
        }
        this.usableSlots.set(queue, { slots, countedAt: now });
        return slots;
    }

    /** Returns whether any executor in rotation that serves the queue has not been tried. */
    hasUntried(need: ExecutorNeed, now: number): boolean {
        return this.list().some(row =>
            row.isInRotation(now, this.maxListAgeMs) && !row.health.isEjected && hasQueue(row, need.queue)
            && !need.tried.includes(row.definition.executor)
        );
    }

    /** Returns the executor with the most free slots; of equal ones, the one that has had that number for longest. */
    choose(need: ExecutorNeed, now: number): ExecutorRow | undefined {
        return this.index.find(row => this.canServe(row, need, now));
    }

    private canServe(row: ExecutorRow, need: ExecutorNeed, now: number): boolean {
        if (!row.isInRotation(now, this.maxListAgeMs) || !hasQueue(row, need.queue)) {
            return false;
        }
        if (need.tried.includes(row.definition.executor)) {
            return false;
        }
        // An executor that is out of rotation gets one probe at a time.
        return !row.health.isEjected || row.uses.size === 0 && row.health.canProbe(need.isIdempotent, now);
    }

    take(row: ExecutorRow, use: SlotUse): void {
        row.uses.set(use.attempt, use);
        this.index.update(row);
        row.uncertainCount += use.state === "running" ? 0 : 1;
        if (use.team !== undefined) {
            this.running.set(use.team, this.countRunning(use.team) + 1);
        }
    }

    release(row: ExecutorRow, use: SlotUse): void {
        if (!row.uses.delete(use.attempt)) {
            return;
        }
        this.index.update(row);
        row.uncertainCount -= use.state === "running" ? 0 : 1;
        if (use.team !== undefined) {
            this.running.set(use.team, this.countRunning(use.team) - 1);
        }
        this.deleteUnused(row);
    }

    /** Keeps the slot of an attempt whose answer was lost until a list shows that it ended. */
    markUncertain(row: ExecutorRow, use: SlotUse, now: number): void {
        if (row.uses.has(use.attempt) && use.state === "running") {
            use.state = "uncertain";
            row.uncertainCount++;
            this.scheduleList(row, now);
        }
    }

    /**
     * Takes an executor that did not accept an attempt out of rotation until its next list. It fails faster than others
     * answer, so it would always have the most free slots and attract every request.
     */
    markUnlisted(row: ExecutorRow, now: number): void {
        row.isListed = false;
        row.listNeededFrom = now;
        this.scheduleList(row, now);
    }

    /** Lists an executor soon instead of at the end of the interval. */
    scheduleList(row: ExecutorRow, now: number): void {
        row.nextListAt = Math.min(row.nextListAt, Math.max(now, row.lastListStartedAt + relistMs));
    }

    /** Frees slots whose attempts can no longer run, for executors that cannot be listed. A list is better evidence. */
    expire(now: number): void {
        for (const row of this.rows.values()) {
            if (row.uncertainCount === 0 || now - row.listedAt <= this.maxListAgeMs) {
                continue;
            }
            for (
                const use of [...row.uses.values()].filter(other => other.state !== "running" && now >= other.endsBy)
            ) {
                this.release(row, use);
                row.expired.set(use.attempt, use);
            }
        }
    }

    /** Takes outliers out of rotation, at most once a second; returns them. */
    removeOutliers(now: number): ExecutorRow[] {
        if (now < this.evaluateAt) {
            return [];
        }
        this.evaluateAt = now + 1000;
        const rows = this.list();
        const ejectedCount = rows.filter(row => row.health.isEjected).length;
        const rates = rows.map(row => row.health.isEjected ? undefined : row.health.computeSuccessRate(now));
        const outliers = selectOutliers(rates, Math.floor(rows.length / 3) - ejectedCount).map(index => rows[index]!);
        for (const row of outliers) {
            row.health.startEjection(now);
        }
        return outliers;
    }

    /** Takes a change of an executor's slots into account; `isFirst` tells whether its first list made the change. */
    refresh(row: ExecutorRow, isFirst: boolean): void {
        this.index.update(row);
        if (isFirst) {
            this.updateUnknownSlots();
        }
    }

    private updateUnknownSlots(): void {
        this.unknownSlots = this.list()
            .filter(row => row.listedAt === Number.NEGATIVE_INFINITY)
            .reduce((sum, row) => sum + row.capacity, 0);
    }

    private deleteUnused(row: ExecutorRow): void {
        const isKnown = row.listedAt !== Number.NEGATIVE_INFINITY;
        if (
            row.isRemoved && row.uses.size === 0
            && (isKnown || this.countUnknownSlots(this.options.clock.getNow()) === 0)
        ) {
            this.rows.delete(row.definition.executor);
            this.index.remove(row);
        }
    }
}

function hasQueue(row: ExecutorRow, queue: QueueId): boolean {
    return row.definition.queues.length === 0 || row.definition.queues.includes(queue);
}
