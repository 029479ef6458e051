/**
 * Lists executors at intervals: which attempts they run, and whether they are draining.
 */
import type { ExecutorPool } from "./executor-pool.js";
import type { ExecutorRow } from "./executor-row.js";
import type { ResolvedRouterOptions } from "./types.js";

export class ExecutorLister {
    constructor(private readonly options: ResolvedRouterOptions, private readonly pool: ExecutorPool) {}

    /** Starts the lists that are due. `onListed` is called after each. */
    poll(now: number, onListed: () => void): void {
        for (const row of this.pool.list()) {
            if (!row.isListing && !row.isRemoved && now >= row.nextListAt) {
                void this.listExecutor(row, now).then(onListed);
            }
        }
    }

    private async listExecutor(row: ExecutorRow, requestedAt: number): Promise<void> {
        row.isListing = true;
        row.nextListAt = requestedAt + this.options.listIntervalMs;
        try {
            const report = await row.definition.access.list();
            if (report.ok) {
                this.pool.applyReport(row, report.val, requestedAt, this.options.clock.getNow());
            }
            else {
                row.listFailures++;
            }
        }
        catch {
            // An adapter that throws instead of returning a failure has not listed anything either.
            row.listFailures++;
        }
        finally {
            row.isListing = false;
        }
    }
}
