/**
 * An in-process fake of the store.
 */
import type { Failure, Result, WriterToken } from "@waxwingroute/core";
import type { StoreEntry, StoreRange, StoreWatchResult, StoreWrite } from "@waxwingroute/platform";
import { Store } from "@waxwingroute/platform";
import type { FakeOptions } from "./fake-call.js";
import { runFakeCall } from "./fake-call.js";
import { FaultInjector } from "./fault-injector.js";
import { StoreState } from "./store-state.js";

const codes = { unreachable: "store-unavailable", timedOut: "store-timeout" };

/** Options of `FakeStore`. */
export interface FakeStoreOptions extends FakeOptions {
    /** Number of changes kept for watches. Default 10,000. */
    readonly historyLength?: number;
}

/**
 * A store in memory.
 *
 * @example
 * ```ts
 * const store = new FakeStore({ clock });
 * store.faults.answersToLose = 1;
 * const result = await store.forSource("glasgow").write(write); // fails with store-timeout, took effect
 * ```
 */
export class FakeStore extends Store {
    readonly faults: FaultInjector;
    readonly state: StoreState;

    constructor(
        private readonly options: FakeStoreOptions,
        private readonly source?: string,
        shared?: { readonly faults: FaultInjector; readonly state: StoreState; },
    ) {
        super();
        this.faults = shared?.faults ?? new FaultInjector(options.clock);
        this.state = shared?.state ?? new StoreState(options.clock, options.historyLength);
    }

    /** Returns a client of the same store whose calls come from `source`, which can be cut off. */
    forSource(source: string): FakeStore {
        return new FakeStore(this.options, source, this);
    }

    read(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
        return this.runCall("read", false, () => this.state.read(key));
    }

    readRange(prefix: string): Promise<Result<StoreRange, Failure>> {
        return this.runCall("readRange", false, () => this.state.readRange(prefix));
    }

    write(write: StoreWrite): Promise<Result<number, Failure>> {
        return this.runCall("write", true, () => this.state.write(write));
    }

    delete(key: string, revision: number): Promise<Result<number, Failure>> {
        return this.runCall("delete", true, () => this.state.delete(key, revision));
    }

    watch(prefix: string, revision: number, waitMs: number): Promise<Result<StoreWatchResult, Failure>> {
        return this.runCall("watch", false, () => this.state.watch(prefix, revision, waitMs), waitMs);
    }

    readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>> {
        return this.runCall("readToken", false, () => this.state.readToken(key));
    }

    private runCall<T>(
        operation: string,
        isWrite: boolean,
        run: () => Result<T, Failure> | Promise<Result<T, Failure>>,
        extraMs = 0,
    ): Promise<Result<T, Failure>> {
        const timeoutMs = (this.options.timeoutMs ?? 1_000) + extraMs;
        return runFakeCall(this.options.clock, this.faults, codes, {
            operation,
            source: this.source,
            isWrite,
            timeoutMs,
            run,
        });
    }
}
