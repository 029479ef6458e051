/**
 * The service with which schedulers spread the configuration.
 */
import type { HostId, ZoneId } from "@waxwingroute/core";
import type { RelayDigest, RelayPull } from "@waxwingroute/relay";
import { createUnaryMethod } from "@waxwingroute/transport";
import { z } from "zod";
import { createIdSchema } from "./id-schema.js";

const digestSchema: z.ZodType<RelayDigest> = z.object({
    host: createIdSchema<HostId>(),
    zone: createIdSchema<ZoneId>(),
    revision: z.number().optional(),
    confirmedAgoMs: z.number().optional(),
    isStoreConfirmed: z.boolean(),
}) as z.ZodType<RelayDigest>;

const changeSchema = z.object({ key: z.string(), value: z.string().optional(), revision: z.number() });
const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.number() });

const pullSchema: z.ZodType<RelayPull> = z.object({
    digest: digestSchema,
    update: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("delta"), from: z.number(), revision: z.number(), changes: z.array(changeSchema) }),
        z.object({ kind: z.literal("snapshot"), revision: z.number(), entries: z.array(entrySchema) }),
    ]).optional(),
}) as z.ZodType<RelayPull>;

export const relayService = {
    digest: createUnaryMethod("Relay/Digest", digestSchema, digestSchema),
    pull: createUnaryMethod("Relay/Pull", z.object({ revision: z.number().optional() }), pullSchema),
};
