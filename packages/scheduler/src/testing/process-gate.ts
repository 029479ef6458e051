/**
 * Simulates pausing and killing a process in a test.
 *
 * Every callback of the process passes the gate: timers and answers of a paused process wait until it resumes, and
 * those of a killed process never arrive.
 */
import { Clock } from "@waxwingroute/core";
import type { Timer } from "@waxwingroute/core";

/** Pauses, resumes and kills one simulated process. */
export class ProcessGate {
    private isPaused = false;
    private isDead = false;
    private pendingCallbacks: (() => void)[] = [];

    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        this.isPaused = false;
        this.pendingCallbacks.splice(0).forEach(callback => this.run(callback));
    }

    kill(): void {
        this.isDead = true;
        this.pendingCallbacks = [];
    }

    /** Runs a callback now, or after the pause if the process is paused, or never if it was killed. */
    run(callback: () => void): void {
        if (this.isDead) {
            return;
        }
        if (this.isPaused) {
            this.pendingCallbacks.push(callback);
        }
        else {
            callback();
        }
    }

    /** Passes an answer through the gate; the promise of a killed process stays pending. */
    forward<T>(promise: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            promise.then(
                value => this.run(() => resolve(value)),
                (error: unknown) => this.run(() => reject(error instanceof Error ? error : new Error(String(error)))),
            );
        });
    }

    /** Wraps an object so that the promises of its methods pass the gate and a killed process calls none of them. */
    wrap<T extends object>(target: T): T {
        return new Proxy(target, {
            get: (object, name) => {
                const value: unknown = Reflect.get(object, name, object);
                if (typeof value !== "function") {
                    return value;
                }
                return (...args: unknown[]) => {
                    if (this.isDead) {
                        return new Promise(() => undefined);
                    }
                    const result: unknown = Reflect.apply(value, object, args);
                    return result instanceof Promise ? this.forward(result) : result;
                };
            },
        });
    }
}

/** The clock of a simulated process: time goes on during a pause, but timers wait for its end. */
export class ProcessClock extends Clock {
    /** `earlyMs`: milliseconds by which timers fire early, as in Node.js, which drops fractions of a millisecond. */
    constructor(
        private readonly clock: Clock,
        private readonly gate: ProcessGate,
        private readonly earlyMs = 0,
    ) {
        super();
    }

    getNow(): number {
        return this.clock.getNow();
    }

    getWallTime(): number {
        return this.clock.getWallTime();
    }

    schedule(delayMs: number, callback: () => void): Timer {
        return this.clock.schedule(delayMs - this.earlyMs, () => this.gate.run(callback));
    }
}
