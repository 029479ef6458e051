/**
 * One executor and its occupied slots.
 *
 * A slot becomes free only when its attempt is known to have ended: by its answer, by a failure that says that it did
 * not run, or by a listing of the executor that was requested late enough to show it.
 */
import type { AttemptId, TeamId } from "@waxwingroute/core";
import type { ExecutorReport } from "@waxwingroute/platform";
import type { ExecutorHealth } from "./executor-health.js";
import type { RouterExecutor } from "./types.js";

/** A slot and the attempt that occupies it. */
export interface OccupiedSlot {
    readonly attempt: AttemptId;
    /** `undefined` for an attempt of an earlier owner whose id names no team. */
    readonly team: TeamId | undefined;
    /**
     * `running`: the answer is awaited. `uncertain`: the answer was lost. `foreign`: sent by an earlier owner. A
     * listing frees only slots in the last two states.
     */
    state: "running" | "uncertain" | "foreign";
    /**
     * A listing without the attempt proves that it ended only if it was requested at this time or later. Before, the
     * call may not have arrived yet.
     */
    listingConclusiveFrom: number;
    /** Whether a listing has shown the attempt. */
    isSeen: boolean;
    /** From this time on the attempt can no longer be running, if the executor obeys the time-out that it was given. */
    readonly endsBy: number;
}

/** An executor, its occupied slots and the state of its listings. */
export class ExecutorRow {
    readonly occupiedSlots = new Map<AttemptId, OccupiedSlot>();
    /** Slots that were freed at `endsBy` without a listing; a later listing may still show their attempts. */
    readonly expiredSlots = new Map<AttemptId, OccupiedSlot>();
    reportedSlots = Number.POSITIVE_INFINITY;
    isReportedDraining = false;
    /** Whether it is known what the executor runs; nothing is sent to it otherwise. */
    isListed = false;
    /** A listing requested before this time does not return the executor to rotation. */
    listNeededFrom = Number.NEGATIVE_INFINITY;
    isListing = false;
    lastListStartedAt = Number.NEGATIVE_INFINITY;
    isRemoved = false;
    nextListAt = 0;
    /** When the newest listing was requested. */
    listedAt = Number.NEGATIVE_INFINITY;
    /** Occupied slots whose state is `uncertain` or `foreign`. */
    uncertainCount = 0;

    constructor(public definition: RouterExecutor, readonly health: ExecutorHealth) {}

    get capacity(): number {
        return Math.min(this.definition.slots, this.definition.connections, this.reportedSlots);
    }

    get freeSlots(): number {
        return this.capacity - this.occupiedSlots.size;
    }

    /**
     * Returns whether the executor may get new requests, apart from free slots and ejection. Without a listing for
     * `maxListAgeMs` it may be draining or unreachable.
     */
    isInRotation(now: number, maxListAgeMs: number): boolean {
        return this.isListed && !this.isRemoved && !this.isReportedDraining && !this.definition.isDraining
            && now - this.listedAt <= maxListAgeMs;
    }

    /**
     * Marks the attempts that a listing shows: they have arrived, so any later listing without them proves their end.
     */
    markSeen(report: ExecutorReport, requestedAt: number): void {
        for (const attempt of report.running) {
            const slot = this.occupiedSlots.get(attempt);
            if (slot !== undefined && !slot.isSeen) {
                slot.isSeen = true;
                slot.listingConclusiveFrom = Math.min(slot.listingConclusiveFrom, requestedAt);
            }
        }
    }

    /** Returns the slots whose attempts have ended according to a listing that was requested at `requestedAt`. */
    listEndedSlots(report: ExecutorReport, requestedAt: number): OccupiedSlot[] {
        const running = new Set(report.running);
        return [...this.occupiedSlots.values()].filter(slot =>
            slot.state !== "running" && requestedAt >= slot.listingConclusiveFrom && !running.has(slot.attempt)
        );
    }
}
