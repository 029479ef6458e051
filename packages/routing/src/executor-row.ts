/**
 * One executor and the use of its slots.
 *
 * A slot is free only when the attempt in it is known to have ended: by its answer, by a failure that says it did not
 * run, or by a list of the executor that was requested late enough to show it.
 */
import type { AttemptId, TeamId } from "@waxwingroute/core";
import type { ExecutorReport } from "@waxwingroute/platform";
import type { ExecutorHealth } from "./executor-health.js";
import type { RouterExecutor } from "./types.js";

/** An attempt that takes a slot. */
export interface OccupiedSlot {
    readonly attempt: AttemptId;
    /** `undefined` if the attempt belongs to another owner and names no team. */
    readonly team: TeamId | undefined;
    /**
     * `running`: the answer is awaited. `uncertain`: the answer was lost. `foreign`: sent by an earlier owner. Only the
     * last two can be ended by a list.
     */
    state: "running" | "uncertain" | "foreign";
    /** A list requested before this time does not show that the attempt ended, because it may not have arrived yet. */
    listingConclusiveFrom: number;
    /** Whether a list has shown the attempt. */
    isSeen: boolean;
    /** The attempt cannot run at this time any more, if the executor keeps to the time-out that it was given. */
    readonly endsBy: number;
}

export class ExecutorRow {
    readonly occupiedSlots = new Map<AttemptId, OccupiedSlot>();
    /** Slots freed by `endsBy` without a list; a later list may still show them. */
    readonly expiredSlots = new Map<AttemptId, OccupiedSlot>();
    reportedSlots = Number.POSITIVE_INFINITY;
    isReportedDraining = false;
    /** Whether it is known what the executor runs; nothing is sent before. */
    isListed = false;
    /** A list requested before this time does not return the executor to rotation. */
    listNeededFrom = Number.NEGATIVE_INFINITY;
    isListing = false;
    lastListStartedAt = Number.NEGATIVE_INFINITY;
    isRemoved = false;
    nextListAt = 0;
    /** When the newest list was requested. */
    listedAt = Number.NEGATIVE_INFINITY;
    uncertainCount = 0;

    constructor(public definition: RouterExecutor, readonly health: ExecutorHealth) {}

    get capacity(): number {
        return Math.min(this.definition.slots, this.definition.connections, this.reportedSlots);
    }

    get freeSlots(): number {
        return this.capacity - this.occupiedSlots.size;
    }

    /**
     * Returns whether the executor may get new work, apart from slots and ejection. Without a list for `maxListAgeMs` it
     * may be draining or unreachable.
     */
    isInRotation(now: number, maxListAgeMs: number): boolean {
        return this.isListed && !this.isRemoved && !this.isReportedDraining && !this.definition.isDraining
            && now - this.listedAt <= maxListAgeMs;
    }

    /** Marks the attempts that a list shows: they have arrived, so any later list without them shows that they ended. */
    markSeen(report: ExecutorReport, requestedAt: number): void {
        for (const attempt of report.running) {
            const slot = this.occupiedSlots.get(attempt);
            if (slot !== undefined && !slot.isSeen) {
                slot.isSeen = true;
                slot.listingConclusiveFrom = Math.min(slot.listingConclusiveFrom, requestedAt);
            }
        }
    }

    /** Returns the uses that a list, requested at `requestedAt`, shows to have ended. */
    listEndedSlots(report: ExecutorReport, requestedAt: number): OccupiedSlot[] {
        const running = new Set(report.running);
        return [...this.occupiedSlots.values()].filter(slot =>
            slot.state !== "running" && requestedAt >= slot.listingConclusiveFrom && !running.has(slot.attempt)
        );
    }
}
