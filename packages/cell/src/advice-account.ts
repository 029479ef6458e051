/**
 * What the advisor is expected to hold of the calls that one host has sent. The advisor works on the calls of a host one
 * after another, and goes on with a call whose caller has given up, so the account counts the time at which the advisor
 * is done, and keeps it after a time-out.
 *
 * The time of a call beyond its declared work has two parts: the overhead, such as the round trip, which does not depend
 * on the work, and the slowdown, the factor by which the advisor is slower than declared.
 */

/** A call that was sent. */
export interface SentCall {
    readonly sentAt: number;
    /** Declared work, ms. */
    readonly workMs: number;
    readonly isLong: boolean;
    /** Work of earlier calls that the advisor is expected to have left when the call is sent, ms. */
    readonly queuedMs: number;
    /** Time after which the call is given up, ms. */
    readonly timeoutMs: number;
    /** When the advisor is expected to be done with the call. */
    readonly expectedDoneAt: number;
    /** The slowdown that was expected, see `AdviceAccount.slowdown`. */
    readonly slowdown: number;
}

/** Longest time beyond the declared work that counts as overhead, ms: a round trip between regions, and short pauses. */
const maxOverheadMs = 200;
/** Weight of the newest call in the moving average of the overhead. */
const overheadWeight = 0.2;
/** Largest slowdown; an advisor that is slower counts as one that does not answer. */
const maxSlowdown = 8;
/** Added to the expected work of the advisor to get the time-out of a call, ms. */
const answerMarginMs = 1_000;
/** A failure this much before the time-out counts as one at the time-out, ms: timers of other processes are not exact. */
const timerToleranceMs = 5;

/** The calls of one host, and how fast the advisor works on them. */
export class AdviceAccount {
    readonly calls = new Set<SentCall>();
    failuresInRow = 0;
    /** No call is sent before this time, because the last one failed. */
    backoffUntil = 0;
    private averageOverheadMs = 0;
    private averageSlowdown = 1;
    /** When the advisor is expected to be done with all calls, those that were given up included. */
    private doneAt = 0;

    /** Duration of a call beyond the expected work of the advisor, as an exponential moving average, ms. */
    get overheadMs(): number {
        return this.averageOverheadMs;
    }

    /** Factor by which the advisor is slower than declared; 1 or more. */
    get slowdown(): number {
        return this.averageSlowdown;
    }

    /** Number of long calls without an answer yet. */
    get longCalls(): number {
        return [...this.calls].filter(({ isLong }) => isLong).length;
    }

    /** Returns the expected work of the advisor for calls without an answer and for calls that were given up, ms. */
    getOutstandingMs(now: number): number {
        return Math.max(0, this.doneAt - now);
    }

    /**
     * Returns whether an answer is late, so that the advisor may hold more work than expected. `toleranceMs` is the time by
     * which an answer may be late.
     */
    hasLateCall(now: number, toleranceMs: number): boolean {
        return [...this.calls].some(({ expectedDoneAt }) => expectedDoneAt + this.overheadMs + toleranceMs < now);
    }

    /** Returns whether nothing of the account matters any more. */
    isSettled(now: number): boolean {
        return this.calls.size === 0 && this.doneAt <= now;
    }

    /** Adds a call that is sent now. */
    recordSent(now: number, workMs: number, isLong: boolean): SentCall {
        const { slowdown } = this;
        const arrivesAt = now + this.overheadMs / 2;
        const queuedMs = Math.max(0, this.doneAt - arrivesAt);
        this.doneAt = arrivesAt + queuedMs + workMs * slowdown;
        const call = {
            sentAt: now,
            workMs,
            isLong,
            queuedMs,
            expectedDoneAt: this.doneAt,
            slowdown,
            timeoutMs: queuedMs + workMs * slowdown + answerMarginMs,
        };
        this.calls.add(call);
        return call;
    }

    /**
     * Records an answer. The advisor is done with the call and all earlier ones. `isMeasurable` is false if this process was
     * paused meanwhile, so that the time of the call says nothing about the advisor.
     */
    recordAnswer(now: number, call: SentCall, isMeasurable: boolean): void {
        this.calls.delete(call);
        this.failuresInRow = 0;
        if (isMeasurable) {
            this.measure(now, call);
        }
        this.doneAt = this.estimateDoneAt(now - this.overheadMs / 2, call);
    }

    /** Records that a call has no answer because this process was paused. The advisor may still work on it. */
    recordMissed(call: SentCall): void {
        this.calls.delete(call);
    }

    /** Records that the advisor was reached and rejected the request without work on it, which is no fault of the host. */
    recordRejected(now: number, call: SentCall): void {
        this.calls.delete(call);
        this.failuresInRow = 0;
        this.removeWork(now, call);
    }

    /** Records that the advisor has not taken the call: it takes none of the host now, or was not reached. */
    recordNotTaken(now: number, call: SentCall): void {
        this.calls.delete(call);
        this.failuresInRow += 1;
        this.removeWork(now, call);
    }

    /**
     * Records that a call was given up or its answer was lost. The advisor may still work on it. Unless it would have to be
     * slower than the largest slowdown, it counts as slower from now on, and the next time-out is longer.
     */
    recordUnanswered(now: number, call: SentCall): void {
        this.calls.delete(call);
        this.failuresInRow += 1;
        const elapsedMs = now - call.sentAt;
        const expectedMs = call.queuedMs + call.workMs * call.slowdown;
        const shownSlowdown = call.slowdown * (elapsedMs - this.overheadMs) / expectedMs;
        if (elapsedMs < call.timeoutMs - timerToleranceMs || shownSlowdown > maxSlowdown) {
            return;
        }
        // Twice the slowdown that would have led to an answer at the time-out, so that few calls are lost until one has an answer.
        this.averageSlowdown = Math.max(this.slowdown, Math.min(maxSlowdown, 2 * shownSlowdown));
        const callDoneAt = call.sentAt + expectedMs * this.slowdown / call.slowdown;
        this.doneAt = Math.max(this.doneAt, this.estimateDoneAt(callDoneAt, call));
    }

    private removeWork(now: number, call: SentCall): void {
        this.doneAt = Math.max(now, this.doneAt - call.workMs * call.slowdown);
    }

    /** Returns when the advisor will be done with the calls after `call`, if it is done with `call` at `doneAt`. */
    private estimateDoneAt(doneAt: number, call: SentCall): number {
        const later = [...this.calls].filter(({ sentAt }) => sentAt >= call.sentAt);
        return later.reduce(
            (startAt, { sentAt, workMs }) => Math.max(startAt, sentAt + this.overheadMs / 2) + workMs * this.slowdown,
            doneAt,
        );
    }

    private measure(now: number, { queuedMs, sentAt, workMs }: SentCall): void {
        const excessMs = Math.max(0, now - sentAt - queuedMs - workMs);
        if (excessMs <= maxOverheadMs) {
            this.averageOverheadMs += overheadWeight * (excessMs - this.averageOverheadMs);
        }
        const measured = excessMs <= maxOverheadMs ? 1 : 1 + (excessMs - this.overheadMs) / workMs;
        // A short call says little about the slowdown: most of its time is overhead.
        const weight = workMs / (workMs + maxOverheadMs);
        this.averageSlowdown += weight * (Math.min(maxSlowdown, Math.max(1, measured)) - this.slowdown);
    }
}
