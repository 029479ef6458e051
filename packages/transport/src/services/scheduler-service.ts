/**
 * The service that each scheduler offers to entry and operator processes.
 *
 * A scheduler that does not own the shard answers with the failure `not-owner` and the verdict `notRun`, so that the caller
 * can try the next host of the zone.
 */
import { z } from "zod";
import { createStreamMethod, createUnaryMethod } from "../service.js";

const bytesSchema = z.instanceof(Uint8Array) as z.ZodType<Uint8Array>;

const executeRequestSchema = z.object({
    shard: z.string(),
    team: z.string(),
    queue: z.string(),
    /** Absent when the caller sent none; the owner then makes one. */
    requestKey: z.string().optional(),
    isIdempotent: z.boolean(),
    /** Milliseconds left until the caller's deadline. */
    timeoutMs: z.number(),
    contentType: z.string(),
    body: bytesSchema,
});

const executeResponseSchema = z.object({
    requestKey: z.string(),
    executor: z.string(),
    status: z.number(),
    contentType: z.string(),
    body: bytesSchema,
});

/** A job as `describeJob` and `listJobs` return it. */
export const jobStatusSchema = z.object({
    job: z.string(),
    name: z.string(),
    zone: z.string(),
    shard: z.string(),
    team: z.string(),
    kind: z.string(),
    state: z.enum(["waiting", "running", "finished", "cancelled", "unschedulable"]),
    taskCount: z.number(),
    waiting: z.number(),
    starting: z.number(),
    running: z.number(),
    succeeded: z.number(),
    failed: z.number(),
    stopped: z.number(),
    /** Tasks that may have run and that the system does not start again by itself. */
    mayHaveRun: z.number(),
    /** Rises with each change of the job; comparable between shards to the accuracy of the hosts' wall clocks. */
    revision: z.number(),
});

export type JobStatus = z.infer<typeof jobStatusSchema>;

/** One step in the life of a job or task. */
export const jobEventSchema = z.object({
    /** Rises with each event of a shard, also when the shard changes its owner. */
    sequence: z.number(),
    time: z.string(),
    job: z.string(),
    event: z.enum(["accepted", "placed", "started", "ended", "preempted", "cancelled", "finished", "unschedulable"]),
    task: z.string().optional(),
    worker: z.string().optional(),
    detail: z.string().optional(),
    /** The job after the step; absent in kept events that a watch replays. */
    status: jobStatusSchema.optional(),
});

export type JobEvent = z.infer<typeof jobEventSchema>;

/** What a scheduler says of one shard of its zone. */
export const shardStatusSchema = z.object({
    shard: z.string(),
    owner: z.string().optional(),
    epoch: z.number(),
    mode: z.string(),
    canPlace: z.boolean(),
});

export type ShardStatus = z.infer<typeof shardStatusSchema>;

export const schedulerService = {
    execute: createUnaryMethod("Scheduler/Execute", executeRequestSchema, executeResponseSchema),
    issueKey: createUnaryMethod(
        "Scheduler/IssueKey",
        z.object({ shard: z.string() }),
        z.object({ requestKey: z.string() }),
    ),
    submitJob: createUnaryMethod(
        "Scheduler/SubmitJob",
        /** `spec` is a checked job resource as JSON; `timeoutMs` is the time left until the caller's deadline. */
        z.object({ shard: z.string(), name: z.string(), spec: z.string(), timeoutMs: z.number() }),
        jobStatusSchema,
    ),
    cancelJob: createUnaryMethod(
        "Scheduler/CancelJob",
        z.object({ shard: z.string(), job: z.string() }),
        jobStatusSchema,
    ),
    describeJob: createUnaryMethod(
        "Scheduler/DescribeJob",
        z.object({ shard: z.string(), job: z.string() }),
        jobStatusSchema,
    ),
    explainJob: createUnaryMethod(
        "Scheduler/ExplainJob",
        z.object({ shard: z.string(), job: z.string() }),
        z.object({ reasons: z.array(z.string()) }),
    ),
    listJobs: createUnaryMethod(
        "Scheduler/ListJobs",
        z.object({ shard: z.string() }),
        z.object({ jobs: z.array(jobStatusSchema) }),
    ),
    watchJobs: createStreamMethod(
        "Scheduler/WatchJobs",
        z.object({ shard: z.string(), from: z.number() }),
        jobEventSchema,
    ),
    describeShards: createUnaryMethod(
        "Scheduler/DescribeShards",
        z.object({}),
        z.object({ host: z.string(), revision: z.number(), shards: z.array(shardStatusSchema) }),
    ),
    forceRelease: createUnaryMethod(
        "Scheduler/ForceRelease",
        z.object({ shard: z.string(), reason: z.string() }),
        z.object({}),
    ),
};

export type ExecuteRequest = z.infer<typeof executeRequestSchema>;
export type ExecuteResponse = z.infer<typeof executeResponseSchema>;
