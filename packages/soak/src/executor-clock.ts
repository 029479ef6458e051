/** The steady clock of an executor: it begins at any time, runs on without steps, and may be slow. */

/** Rate of the slowest clock that the platform allows. */
export const slowestRate = 0.98;

/** A clock that counts from an origin, at a rate that may change. */
export class ExecutorClock {
    private base = 0;
    private basedAt: number;
    private rate = 1;

    /** `readTime`: milliseconds of a clock that runs exactly. */
    constructor(private readonly readTime: () => number) {
        this.basedAt = readTime();
    }

    /** ms */
    get now(): number {
        return this.base + (this.readTime() - this.basedAt) * this.rate;
    }

    /** Begins anew at `originMs`, as with a new life. */
    restart(originMs: number): void {
        this.base = originMs;
        this.basedAt = this.readTime();
    }

    /** Runs at another rate from now on. */
    setRate(rate: number): void {
        this.base = this.now;
        this.basedAt = this.readTime();
        this.rate = rate;
    }

    /** Returns the time in which the clock advances by `ms`. */
    convertToElapsed(ms: number): number {
        return ms / this.rate;
    }
}
