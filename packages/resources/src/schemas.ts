/**
 * Schemas and types of the operator resources. Every object is strict: an unknown field is an error, because a misspelt
 * limit that is silently ignored would not limit anything.
 */
import { z } from "zod";
import {
    booleanSchema,
    createEnumSchema,
    createIntegerSchema,
    createTextSchema,
    nameSchema,
    timeSchema,
} from "./field-schemas.js";
import * as limits from "./limits.js";

/** Spec of a team: the unit of keys, shares and limits. */
export const teamSpecSchema = z.strictObject({
    /** Weight of the team's share when capacity is fully used. Default 1. */
    weight: createIntegerSchema(1, limits.maxTeamWeight).default(1),
    /** Upper limit of what the team runs at one time in the whole fleet. */
    limit: z.strictObject({
        cpuMillis: createIntegerSchema(0, limits.maxTeamCpuMillis),
        memoryMb: createIntegerSchema(0, limits.maxTeamMemoryMb),
        accelerators: createIntegerSchema(0, limits.maxTeamAccelerators),
        /** Executor slots. */
        slots: createIntegerSchema(0, limits.maxTeamSlots),
    }),
    /** What happens to running work above a lowered limit: it runs to completion, or it is checkpointed. */
    overLimit: createEnumSchema(["complete", "preempt"]).default("complete"),
});

/** Spec of a key. The secret itself is never stored. */
export const keySpecSchema = z.strictObject({
    team: nameSchema,
    /** SHA-256 of the secret, 64 lower-case hexadecimal digits. */
    hash: z.string("use 64 lower-case hexadecimal digits").regex(
        /^[0-9a-f]{64}$/,
        "use 64 lower-case hexadecimal digits, the SHA-256 of the secret",
    ),
});

const queueFields = {
    /** Most requests that wait. Default 1,000. */
    maximumWaiting: createIntegerSchema(0, limits.maxWaitingRequests).default(1_000),
    /** Deadline of requests that name none, in milliseconds. Default 30,000. */
    defaultDeadlineMs: createIntegerSchema(1, limits.maxRequestDeadlineMs).default(30_000),
};

/** Spec of a queue: it belongs to one team, or it is open to all and has a limit of its own. */
export const queueSpecSchema = z.discriminatedUnion("access", [
    z.strictObject({ access: z.literal("team"), team: nameSchema, ...queueFields }),
    z.strictObject({
        access: z.literal("open"),
        /** Most executor slots that requests without a key use at one time in the whole fleet. */
        slotLimit: createIntegerSchema(0, limits.maxTeamSlots),
        ...queueFields,
    }),
], "use \"team\" or \"open\"");

/** Spec of a drain: an endpoint or entry host that is out of rotation for as long as the resource exists. */
export const drainSpecSchema = z.strictObject({
    target: z.strictObject({
        kind: createEnumSchema(["worker", "executor", "host"]),
        name: nameSchema,
    }),
    reason: createTextSchema(0, limits.maxReasonLength).default(""),
});

const jobFields = z.strictObject({
    kind: createEnumSchema(["batch", "service", "gang"]),
    team: nameSchema,
    /** Higher is more urgent. Default 100. */
    priority: createIntegerSchema(0, limits.maxPriority).default(100),
    taskCount: createIntegerSchema(1, limits.maxTaskCount),
    /** Declared size of each task. */
    resources: z.strictObject({
        // A task of no size would fit everywhere without bound.
        cpuMillis: createIntegerSchema(1, limits.maxTaskCpuMillis),
        memoryMb: createIntegerSchema(0, limits.maxTaskMemoryMb),
        accelerators: createIntegerSchema(0, limits.maxTaskAccelerators).default(0),
    }),
    command: createTextSchema(1, limits.maxCommandLength),
    /** Time by which the job should be done. Not for services. */
    deadline: timeSchema.optional(),
    /** Estimated run time of a task, in milliseconds. Not for services. */
    estimatedRunMs: createIntegerSchema(1, limits.maxEstimatedRunMs).optional(),
    /** Whether a task may be started again when it may have run. Default false. */
    safeToRepeat: booleanSchema.default(false),
    /** Home zone; the system chooses if it is absent. */
    zone: nameSchema.optional(),
});

/** Spec of a job. */
export const jobSpecSchema = jobFields.check(context => {
    const spec = context.value;
    const report = (path: string, message: string): void => {
        context.issues.push({ code: "custom", path: [path], message, input: spec });
    };
    if (spec.kind === "gang" && spec.taskCount > limits.maxGangTaskCount) {
        report("taskCount", `use at most ${limits.maxGangTaskCount} tasks in a gang, which starts within one shard`);
    }
    if (spec.kind === "service" && spec.deadline !== undefined) {
        report("deadline", "remove it, because a service has no end, or use kind \"batch\"");
    }
    if (spec.kind === "service" && spec.estimatedRunMs !== undefined) {
        report("estimatedRunMs", "remove it, because a service has no end, or use kind \"batch\"");
    }
});

/** The spec schema of each kind. */
export const specSchemas = {
    Team: teamSpecSchema,
    Key: keySpecSchema,
    Queue: queueSpecSchema,
    Drain: drainSpecSchema,
    Job: jobSpecSchema,
} as const;

/** Kinds that are kept in the store's configuration. */
export const configurationKinds = ["Team", "Key", "Queue", "Drain"] as const;
export const resourceKinds = [...configurationKinds, "Job"] as const;

export type ResourceKind = typeof resourceKinds[number];
export type ConfigurationKind = typeof configurationKinds[number];

export type TeamSpec = z.output<typeof teamSpecSchema>;
export type KeySpec = z.output<typeof keySpecSchema>;
export type QueueSpec = z.output<typeof queueSpecSchema>;
export type DrainSpec = z.output<typeof drainSpecSchema>;
export type JobSpec = z.output<typeof jobSpecSchema>;

/** The envelope of every resource. */
export interface ResourceEnvelope<Kind extends ResourceKind, Spec> {
    readonly kind: Kind;
    readonly name: string;
    /** Store revision of the last write of the resource; 0 before the first. */
    readonly version: number;
    readonly spec: Readonly<Spec>;
}

export type TeamResource = ResourceEnvelope<"Team", TeamSpec>;
export type KeyResource = ResourceEnvelope<"Key", KeySpec>;
export type QueueResource = ResourceEnvelope<"Queue", QueueSpec>;
export type DrainResource = ResourceEnvelope<"Drain", DrainSpec>;
export type JobResource = ResourceEnvelope<"Job", JobSpec>;
export type ConfigurationResource = TeamResource | KeyResource | QueueResource | DrainResource;
export type Resource = ConfigurationResource | JobResource;
/** The resource of a kind. */
export type ResourceOf<Kind extends ResourceKind> = Extract<Resource, { readonly kind: Kind; }>;

/** Returns whether a resource is kept in the store's configuration. */
export function isConfigurationResource(resource: Resource): resource is ConfigurationResource {
    return resource.kind !== "Job";
}

/** Returns the deadline of a job in wall-clock milliseconds since 1970, or `undefined` if it has none. */
export function toDeadlineWallTime(spec: JobSpec): number | undefined {
    return spec.deadline === undefined ? undefined : Date.parse(spec.deadline);
}
