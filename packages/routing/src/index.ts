/**
 * Request routing: request keys, duplicate detection, executor slots, queues, retry budgets and outlier ejection.
 */
export { encodeRequestKey, maxRequestKeyLength, parseRequestKey } from "./request-key.js";
export type { RequestKeyParts } from "./request-key.js";
export { RequestRouter } from "./request-router.js";
export type {
    Answer,
    RequestFailure,
    RequestResult,
    RequestRouterOptions,
    RouterCounters,
    RouterDecision,
    RouterExecutor,
    RouterRequest,
    RouterTeam,
} from "./types.js";
