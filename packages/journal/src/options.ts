/**
 * Options of a journal.
 */
import { SystemRandom } from "@waxwingroute/core";
import type { Clock, Failure, HostId, RandomSource, ShardId } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import type { Retention } from "./job-table.js";

export interface JournalOptions {
    readonly shard: ShardId;
    /** Epoch of the right under which this process writes. */
    readonly epoch: number;
    readonly host: HostId;
    readonly store: Store;
    readonly clock: Clock;
    /** Default: the system's random numbers. */
    readonly random?: RandomSource;
    /** Shortest time between the starts of two commits in ms. Default 100: at most 10 commits per second. */
    readonly commitIntervalMs?: number;
    /** Time after which an append without an outcome fails, in ms. Default 5,000. */
    readonly appendTimeoutMs?: number;
    /** Time between two attempts to reach the store in ms. Default 250. */
    readonly retryIntervalMs?: number;
    /** Time after which `open` fails, in ms. Default 10,000. */
    readonly openTimeoutMs?: number;
    /** Largest value in characters. Default 500,000: below 512 KB. */
    readonly maxValueLength?: number;
    /** Largest size of the jobs in characters; beyond it no job is accepted. Default 64,000,000. */
    readonly maxTotalLength?: number;
    /** Entries after which a checkpoint is written. Default 500. */
    readonly entriesPerCheckpoint?: number;
    /** Finished jobs that are kept. Default: 1,000 of at most 24 hours. */
    readonly retention?: Retention;
    /** Called once when a later owner has begun its epoch. The shard's owner then steps down. */
    readonly onFenced?: (failure: Failure) => void;
    /** Called when a checkpoint fails; the journal goes on without it. */
    readonly onCheckpointFailed?: (failure: Failure) => void;
}

export type ResolvedJournalOptions =
    & Required<Omit<JournalOptions, "onFenced" | "onCheckpointFailed">>
    & Pick<JournalOptions, "onFenced" | "onCheckpointFailed">;

/** Fills in the defaults. */
export function resolveOptions(options: JournalOptions): ResolvedJournalOptions {
    return {
        random: new SystemRandom(),
        commitIntervalMs: 100,
        appendTimeoutMs: 5_000,
        retryIntervalMs: 250,
        openTimeoutMs: 10_000,
        maxValueLength: 500_000,
        maxTotalLength: 64_000_000,
        entriesPerCheckpoint: 500,
        retention: { maxCount: 1_000, maxAgeMs: 86_400_000 },
        ...options,
    };
}
