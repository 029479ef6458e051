/**
 * A store in memory for the tests of ownership, journal and grants, which injects the faults that a test chooses.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result, WriterToken } from "@waxwingroute/core";
import { Store } from "@waxwingroute/platform";
import type { StoreEntry, StoreRange, StoreWatchResult, StoreWrite } from "@waxwingroute/platform";

/**
 * Fault of one call:
 *
 * - `none`: the call succeeds.
 * - `down`: the call is not sent.
 * - `lostAnswer`: the call takes effect and its response is lost.
 * - `lostCall`: the call is lost on the way to the store. The caller cannot distinguish this from `lostAnswer`.
 */
export type StoreFault = "none" | "down" | "lostAnswer" | "lostCall";

interface StoredValue {
    readonly value: string;
    readonly revision: number;
    readonly token: WriterToken;
}

/** A store in memory. Watches are not supported. */
export class MemoryStore extends Store {
    readonly values = new Map<string, StoredValue>();
    revision = 0;
    /** Writes and deletions that took effect. */
    writeCount = 0;
    /** Chooses the fault of each call. */
    chooseFault: (operation: "read" | "write" | "delete", key: string) => StoreFault = () => "none";
    /** Delays each response, for tests with a clock. */
    waitBeforeResponse: () => Promise<void> = async () => {};

    async read(key: string): Promise<Result<StoreEntry | undefined, Failure>> {
        return this.runCall("read", key, () => {
            const stored = this.values.get(key);
            return Ok(stored === undefined ? undefined : { key, value: stored.value, revision: stored.revision });
        });
    }

    async readRange(prefix: string): Promise<Result<StoreRange, Failure>> {
        return this.runCall("read", prefix, () => {
            const entries = [...this.values.entries()]
                .filter(([key]) => key.startsWith(prefix))
                .sort(([first], [second]) => first < second ? -1 : 1)
                .map(([key, stored]) => ({ key, value: stored.value, revision: stored.revision }));
            return Ok({ entries, revision: this.revision });
        });
    }

    async write(write: StoreWrite): Promise<Result<number, Failure>> {
        return this.runCall("write", write.key, () => {
            const current = this.values.get(write.key);
            const isExpected = write.expected.kind === "absent"
                ? current === undefined
                : current?.revision === write.expected.revision;
            if (!isExpected) {
                return Err(createFailure("store-conflict", `"${write.key}" has another revision`, "notRun"));
            }
            this.revision++;
            this.writeCount++;
            this.values.set(write.key, { value: write.value, revision: this.revision, token: write.token });
            return Ok(this.revision);
        });
    }

    async delete(key: string, revision: number): Promise<Result<number, Failure>> {
        return this.runCall("delete", key, () => {
            if (this.values.get(key)?.revision !== revision) {
                return Err(createFailure("store-conflict", `"${key}" has another revision`, "notRun"));
            }
            this.values.delete(key);
            this.revision++;
            this.writeCount++;
            return Ok(this.revision);
        });
    }

    async watch(): Promise<Result<StoreWatchResult, Failure>> {
        return Err(createFailure("store-unavailable", "the store in memory does not support watches", "notRun"));
    }

    async readToken(
        key: string,
    ): Promise<Result<{ readonly token: WriterToken; readonly revision: number; } | undefined, Failure>> {
        return this.runCall("read", key, () => Ok(this.values.get(key)));
    }

    /** Runs a call with the chosen fault. The store changes before the response is delayed. */
    private async runCall<T>(
        operation: "read" | "write" | "delete",
        key: string,
        run: () => Result<T, Failure>,
    ): Promise<Result<T, Failure>> {
        const fault = this.chooseFault(operation, key);
        if (fault === "down") {
            return Err(createFailure("store-unavailable", "the store is down", "notRun"));
        }
        const result = fault === "lostCall" ? undefined : run();
        await this.waitBeforeResponse();
        return fault === "none" && result !== undefined
            ? result
            : Err(createFailure("store-timeout", `no response from the store for "${key}"`, "mayHaveRun"));
    }
}
