/**
 * The stored form of grants: 16 buckets, each with the teams whose names hash to it.
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

/** What one shard holds of a team's limit. */
export interface ShardGrant {
    /** Counts against the limit. */
    readonly granted: GrantVector;
    /** The shard starts nothing above this; less than `granted` while running work above it ends. */
    readonly ceiling: GrantVector;
    /** The fields of which the shard has waiting work that its grant does not cover. */
    readonly wanting: readonly GrantField[];
    /** Revision of the lowered limit to which the ceiling was last adapted; 0 for none. */
    readonly reducedFor: number;
}

export interface TeamGrants {
    /** The limit in force at the last write, and the store revision of the configuration that set it. */
    readonly limit: GrantVector;
    readonly limitRevision: number;
    /** The sum of the grants when the limit was last lowered below it, and the revision of that limit. */
    readonly lowered: { readonly revision: number; readonly sum: GrantVector; } | undefined;
    readonly shards: Readonly<Record<string, ShardGrant>>;
}

export interface GrantBucket {
    /** Newest owner epoch of each shard that has written here. */
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

/** Returns the number of the bucket of a team, from 0. */
export function getBucketNumber(team: TeamId): number {
    return createHash("sha256").update(team).digest().readUInt8(0) % bucketCount;
}

export function getBucketKey(number: number): string {
    return `${grantsPrefix}${String(number).padStart(2, "0")}`;
}

export function encodeBucket(bucket: GrantBucket): string {
    return JSON.stringify({ version: bucketVersion, ...bucket });
}

/** Parses a bucket. Fails with `grants-unreadable` for a damaged value or one of another version. */
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
        const message = `"${key}" cannot be read and is left as it is: ${z.prettifyError(parsed.error)}`;
        return Err(createFailure("grants-unreadable", message, "notRun"));
    }
    const { epochs, teams } = parsed.data;
    return Ok({
        epochs,
        teams: Object.fromEntries(
            Object.entries(teams).map(([team, row]) => [team, { ...row, lowered: row.lowered }]),
        ),
    });
}
