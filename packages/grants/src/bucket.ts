/**
 * The stored form of grants: 16 buckets, each with the teams whose identifiers hash to it.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result, TeamId } from "@waxwingroute/core";
import { createHash } from "node:crypto";
import { z } from "zod";
import { grantFields } from "./grant-vector.js";
import type { GrantField, GrantVector } from "./grant-vector.js";

export const bucketCount = 16;

const bucketVersion = 1;

export const grantsPrefix = "grants/";

/** A shard's part of a team's limit. */
export interface ShardGrant {
    /** The amount that counts against the limit. */
    readonly granted: GrantVector;
    /** The shard starts no work above this. It is less than `granted` while running work above it has not ended. */
    readonly ceiling: GrantVector;
    /** The fields in which the shard's work, waiting work included, exceeds the ceiling. */
    readonly wanting: readonly GrantField[];
    /** Revision of the lowered limit for which the ceiling was last reduced; 0 for none. */
    readonly reducedFor: number;
}

/** A team's limit and the grants of all shards. */
export interface TeamGrants {
    /** The limit in force at the last write. */
    readonly limit: GrantVector;
    /** Store revision of the configuration that set the limit. */
    readonly limitRevision: number;
    /** The sum of the grants when the limit was last lowered below it, and the revision of that limit. */
    readonly lowered: { readonly revision: number; readonly sum: GrantVector; } | undefined;
    readonly shards: Readonly<Record<string, ShardGrant>>;
}

/** The content of one store key. */
export interface GrantBucket {
    /** The newest epoch in which the owner of each shard wrote this bucket. Earlier owners of the shard are fenced. */
    readonly epochs: Readonly<Record<string, number>>;
    readonly teams: Readonly<Record<string, TeamGrants>>;
}

export const emptyBucket: GrantBucket = { epochs: {}, teams: {} };

const amount = z.number().int().nonnegative();
const vector = z.object({ cpuMillis: amount, memoryMb: amount, accelerators: amount, slots: amount });
const bucketSchema = z.object({
    version: z.literal(bucketVersion),
    epochs: z.record(z.string(), z.number().int()),
    teams: z.record(
        z.string(),
        z.object({
            limit: vector,
            limitRevision: z.number().int(),
            lowered: z.object({ revision: z.number().int(), sum: vector }).optional(),
            shards: z.record(
                z.string(),
                z.object({
                    granted: vector,
                    ceiling: vector,
                    wanting: z.array(z.enum(grantFields)),
                    reducedFor: z.number().int(),
                }),
            ),
        }),
    ),
});

/** Returns the number of a team's bucket, from 0 to `bucketCount - 1`. */
export function getBucketNumber(team: TeamId): number {
    return createHash("sha256").update(team).digest().readUInt8(0) % bucketCount;
}

/** Returns the store key of a bucket. */
export function getBucketKey(bucketNumber: number): string {
    return `${grantsPrefix}${String(bucketNumber).padStart(2, "0")}`;
}

/** Encodes a bucket as the value of its store key. */
export function encodeBucket(bucket: GrantBucket): string {
    return JSON.stringify({ version: bucketVersion, ...bucket });
}

/** Parses the value of a bucket's key. Fails with `grants-unreadable` if it is damaged or of another version. */
export function parseBucket(key: string, value: string): Result<GrantBucket, Failure> {
    let json: unknown;
    try {
        json = JSON.parse(value);
    }
    catch {
        json = undefined;
    }
    const parsed = bucketSchema.safeParse(json);
    if (!parsed.success) {
        const message = `grants in "${key}" cannot be parsed, and the value is left unchanged: ${
            z.prettifyError(parsed.error)
        }`;
        return Err(createFailure("grants-unreadable", message, "notRun"));
    }
    const { epochs, teams } = parsed.data;
    return Ok({
        epochs,
        teams: Object.fromEntries(
            Object.entries(teams).map(([team, grants]) => [team, { ...grants, lowered: grants.lowered }]),
        ),
    });
}
