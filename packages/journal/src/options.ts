/**
 * Options of a journal and their defaults.
 */
import { SystemRandom } from "@waxwingroute/core";
import type { Clock, Failure, HostId, RandomSource, ShardId } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import type { Retention } from "./job-table.js";

/** Options of `Journal.open`. */
export interface JournalOptions {
    readonly shard: ShardId;
    /** Epoch of the ownership under which this process writes. */
    readonly epoch: number;
    /** Host of the writer, which the first record of the epoch names. */
    readonly host: HostId;
    readonly store: Store;
    readonly clock: Clock;
    /** Default: the system's random numbers. */
    readonly random?: RandomSource;
    /** Shortest time between the starts of two commits, in ms. Default 100: at most 10 commits per second. */
    readonly commitIntervalMs?: number;
    /** Time after which an append fails if it has no outcome, in ms. Default 5,000. */
    readonly appendTimeoutMs?: number;
    /** Wait before a retry while the store cannot be reached, in ms. Default 250. */
    readonly retryIntervalMs?: number;
    /** Time after which `open` stops retrying and fails, in ms. Default 10,000. */
    readonly openTimeoutMs?: number;
    /** Maximum length of a stored value in characters. Default 500,000, which is below 512 KB. */
    readonly maxValueLength?: number;
    /** Maximum length of all stored jobs in characters. Beyond it no job is accepted. Default 64,000,000. */
    readonly maxTotalLength?: number;
    /** Number of entries after which a checkpoint is written. Default 500. */
    readonly entriesPerCheckpoint?: number;
    /** Finished jobs that a checkpoint keeps. Default: at most 1,000, each for 24 hours. */
    readonly retention?: Retention;
    /** Called once when a later owner has begun its epoch, so that this owner of the shard steps down. */
    readonly onFenced?: (failure: Failure) => void;
    /** Called when a checkpoint fails. The journal continues without it. */
    readonly onCheckpointFailed?: (failure: Failure) => void;
}

/** Options of a journal with the defaults filled in. */
export type ResolvedJournalOptions =
    & Required<Omit<JournalOptions, "onFenced" | "onCheckpointFailed">>
    & Pick<JournalOptions, "onFenced" | "onCheckpointFailed">;

/** Fills in the default of each option that is absent. */
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
