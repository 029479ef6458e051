/**
 * Lists executors at intervals: which attempts they run, and whether they are draining.
 */
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorReports } from "./executor-reports.js";
import type { ExecutorRow } from "./executor-row.js";
import type { ResolvedRouterOptions } from "./types.js";

export class ExecutorLister {
    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly pool: ExecutorPool,
        private readonly reports: ExecutorReports,
    ) {}

    /** Starts the lists that are due. `onListed` is called after each. */
    poll(now: number, onListed: () => void): void {
        for (const row of this.pool.listRows()) {
            // A list that never ends must not hide the executor's state for ever.
            const isBusy = row.isListing && now - row.lastListStartedAt < 3 * this.options.listIntervalMs;
            if (!isBusy && !row.isRemoved && now >= row.nextListAt) {
                row.isListing = true;
                row.lastListStartedAt = now;
                row.nextListAt = now + this.options.listIntervalMs;
                void this.listExecutor(row, now).then(onListed);
            }
        }
    }

    private async listExecutor(row: ExecutorRow, requestedAt: number): Promise<void> {
        try {
            const report = await row.definition.access.list();
            if (report.ok) {
                this.reports.apply(row, report.val, requestedAt, this.options.clock.getNow());
            }
        }
        catch {
            // An adapter that throws has listed nothing, like one that returns a failure: the last list grows old.
        }
        finally {
            if (row.lastListStartedAt === requestedAt) {
                row.isListing = false;
            }
        }
    }
}
