/**
 * Lists executors at regular intervals: which attempts they run, and whether they are draining.
 */
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorReports } from "./executor-reports.js";
import type { ExecutorRow } from "./executor-row.js";
import type { ResolvedRouterOptions } from "./types.js";

/** Lists the executors of a pool. */
export class ExecutorLister {
    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly pool: ExecutorPool,
        private readonly reports: ExecutorReports,
    ) {}

    /** Starts the listings that are due; `onListed` is called after each. */
    poll(now: number, onListed: () => void): void {
        for (const row of this.pool.listRows()) {
            // A listing that never ends must not prevent later ones.
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
            // As after a returned failure, nothing was listed: the last listing grows old.
        }
        finally {
            if (row.lastListStartedAt === requestedAt) {
                row.isListing = false;
            }
        }
    }
}
