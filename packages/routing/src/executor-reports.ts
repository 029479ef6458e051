/**
 * Applies what executors say of the attempts that they run.
 */
import { toId } from "@waxwingroute/core";
import type { AttemptId, ExecutorId, TeamId } from "@waxwingroute/core";
import type { ExecutorReport } from "@waxwingroute/platform";
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorRow } from "./executor-row.js";

/** Returns the team that an attempt id of any owner names. */
function parseAttemptTeam(attempt: AttemptId): TeamId | undefined {
    const parts = attempt.split(".");
    return parts.length === 6 ? toId<TeamId>(parts[5]!) : undefined;
}

export class ExecutorReports {
    /** `attemptPrefix` begins the id of each attempt of this owner. */
    constructor(private readonly pool: ExecutorPool, private readonly attemptPrefix: string) {}

    /** Counts attempts of an earlier owner against the executor's slots until its list no longer has them. */
    adoptAttempts(executor: ExecutorId, attempts: readonly AttemptId[], now: number): void {
        const row = this.pool.get(executor);
        if (row === undefined) {
            return;
        }
        const isFirstList = row.listedAt === Number.NEGATIVE_INFINITY;
        row.isListed = true;
        row.listedAt = now;
        for (const attempt of attempts) {
            this.addForeignAttempt(row, attempt, now);
        }
        this.pool.updateCapacity(row, isFirstList);
    }

    /** Applies a list that was requested at `requestedAt`, unless a newer one was applied before. */
    apply(row: ExecutorRow, report: ExecutorReport, requestedAt: number, now: number): void {
        if (requestedAt < row.listedAt) {
            return;
        }
        row.isReportedDraining = report.isDraining;
        row.reportedSlots = report.slots;
        const isFirstList = row.listedAt === Number.NEGATIVE_INFINITY;
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
        this.pool.updateCapacity(row, isFirstList);
    }

    /** Counts listed attempts that take no slot yet: those of earlier owners, and own ones whose slot expired. */
    private addListed(row: ExecutorRow, report: ExecutorReport, now: number): void {
        const expired = new Map(row.expiredSlots);
        row.expiredSlots.clear();
        for (const attempt of report.running) {
            const expiredSlot = expired.get(attempt);
            if (expiredSlot !== undefined) {
                this.pool.takeSlot(row, expiredSlot);
            }
            // An own attempt that takes no slot was answered after the list was requested.
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
