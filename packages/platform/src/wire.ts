/**
 * The wire format of the platform: paths, header names and the schemas of every message body.
 *
 * Only the HTTP adapters and the stand-ins use this module.
 */
import type {
    AttemptId,
    ExecutorId,
    Id,
    JobId,
    QueueId,
    RackId,
    RequestKey,
    TaskId,
    TeamId,
    WorkerId,
    WriterToken,
    ZoneId,
} from "@waxwingroute/core";
import { z } from "zod";

/** Largest value of a store key, in bytes of UTF-8. */
export const maxStoreValueBytes = 1_048_576;

/** Longest id or store key on the wire, in characters. */
const maxIdLength = 512;

/** Paths of the calls, below the base URL of the service. */
export const paths = {
    storeEntry: "/v1/entry",
    storeToken: "/v1/token",
    storeRange: "/v1/range",
    storeDelete: "/v1/delete",
    storeWatch: "/v1/watch",
    workerStart: "/v1/start",
    workerRenew: "/v1/renew",
    workerList: "/v1/tasks",
    workerStop: "/v1/stop",
    workerCheckpoint: "/v1/checkpoint",
    workerThrottle: "/v1/throttle",
    executorExecute: "/v1/execute",
    executorList: "/v1/running",
    hostList: "/v1/hosts",
} as const;

/** Header names, in lower case. */
export const headerNames = {
    /** Zone or host that sends the call. */
    source: "x-source",
    /** Wall-clock time of the send, in milliseconds since 1970. */
    sentAt: "x-sent-at",
    attempt: "x-attempt",
    requestKey: "x-request-key",
    queue: "x-queue",
    team: "x-team",
    isIdempotent: "x-idempotent",
    epoch: "x-epoch",
    timeoutMs: "x-timeout-ms",
    /** Set to `true` on an executor's answer that says that the request did not start. */
    refused: "x-refused",
} as const;

function createIdSchema<T extends Id<string>>(): z.ZodType<T, string> {
    return z.string().min(1).max(maxIdLength) as unknown as z.ZodType<T, string>;
}

export const zoneSchema = createIdSchema<ZoneId>();

const amountSchema = z.number().int().min(0);
const revisionSchema = z.number().int().min(0);

export const resourceVectorSchema = z.object({
    cpuMillis: amountSchema,
    memoryMb: amountSchema,
    accelerators: amountSchema,
});

/** Body of every answer with a status of 400 or above, except those of executors. */
export const errorBodySchema = z.object({
    error: z.object({
        code: z.string(),
        message: z.string(),
        verdict: z.enum(["notRun", "mayHaveRun", "ran"]).optional(),
    }),
});

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: revisionSchema });

// A missing key is said with `isFound: false`: if it were an absent field, any JSON object would read as a missing key.
const notFoundSchema = z.strictObject({ isFound: z.literal(false) });

export const storeReadSchema = z.discriminatedUnion("isFound", [
    z.object({ isFound: z.literal(true), entry: entrySchema }),
    notFoundSchema,
]);
export const storeTokenSchema = z.discriminatedUnion("isFound", [
    z.object({
        isFound: z.literal(true),
        entry: z.object({ key: z.string(), token: createIdSchema<WriterToken>(), revision: revisionSchema }),
    }),
    notFoundSchema,
]);
export const storeRangeSchema = z.object({ entries: z.array(entrySchema), revision: revisionSchema });
export const storeRevisionSchema = z.object({ revision: revisionSchema });
export const storeWatchSchema = z.object({
    changes: z.array(
        z.discriminatedUnion("isDeleted", [
            z.object({ isDeleted: z.literal(false), key: z.string(), value: z.string(), revision: revisionSchema }),
            z.object({ isDeleted: z.literal(true), key: z.string(), revision: revisionSchema }),
        ]),
    ),
    revision: revisionSchema,
});
export const storeWriteSchema = z.object({
    key: z.string().min(1).max(maxIdLength),
    value: z.string(),
    expected: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("absent") }),
        z.object({ kind: z.literal("revision"), revision: revisionSchema }),
    ]),
    token: createIdSchema<WriterToken>(),
});
export const storeDeleteSchema = z.object({ key: z.string().min(1).max(maxIdLength), revision: revisionSchema });

export const taskStartSchema = z.object({
    task: createIdSchema<TaskId>(),
    team: createIdSchema<TeamId>(),
    job: createIdSchema<JobId>(),
    resources: resourceVectorSchema,
    command: z.string(),
    leaseMs: z.number().min(0),
    expiresInMs: z.number().min(0),
    epoch: z.number().int(),
});
export const taskLeaseRenewalSchema = z.object({
    tasks: z.array(createIdSchema<TaskId>()),
    leaseMs: z.number().min(0),
    acknowledged: z.array(createIdSchema<TaskId>()),
});
export const workerReportSchema = z.object({
    worker: createIdSchema<WorkerId>(),
    capacity: resourceVectorSchema,
    isDraining: z.boolean(),
    tasks: z.array(
        z.object({
            task: createIdSchema<TaskId>(),
            team: createIdSchema<TeamId>(),
            resources: resourceVectorSchema,
            epoch: z.number().int(),
            outcome: z.enum(["succeeded", "failed", "stopped", "leaseExpired"]).optional(),
            usage: resourceVectorSchema.optional(),
        }).transform(task => ({ ...task, outcome: task.outcome, usage: task.usage })),
    ),
});
export const taskReferenceSchema = z.object({ task: createIdSchema<TaskId>() });
export const throttleSchema = z.object({
    task: createIdSchema<TaskId>(),
    percent: z.number().int().min(1).max(100),
});
/** Body of an answer that only says that the call took effect. */
export const acknowledgementSchema = z.object({ isDone: z.literal(true) });

/** Header values of a request to an executor. */
export const executorHeadersSchema = z.object({
    attempt: createIdSchema<AttemptId>(),
    requestKey: createIdSchema<RequestKey>(),
    queue: createIdSchema<QueueId>(),
    team: createIdSchema<TeamId>(),
    isIdempotent: z.enum(["true", "false"]).transform(text => text === "true"),
    epoch: z.coerce.number().int(),
    timeoutMs: z.coerce.number().min(0),
    contentType: z.string().default("application/octet-stream"),
});

export const executorReportSchema = z.object({
    executor: createIdSchema<ExecutorId>(),
    slots: z.number().int().min(0),
    isDraining: z.boolean(),
    running: z.array(createIdSchema<AttemptId>()),
});

const hostStateSchema = z.enum(["live", "leaving"]);
export const workerAddressSchema = z.object({
    worker: createIdSchema<WorkerId>(),
    zone: createIdSchema<ZoneId>(),
    rack: createIdSchema<RackId>(),
    url: z.string(),
    capacity: resourceVectorSchema,
});
export const executorAddressSchema = z.object({
    executor: createIdSchema<ExecutorId>(),
    zone: createIdSchema<ZoneId>(),
    url: z.string(),
    slots: z.number().int().min(0),
    connections: z.number().int().min(1),
    queues: z.array(createIdSchema<QueueId>()),
});
export const hostListingSchema = z.object({
    workers: z.array(z.object({ address: workerAddressSchema, state: hostStateSchema })),
    executors: z.array(z.object({ address: executorAddressSchema, state: hostStateSchema })),
});
