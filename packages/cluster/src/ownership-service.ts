/**
 * The service with which the schedulers of a zone settle who owns a shard.
 */
import type { HostId, IncarnationId, WriterToken } from "@waxwingroute/core";
import type {
    ArmAnswer,
    ArmRequest,
    DisarmAnswer,
    DisarmRequest,
    Heartbeat,
    IdentifyAnswer,
    IdentifyRequest,
    ReleaseAnswer,
    ReleaseRequest,
} from "@waxwingroute/ownership";
import { createUnaryMethod } from "@waxwingroute/transport";
import { z } from "zod";
import { createIdSchema } from "./id-schema.js";

const hostSchema = createIdSchema<HostId>();
const incarnationSchema = createIdSchema<IncarnationId>();

const ownershipRecordSchema = z.object({
    epoch: z.number(),
    owner: hostSchema,
    ownerIncarnation: incarnationSchema,
    successor: hostSchema.optional(),
    successorIncarnation: incarnationSchema.optional(),
    renewal: z.number(),
    token: createIdSchema<WriterToken>(),
});

const heartbeatSchema = z.object({
    from: hostSchema,
    incarnation: incarnationSchema,
    number: z.number(),
    confirmed: z.object({ record: ownershipRecordSchema, revision: z.number() }).optional(),
}) as z.ZodType<Heartbeat>;

const armRequestSchema: z.ZodType<ArmRequest> = z.object({
    from: hostSchema,
    ownerIncarnation: incarnationSchema,
    successorIncarnation: incarnationSchema,
    epoch: z.number(),
    sequence: z.number(),
    revision: z.number(),
    echo: z.number(),
    sinceRenewalMs: z.number(),
});

const armAnswerSchema: z.ZodType<ArmAnswer> = z.object({
    epoch: z.number(),
    sequence: z.number(),
    status: z.enum(["consented", "armed", "notArmed", "solo"]),
});

const disarmRequestSchema: z.ZodType<DisarmRequest> = z.object({
    from: hostSchema,
    ownerIncarnation: incarnationSchema,
    successorIncarnation: incarnationSchema,
    epoch: z.number(),
    sequence: z.number(),
    revision: z.number(),
});

const disarmAnswerSchema: z.ZodType<DisarmAnswer> = z.object({
    epoch: z.number(),
    sequence: z.number(),
    isDisarmed: z.boolean(),
});

const releaseRequestSchema: z.ZodType<ReleaseRequest> = z.object({
    from: hostSchema,
    requestId: z.number(),
    revision: z.number(),
});

const releaseAnswerSchema: z.ZodType<ReleaseAnswer> = z.object({
    requestId: z.number(),
    revision: z.number(),
    isReleased: z.boolean(),
});

const identifyRequestSchema: z.ZodType<IdentifyRequest> = z.object({ from: hostSchema, requestId: z.number() });
const identifyAnswerSchema: z.ZodType<IdentifyAnswer> = z.object({
    requestId: z.number(),
    incarnation: incarnationSchema,
});

/** Adds the shard that a message is about. */
function createShardMessageSchema<T>(
    message: z.ZodType<T>,
): z.ZodType<{ readonly shard: string; readonly message: T; }> {
    return z.object({ shard: z.string(), message });
}

export const ownershipService = {
    heartbeat: createUnaryMethod("Ownership/Heartbeat", createShardMessageSchema(heartbeatSchema), z.object({})),
    arm: createUnaryMethod("Ownership/Arm", createShardMessageSchema(armRequestSchema), armAnswerSchema),
    disarm: createUnaryMethod("Ownership/Disarm", createShardMessageSchema(disarmRequestSchema), disarmAnswerSchema),
    release: createUnaryMethod(
        "Ownership/Release",
        createShardMessageSchema(releaseRequestSchema),
        releaseAnswerSchema,
    ),
    identify: createUnaryMethod(
        "Ownership/Identify",
        createShardMessageSchema(identifyRequestSchema),
        identifyAnswerSchema,
    ),
};
