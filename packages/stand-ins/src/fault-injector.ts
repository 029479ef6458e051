/**
 * Fault injection that all stand-ins share. Every call passes the gate before it takes effect, and again before its
 * answer leaves.
 */
import type { Clock } from "@waxwingroute/core";

/** What happens to a call on its way in. `drop` never takes effect; `refuse` means that no connection can be made. */
export type Admission = "proceed" | "refuse" | "drop";

/** Faults of one stand-in. Every field can be changed while calls are waiting. */
export class FaultInjector {
    /** Milliseconds by which each call is delayed before it takes effect. */
    delayMs = 0;
    /** Number of following writes that take effect but whose answer is lost. */
    answersToLose = 0;
    private isRefusing = false;
    private isHanging = false;
    private readonly cutSources = new Set<string>();
    private waitingCalls: (() => void)[] = [];
    private readonly downListeners: ((isDown: boolean) => void)[] = [];

    constructor(private readonly clock: Clock) {}

    get isDown(): boolean {
        return this.isRefusing;
    }

    /** While down, no connection can be made. */
    setDown(isDown: boolean): void {
        const hasChanged = this.isRefusing !== isDown;
        this.isRefusing = isDown;
        this.releaseWaitingCalls();
        if (hasChanged) {
            for (const listener of this.downListeners) {
                listener(isDown);
            }
        }
    }

    /** Calls `listener` each time the stand-in goes down or comes back. */
    onDownChange(listener: (isDown: boolean) => void): void {
        this.downListeners.push(listener);
    }

    /** While hanging, calls wait and take effect when the stand-in goes on, even if their caller has given up. */
    setHanging(isHanging: boolean): void {
        this.isHanging = isHanging;
        this.releaseWaitingCalls();
    }

    /** Drops every call from `source`, and from the sources `<source>/...`, until it is mended. */
    setCut(source: string, isCut: boolean): void {
        if (isCut) {
            this.cutSources.add(source);
        }
        else {
            this.cutSources.delete(source);
        }
    }

    /** Removes all faults. */
    clear(): void {
        this.delayMs = 0;
        this.answersToLose = 0;
        this.cutSources.clear();
        this.setDown(false);
        this.setHanging(false);
    }

    /** Waits as the faults demand and says what happens to the call. */
    async waitForAdmission(source: string | undefined): Promise<Admission> {
        if (this.isRefusing) {
            return "refuse";
        }
        if (this.isCut(source)) {
            return "drop";
        }
        if (this.delayMs > 0) {
            await this.clock.wait(this.delayMs);
        }
        while (this.isHanging && !this.isRefusing) {
            await new Promise<void>(resolve => {
                this.waitingCalls.push(resolve);
            });
        }
        // A call that was on its way when the stand-in went down did not reach it.
        return this.isRefusing || this.isCut(source) ? "drop" : "proceed";
    }

    /** Returns whether the answer of a call that took effect is lost. */
    decideAnswerLoss(source: string | undefined, isWrite: boolean): boolean {
        if (isWrite && this.answersToLose > 0) {
            this.answersToLose--;
            return true;
        }
        return this.isRefusing || this.isCut(source);
    }

    private isCut(source: string | undefined): boolean {
        if (source === undefined || this.cutSources.size === 0) {
            return false;
        }
        return [...this.cutSources].some(cut => source === cut || source.startsWith(`${cut}/`));
    }

    private releaseWaitingCalls(): void {
        const released = this.waitingCalls;
        this.waitingCalls = [];
        for (const resolve of released) {
            resolve();
        }
    }
}
