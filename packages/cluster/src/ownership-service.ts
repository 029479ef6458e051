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
import { createIdSchema } from "./schemas.js";

const host = createIdSchema<HostId>();
const incarnation = createIdSchema<IncarnationId>();

const recordSchema = z.object({
    epoch: z.number(),
    owner: host,
    ownerIncarnation: incarnation,
    successor: host.optional(),
    successorIncarnation: incarnation.optional(),
    renewal: z.number(),
    token: createIdSchema<WriterToken>(),
});

const heartbeatSchema = z.object({
    from: host,
    incarnation,
    number: z.number(),
    confirmed: z.object({ record: recordSchema, revision: z.number() }).optional(),
}) as z.ZodType<Heartbeat>;

const armRequestSchema: z.ZodType<ArmRequest> = z.object({
    from: host,
    ownerIncarnation: incarnation,
    successorIncarnation: incarnation,
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
    from: host,
    ownerIncarnation: incarnation,
    successorIncarnation: incarnation,
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
    from: host,
    requestId: z.number(),
    revision: z.number(),
});

const releaseAnswerSchema: z.ZodType<ReleaseAnswer> = z.object({
    requestId: z.number(),
    revision: z.number(),
    isReleased: z.boolean(),
});

const identifyRequestSchema: z.ZodType<IdentifyRequest> = z.object({ from: host, requestId: z.number() });
const identifyAnswerSchema: z.ZodType<IdentifyAnswer> = z.object({ requestId: z.number(), incarnation });

/** Adds the shard that a message is about. */
function createShardMessage<T>(message: z.ZodType<T>): z.ZodType<{ readonly shard: string; readonly message: T; }> {
    return z.object({ shard: z.string(), message });
}

export const ownershipService = {
    heartbeat: createUnaryMethod("Ownership/Heartbeat", createShardMessage(heartbeatSchema), z.object({})),
    arm: createUnaryMethod("Ownership/Arm", createShardMessage(armRequestSchema), armAnswerSchema),
    disarm: createUnaryMethod("Ownership/Disarm", createShardMessage(disarmRequestSchema), disarmAnswerSchema),
    release: createUnaryMethod("Ownership/Release", createShardMessage(releaseRequestSchema), releaseAnswerSchema),
    identify: createUnaryMethod("Ownership/Identify", createShardMessage(identifyRequestSchema), identifyAnswerSchema),
};
