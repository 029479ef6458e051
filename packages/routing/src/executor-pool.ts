/**
 * The executors of a shard: which slots are occupied, and which executor gets the next request.
 */
import type { ExecutorId, QueueId, TeamId } from "@waxwingroute/core";
import { Table } from "@waxwingroute/core";
import { ExecutorHealth, selectOutliers } from "./executor-health.js";
import { ExecutorRow } from "./executor-row.js";
import type { OccupiedSlot } from "./executor-row.js";
import { FreeSlotIndex } from "./free-slot-index.js";
import type { ResolvedRouterOptions, RouterExecutor } from "./types.js";

/** What a request requires of the executor that runs it. */
export interface ExecutorRequirements {
    readonly queue: QueueId;
    readonly isIdempotent: boolean;
    /** Executors that already had an attempt at the request. */
    readonly triedExecutors: readonly ExecutorId[];
}

// An executor that refuses everything is listed at most ten times a second, which costs it little; once it has
// restarted, it soon gets requests again.
const minListIntervalMs = 100;
// Recent enough for estimates of waiting times; a new count for each request would cost more than a refusal.
const usableSlotsCacheMs = 50;
// In list intervals. One or two lost listings in a row do not show that an executor has gone. Three seconds, at the
// default interval, are less than the notice that a leaving endpoint gets.
const maxListAgeIntervals = 3;

/** The executors that a router sends requests to, and their slots. */
export class ExecutorPool {
    private readonly rows = new Table<ExecutorId, ExecutorRow>();
    private readonly freeSlotIndex = new FreeSlotIndex();
    private readonly usedSlotsByTeam = new Map<TeamId, number>();
    private readonly usableSlotsByQueue = new Map<QueueId, { readonly slots: number; readonly countedAt: number; }>();
    private readonly maxListAgeMs: number;
    /** From this time on no attempt of an earlier owner can still be running. */
    readonly earlierAttemptsEndBy: number;
    private neverListedSlots = 0;
    private nextEvaluationAt = 0;

    constructor(private readonly options: ResolvedRouterOptions) {
        this.maxListAgeMs = maxListAgeIntervals * options.listIntervalMs;
        const { clock, maxDeadlineMs, startInFlightMs, clockRateBound } = options;
        this.earlierAttemptsEndBy = clock.getNow() + (maxDeadlineMs + startInFlightMs) * (1 + clockRateBound);
    }

    listRows(): ExecutorRow[] {
        return [...this.rows.values()];
    }

    get(executor: ExecutorId): ExecutorRow | undefined {
        return this.rows.get(executor);
    }

    /** Adds an executor, or updates its definition and keeps its occupied slots. */
    update(definition: RouterExecutor): void {
        const row = this.rows.get(definition.executor);
        if (row === undefined) {
            const health = new ExecutorHealth(this.options.ejectionMs);
            const created = new ExecutorRow(definition, health);
            this.rows.set(definition.executor, created);
            this.freeSlotIndex.update(created);
        }
        else {
            row.definition = definition;
            row.isRemoved = false;
            this.freeSlotIndex.update(row);
        }
        this.updateNeverListedSlots();
    }

    /** Removes an executor. Its row stays until its attempts have ended, in case the executor is added again. */
    remove(executor: ExecutorId): void {
        const row = this.rows.get(executor);
        if (row !== undefined) {
            row.isRemoved = true;
            this.deleteIfUnused(row);
        }
    }

    /** Returns how many slots of the shard a team occupies. */
    countUsedSlots(team: TeamId): number {
        return this.usedSlotsByTeam.get(team) ?? 0;
    }

    /**
     * Returns the number of slots of executors that were never listed. An earlier owner may have filled them all with
     * attempts of a single team, so they count against the grant of every team until the last such attempt has timed
     * out.
     */
    countNeverListedSlots(now: number): number {
        return now < this.earlierAttemptsEndBy ? this.neverListedSlots : 0;
    }

    /**
     * Returns the number of slots of executors in rotation that serve a queue, without those that only a listing can
     * show to be free.
     */
    countUsableSlots(queue: QueueId, now: number): number {
        const cached = this.usableSlotsByQueue.get(queue);
        if (cached !== undefined && now - cached.countedAt < usableSlotsCacheMs) {
            return cached.slots;
        }
        let slots = 0;
        for (const row of this.rows.values()) {
            if (row.isInRotation(now, this.maxListAgeMs) && !row.health.isEjected && hasQueue(row, queue)) {
                slots += Math.max(0, row.capacity - row.uncertainCount);
            }
        }
        this.usableSlotsByQueue.set(queue, { slots, countedAt: now });
        return slots;
    }

    /** Returns whether an executor in rotation serves the queue and has not been tried yet. */
    hasUntriedExecutor(requirements: ExecutorRequirements, now: number): boolean {
        return this.listRows().some(row =>
            row.isInRotation(now, this.maxListAgeMs) && !row.health.isEjected && hasQueue(row, requirements.queue)
            && !requirements.triedExecutors.includes(row.definition.executor)
        );
    }

    /**
     * Returns the executor with the most free slots that can serve a request; among equals, the one that has had this
     * number of free slots for the longest time.
     */
    chooseExecutor(requirements: ExecutorRequirements, now: number): ExecutorRow | undefined {
        return this.freeSlotIndex.find(row => this.canServe(row, requirements, now));
    }

    private canServe(row: ExecutorRow, requirements: ExecutorRequirements, now: number): boolean {
        if (!row.isInRotation(now, this.maxListAgeMs) || !hasQueue(row, requirements.queue)) {
            return false;
        }
        if (requirements.triedExecutors.includes(row.definition.executor)) {
            return false;
        }
        // An ejected executor gets one probe at a time.
        return !row.health.isEjected
            || row.occupiedSlots.size === 0 && row.health.canProbe(requirements.isIdempotent, now);
    }

    takeSlot(row: ExecutorRow, slot: OccupiedSlot): void {
        row.occupiedSlots.set(slot.attempt, slot);
        this.freeSlotIndex.update(row);
        row.uncertainCount += slot.state === "running" ? 0 : 1;
        if (slot.team !== undefined) {
            this.usedSlotsByTeam.set(slot.team, this.countUsedSlots(slot.team) + 1);
        }
    }

    releaseSlot(row: ExecutorRow, slot: OccupiedSlot): void {
        if (!row.occupiedSlots.delete(slot.attempt)) {
            return;
        }
        this.freeSlotIndex.update(row);
        row.uncertainCount -= slot.state === "running" ? 0 : 1;
        if (slot.team !== undefined) {
            this.usedSlotsByTeam.set(slot.team, this.countUsedSlots(slot.team) - 1);
        }
        this.deleteIfUnused(row);
    }

    /** Keeps the slot of an attempt whose answer was lost occupied until a listing shows that the attempt ended. */
    markUncertain(row: ExecutorRow, slot: OccupiedSlot, now: number): void {
        if (row.occupiedSlots.has(slot.attempt) && slot.state === "running") {
            slot.state = "uncertain";
            row.uncertainCount++;
            this.scheduleList(row, now);
        }
    }

    /**
     * Takes an executor that did not run an attempt out of rotation until its next listing. It fails faster than others
     * answer, so it would otherwise have the most free slots all the time and attract every request.
     */
    markUnlisted(row: ExecutorRow, now: number): void {
        row.isListed = false;
        row.listNeededFrom = now;
        this.scheduleList(row, now);
    }

    /** Lists an executor soon instead of at the end of the interval. */
    scheduleList(row: ExecutorRow, now: number): void {
        row.nextListAt = Math.min(row.nextListAt, Math.max(now, row.lastListStartedAt + minListIntervalMs));
    }

    /**
     * Frees the slots of attempts that can no longer be running, on executors that cannot be listed. Otherwise a
     * listing decides, because it is better evidence.
     */
    expire(now: number): void {
        for (const row of this.rows.values()) {
            if (row.uncertainCount === 0 || now - row.listedAt <= this.maxListAgeMs) {
                continue;
            }
            for (
                const slot of [...row.occupiedSlots.values()].filter(other =>
                    other.state !== "running" && now >= other.endsBy
                )
            ) {
                this.releaseSlot(row, slot);
                row.expiredSlots.set(slot.attempt, slot);
            }
        }
    }

    /** Ejects outliers, at most once a second and never more than a third of the executors in all; returns them. */
    startEjections(now: number): ExecutorRow[] {
        if (now < this.nextEvaluationAt) {
            return [];
        }
        this.nextEvaluationAt = now + 1000;
        const rows = this.listRows();
        const ejectedCount = rows.filter(row => row.health.isEjected).length;
        const rates = rows.map(row => row.health.isEjected ? undefined : row.health.computeSuccessRate(now));
        const outliers = selectOutliers(rates, Math.floor(rows.length / 3) - ejectedCount).map(index => rows[index]!);
        for (const row of outliers) {
            row.health.startEjection(now);
        }
        return outliers;
    }

    /**
     * Updates the counts after an executor's capacity changed; `isFirstListing` tells whether its first listing did
     * that.
     */
    updateCapacity(row: ExecutorRow, isFirstListing: boolean): void {
        this.freeSlotIndex.update(row);
        if (isFirstListing) {
            this.updateNeverListedSlots();
        }
    }

    private updateNeverListedSlots(): void {
        this.neverListedSlots = this.listRows()
            .filter(row => row.listedAt === Number.NEGATIVE_INFINITY)
            .reduce((sum, row) => sum + row.capacity, 0);
    }

    private deleteIfUnused(row: ExecutorRow): void {
        const isKnown = row.listedAt !== Number.NEGATIVE_INFINITY;
        if (
            row.isRemoved && row.occupiedSlots.size === 0
            && (isKnown || this.countNeverListedSlots(this.options.clock.getNow()) === 0)
        ) {
            this.rows.delete(row.definition.executor);
            this.freeSlotIndex.remove(row);
        }
    }
}

function hasQueue(row: ExecutorRow, queue: QueueId): boolean {
    return row.definition.queues.length === 0 || row.definition.queues.includes(queue);
}
