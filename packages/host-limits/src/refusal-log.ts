/** Counts what is refused for lack of a resource, and logs it at most once a second. */
import type { Clock } from "@waxwingroute/core";
import type { LogFields, LogWriter } from "@waxwingroute/telemetry";

/** Dependencies of a `RefusalLog`. */
export interface RefusalLogOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Counts a refusal; `reason` is the resource that is used up. Default: none. */
    readonly count?: (reason: string) => void;
    /** Minimum time between two log lines of one reason, ms. Default 1,000. */
    readonly logIntervalMs?: number;
}

const defaultLogIntervalMs = 1_000;

/** Records refusals by reason. A burst of them must not cost more in log lines than the refused work. */
export class RefusalLog {
    private readonly rows = new Map<string, { loggedAt: number; unlogged: number; }>();

    constructor(private readonly options: RefusalLogOptions) {}

    /** Counts a refusal and logs it with the values that decided, unless one of the same reason was logged just now. */
    record(reason: string, fields: LogFields): void {
        const { clock, count, logger, logIntervalMs = defaultLogIntervalMs } = this.options;
        count?.(reason);
        const row = this.rows.get(reason) ?? { loggedAt: -Infinity, unlogged: 0 };
        this.rows.set(reason, row);
        row.unlogged += 1;
        const now = clock.getNow();
        if (now - row.loggedAt >= logIntervalMs) {
            logger.write("warn", "refused for lack of a resource", { reason, ...fields, count: row.unlogged });
            row.loggedAt = now;
            row.unlogged = 0;
        }
    }
}
