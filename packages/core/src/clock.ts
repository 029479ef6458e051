/**
 * Clocks. Modules that measure durations take a `Clock`, so that tests can control time.
 */

/** A timer that can be cancelled. */
export interface Timer {
    cancel(): void;
}

/** A monotonic clock with timers. */
export abstract class Clock {
    /** Returns milliseconds since an arbitrary start. Never decreases, and advances while the process is paused. */
    abstract getNow(): number;
    /** Returns wall-clock milliseconds since 1970, for timestamps that people read. Never decides on a lease. */
    abstract getWallTime(): number;
    /** Calls `callback` once after `delayMs` milliseconds. */
    abstract schedule(delayMs: number, callback: () => void): Timer;

    /** Resolves after `delayMs` milliseconds. */
    wait(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.schedule(delayMs, resolve);
        });
    }
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
    getNow(): number {
        return performance.now();
    }

    getWallTime(): number {
        return Date.now();
    }

    schedule(delayMs: number, callback: () => void): Timer {
        const handle = setTimeout(callback, delayMs);
        return { cancel: () => clearTimeout(handle) };
    }
}

interface PendingTimer {
    readonly dueAt: number;
    readonly sequence: number;
    readonly callback: () => void;
}

/**
 * A clock that moves only when a test advances it.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * clock.schedule(100, () => log("due"));
 * await clock.advance(100);
 * ```
 */
export class ManualClock extends Clock {
    private now: number;
    private sequence = 0;
    private timers: PendingTimer[] = [];

    constructor(startMs = 0) {
        super();
        this.now = startMs;
    }

    getNow(): number {
        return this.now;
    }

    getWallTime(): number {
        return this.now;
    }

    schedule(delayMs: number, callback: () => void): Timer {
        const timer: PendingTimer = { dueAt: this.now + Math.max(0, delayMs), sequence: this.sequence++, callback };
        this.timers.push(timer);
        return {
            cancel: () => {
                this.timers = this.timers.filter(other => other !== timer);
            },
        };
    }

    /** Advances time by `durationMs`, runs the due timers in order, and lets promises settle between them. */
    async advance(durationMs: number): Promise<void> {
        const end = this.now + durationMs;
        await settlePromises();
        for (let next = this.findNextTimer(end); next !== undefined; next = this.findNextTimer(end)) {
            const due = next;
            this.timers = this.timers.filter(other => other !== due);
            this.now = Math.max(this.now, due.dueAt);
            due.callback();
            await settlePromises();
        }
        this.now = end;
    }

    /** Lets time pass without running timers, as in a process that is paused. Those then due run with the next `advance`. */
    pause(durationMs: number): void {
        this.now += durationMs;
    }

    private findNextTimer(end: number): PendingTimer | undefined {
        let next: PendingTimer | undefined;
        for (const timer of this.timers) {
            const isEarlier = next === undefined
                || timer.dueAt < next.dueAt
                || timer.dueAt === next.dueAt && timer.sequence < next.sequence;
            if (timer.dueAt <= end && isEarlier) {
                next = timer;
            }
        }
        return next;
    }
}

/** Lets pending promise callbacks run. Waits several turns, because callbacks can start further promises. */
async function settlePromises(): Promise<void> {
    for (let turn = 0; turn < 4; turn++) {
        await new Promise<void>(resolve => {
            setImmediate(resolve);
        });
    }
}
