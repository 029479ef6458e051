/**
 * The life of one host in a test: alive, paused or dead.
 *
 * Everything that reaches the host's code passes the gate: timers and answers of a paused host wait until it resumes, and
 * those of a dead host never arrive.
 */
import { Clock } from "@waxwingroute/core";
import type { Timer } from "@waxwingroute/core";

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

    /** Runs a callback now, after the pause, or never. */
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

    /** Lets an answer through; the promise of a dead host stays pending. */
    forward<T>(promise: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            promise.then(
                value => this.run(() => resolve(value)),
                (error: unknown) => this.run(() => reject(error instanceof Error ? error : new Error(String(error)))),
            );
        });
    }

    /** Wraps an object whose methods return promises, so that their answers pass the gate and a dead host sends nothing. */
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

/** The clock of a host: time goes on during a pause, but timers wait for its end. */
export class ProcessClock extends Clock {
    /** `earlyMs`: how much too early timers run, as Node's do when it cuts off fractions of a millisecond. */
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
