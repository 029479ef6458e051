/**
 * Fault injection shared by all stand-ins. Faults apply to a call before it takes effect, and again before its answer
 * is sent.
 */
import type { Clock } from "@waxwingroute/core";

/** Whether a call takes effect. A dropped call has no effect and no answer; a refused call fails to connect. */
export type Admission = "proceed" | "refuse" | "drop";

/** Faults of one stand-in. They can be changed while calls are waiting. */
export class FaultInjector {
    /** Milliseconds by which each call is delayed before it takes effect. */
    delayMs = 0;
    /** Number of upcoming writes that take effect but whose answer is lost. */
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

    /** Sets whether connections are refused. Calls in flight get no answer when the stand-in goes down. */
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

    /** Sets whether calls hang. They take effect once the hang ends, even if their caller has timed out. */
    setHanging(isHanging: boolean): void {
        this.isHanging = isHanging;
        this.releaseWaitingCalls();
    }

    /** Sets whether calls from `source`, and from the sources `<source>/...`, are dropped. */
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

    /** Waits for delays and hangs to pass, then returns whether the call takes effect. */
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
        // A call in flight when the stand-in went down never reached it.
        return this.isRefusing || this.isCut(source) ? "drop" : "proceed";
    }

    /** Decides whether the answer of a call that took effect is lost, and counts down `answersToLose`. */
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
