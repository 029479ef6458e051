/**
 * Decides from when no earlier owner of the cell can send orders any more.
 *
 * An owner that is cut off from the store goes on for a bounded time, since it cannot tell whether the store is away for
 * all hosts or only for itself. Its successor counts on that, unless it finds out sooner: an earlier owner that it reaches
 * stops at once, one whose process is gone has stopped, and one that has lost more than half of its executors to the
 * successor stops once their last answers are too old.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { PossibleOwner } from "./store-keys.js";
import { clockRateBound } from "./store-keys.js";

/** The earlier owners, and how they are reached. */
export interface PredecessorsOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Owners that may have sent orders when this one acquired the cell. */
    readonly owners: readonly PossibleOwner[];
    /** Asks the process at the address of an earlier owner to stop. Returns whether it has, or is gone. */
    readonly askToStop: (owner: PossibleOwner) => Promise<boolean>;
    /** See `FencedExecutors`. */
    readonly findMajorityTime: (epoch: number) => number | undefined;
    /** Called once, when none of them can send orders any more. */
    readonly onAllStopped: () => void;
}

/** Pause between two calls to an earlier owner, ms. */
const askIntervalMs = 250;

/** Tracks the earlier owners of one term, which begins when the object is created. */
export class Predecessors {
    private readonly running: Set<PossibleOwner>;
    private readonly startedAt: number;
    private stoppedAt: number;
    private isClosed = false;

    constructor(private readonly options: PredecessorsOptions) {
        this.startedAt = options.clock.getNow();
        this.stoppedAt = this.startedAt;
        this.running = new Set(options.owners);
    }

    /** Time by which all earlier owners have sent their last order; in the future while one may still send some. */
    get ordersEndAt(): number {
        return Math.max(this.stoppedAt, ...[...this.running].map(owner => this.computeBound(owner)));
    }

    /** Owners that may still send orders. */
    get remaining(): readonly PossibleOwner[] {
        return [...this.running];
    }

    /** Asks the earlier owners until each has stopped or its time has run out. */
    async run(): Promise<void> {
        const { clock, logger, onAllStopped, owners } = this.options;
        if (owners.length === 0) {
            return;
        }
        while (!this.isClosed && this.running.size > 0) {
            await Promise.all([...this.running].map(owner => this.ask(owner)));
            if (this.running.size > 0) {
                await clock.wait(askIntervalMs);
            }
        }
        if (!this.isClosed) {
            const afterMs = Math.round(this.stoppedAt - this.startedAt);
            logger.write("info", "earlier owners stopped", { owners: owners.length, afterMs });
            onAllStopped();
        }
    }

    /** Ends `run`. */
    close(): void {
        this.isClosed = true;
    }

    private async ask(owner: PossibleOwner): Promise<void> {
        const { askToStop, clock } = this.options;
        if (clock.getNow() >= this.computeBound(owner)) {
            this.stoppedAt = Math.max(this.stoppedAt, this.computeBound(owner));
            this.running.delete(owner);
        }
        else if (await askToStop(owner)) {
            this.stoppedAt = clock.getNow();
            this.running.delete(owner);
        }
    }

    /**
     * The lease of the earlier owner had expired at the start of this term. It acts for `maxOutageMs` after that, and for
     * `quorumMs` after it has lost the majority of its executors.
     */
    private computeBound({ epoch, maxOutageMs, quorumMs }: PossibleOwner): number {
        const latest = this.startedAt + maxOutageMs * (1 + 2 * clockRateBound);
        const majorityLostAt = quorumMs === undefined ? undefined : this.options.findMajorityTime(epoch);
        return quorumMs === undefined || majorityLostAt === undefined
            ? latest
            : Math.min(latest, majorityLostAt + quorumMs * (1 + 2 * clockRateBound));
    }
}
