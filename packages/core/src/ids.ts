/**
 * Branded ids. A branded id is a string at run time; the brand makes the compiler refuse an id of another kind.
 */
declare const brand: unique symbol;

/** The id of one kind of entity; `Name` is the brand. */
export type Id<Name extends string> = string & { readonly [brand]: Name; };

export type ZoneId = Id<"zone">;
export type RegionId = Id<"region">;
/** A host, as named in the settings. */
export type HostId = Id<"host">;
/** One run of a process on a host: a random id created at process start. */
export type IncarnationId = Id<"incarnation">;
/** `<zone>/<number>`, for example `glasgow/0`. */
export type ShardId = Id<"shard">;
export type WorkerId = Id<"worker">;
export type ExecutorId = Id<"executor">;
export type RackId = Id<"rack">;
export type TeamId = Id<"team">;
export type QueueId = Id<"queue">;
export type KeyId = Id<"key">;
export type JobId = Id<"job">;
/** `<job>/<index>`, for example `cut-lists-0412/7`. */
export type TaskId = Id<"task">;
/** One attempt at a request or a task start. */
export type AttemptId = Id<"attempt">;
/** `<zone>.<shard>.<epoch>.<sequence>.<random>`. */
export type RequestKey = Id<"requestKey">;
/** Unique per store write. A writer whose reply was lost reads the value and compares the token. */
export type WriterToken = Id<"writerToken">;

/** Maximum length of the name of an operator resource, in characters. */
export const maxNameLength = 63;

const namePattern = /^[a-z0-9](?:[a-z0-9-]*[a-z0-9])?$/;

/**
 * Returns whether a string is a valid name of an operator resource: lower-case letters, digits and inner hyphens, 1 to
 * 63 characters.
 */
export function isValidName(value: string): boolean {
    return value.length <= maxNameLength && namePattern.test(value);
}

/**
 * Brands a string as an id without checking it. Callers check strings from outside with `isValidName`.
 *
 * @example
 * ```ts
 * const zone = toId<ZoneId>("glasgow");
 * ```
 */
export function toId<T extends Id<string>>(value: string): T {
    return value as T;
}

/** Builds the id of the task at `index` (from 0) of a job: `<job>/<index>`. */
export function toTaskId(job: JobId, index: number): TaskId {
    return toId<TaskId>(`${job}/${index}`);
}

/** Splits a task id into its job and index. Returns `undefined` if the text is not a task id. */
export function parseTaskId(task: string): { readonly job: JobId; readonly index: number; } | undefined {
    const separator = task.lastIndexOf("/");
    const index = Number(task.slice(separator + 1));
    if (separator <= 0 || separator === task.length - 1 || !Number.isSafeInteger(index) || index < 0) {
        return undefined;
    }
    return { job: toId<JobId>(task.slice(0, separator)), index };
}

/** Builds a shard id from its zone and number (from 0). */
export function toShardId(zone: ZoneId, number: number): ShardId {
    return toId<ShardId>(`${zone}/${number}`);
}

/** Returns the zone of a shard. */
export function getShardZone(shard: ShardId): ZoneId {
    return toId<ZoneId>(shard.slice(0, shard.lastIndexOf("/")));
}
