/**
 * Applies what executors report about the attempts that they run.
 */
import { toId } from "@waxwingroute/core";
import type { AttemptId, ExecutorId, TeamId } from "@waxwingroute/core";
import type { ExecutorReport } from "@waxwingroute/platform";
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorRow } from "./executor-row.js";

/** Returns the team at the end of an attempt id, whichever owner sent the attempt. */
function parseAttemptTeam(attempt: AttemptId): TeamId | undefined {
    const parts = attempt.split(".");
    return parts.length === 6 ? toId<TeamId>(parts[5]!) : undefined;
}

/** Updates the slots of executors from their listings. */
export class ExecutorReports {
    /** The id of each attempt of this owner begins with `attemptPrefix`. */
    constructor(private readonly pool: ExecutorPool, private readonly attemptPrefix: string) {}

    /** Occupies slots for the attempts of an earlier owner until a listing of the executor no longer contains them. */
    adoptAttempts(executor: ExecutorId, attempts: readonly AttemptId[], now: number): void {
        const row = this.pool.get(executor);
        if (row === undefined) {
            return;
        }
        const isFirstListing = row.listedAt === Number.NEGATIVE_INFINITY;
        row.isListed = true;
        row.listedAt = now;
        for (const attempt of attempts) {
            this.addForeignAttempt(row, attempt, now);
        }
        this.pool.updateCapacity(row, isFirstListing);
    }

    /** Applies a listing that was requested at `requestedAt`, unless a newer one has already been applied. */
    apply(row: ExecutorRow, report: ExecutorReport, requestedAt: number, now: number): void {
        if (requestedAt < row.listedAt) {
            return;
        }
        row.isReportedDraining = report.isDraining;
        row.reportedSlots = report.slots;
        const isFirstListing = row.listedAt === Number.NEGATIVE_INFINITY;
        row.isListed ||= requestedAt >= row.listNeededFrom;
        row.listedAt = requestedAt;
        row.markSeen(report, requestedAt);
        for (const slot of row.listEndedSlots(report, requestedAt)) {
            this.pool.releaseSlot(row, slot);
        }
        if (row.uncertainCount > 0) {
            this.pool.scheduleList(row, now);
        }
        this.addListed(row, report, now);
        this.pool.updateCapacity(row, isFirstListing);
    }

    /** Occupies slots for listed attempts that have none: those of earlier owners, and own ones whose slot expired. */
    private addListed(row: ExecutorRow, report: ExecutorReport, now: number): void {
        const expired = new Map(row.expiredSlots);
        row.expiredSlots.clear();
        for (const attempt of report.running) {
            const expiredSlot = expired.get(attempt);
            if (expiredSlot !== undefined) {
                this.pool.takeSlot(row, expiredSlot);
            }
            // An own attempt without a slot was answered after the listing had been requested.
            else if (!row.occupiedSlots.has(attempt) && !attempt.startsWith(this.attemptPrefix)) {
                this.addForeignAttempt(row, attempt, now);
            }
        }
    }

    private addForeignAttempt(row: ExecutorRow, attempt: AttemptId, now: number): void {
        if (row.occupiedSlots.has(attempt)) {
            return;
        }
        const endsBy = this.pool.earlierAttemptsEndBy;
        this.pool.takeSlot(row, {
            attempt,
            team: parseAttemptTeam(attempt),
            state: "foreign",
            listingConclusiveFrom: now,
            isSeen: true,
            endsBy,
        });
    }
}
