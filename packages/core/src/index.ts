/** Types and utilities that all packages share: clocks, ids, random numbers, resources, results and verdicts. */
export { Clock, ManualClock, SystemClock } from "./clock.js";
export type { Timer } from "./clock.js";
export { getShardZone, isValidName, maxNameLength, parseTaskId, toId, toShardId, toTaskId } from "./ids.js";
export type {
    AttemptId,
    ExecutorId,
    HostId,
    Id,
    IncarnationId,
    JobId,
    KeyId,
    QueueId,
    RackId,
    RegionId,
    RequestKey,
    ShardId,
    TaskId,
    TeamId,
    WorkerId,
    WriterToken,
    ZoneId,
} from "./ids.js";
export { isNetworkAddress } from "./network-address.js";
export type { NetworkAddress } from "./network-address.js";
export { RandomSource, SeededRandom, SystemRandom } from "./random.js";
export {
    addResources,
    computeDominantShare,
    fitsWithin,
    multiplyResources,
    resourceNames,
    subtractResources,
    zeroResources,
} from "./resource-vector.js";
export type { ResourceName, ResourceVector } from "./resource-vector.js";
export { Err, Ok } from "./results.js";
export type { Result } from "./results.js";
export { Table } from "./table.js";
export { canRetry, createFailure, mergeVerdicts } from "./verdict.js";
export type { Failure, Verdict } from "./verdict.js";
