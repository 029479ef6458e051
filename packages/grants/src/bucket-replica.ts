/**
 * A shard's replica of one bucket: the newest value that it knows, and its own writes whose outcome is unknown.
 */
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Failure, RandomSource, Result, ShardId, TeamId, WriterToken } from "@waxwingroute/core";
import type { Store, StoreEntry } from "@waxwingroute/platform";
import { emptyBucket, encodeBucket, getBucketKey, parseBucket } from "./bucket.js";
import type { GrantBucket } from "./bucket.js";
import { intersectGrants, zeroGrant } from "./grant-vector.js";
import type { GrantVector } from "./grant-vector.js";
import { computeAllowance } from "./plan.js";
import type { TeamLimit } from "./plan.js";

/** A write whose outcome is unknown. */
interface UnresolvedWrite {
    readonly bucket: GrantBucket;
    /** The revision that the key must have; `undefined` if the key must not exist. */
    readonly expectedRevision: number | undefined;
    readonly token: WriterToken;
}

/** Reads and writes one bucket for a shard. */
export class BucketReplica {
    /** `revision` is `undefined` while the key does not exist. */
    private current: { readonly bucket: GrantBucket; readonly revision: number | undefined; } | undefined;
    private unresolvedWrites: readonly UnresolvedWrite[] = [];

    constructor(
        private readonly bucketNumber: number,
        private readonly store: Store,
        private readonly random: RandomSource,
    ) {}

    /** Returns the newest known value; `undefined` before the first read. */
    getBucket(): GrantBucket | undefined {
        return this.current?.bucket;
    }

    /** Returns whether the key must be read before a write: it never was, or the outcome of a write is unknown. */
    needsRead(): boolean {
        return this.current === undefined || this.unresolvedWrites.length > 0;
    }

    /**
     * Returns what the shard may use of a team's limit: the smallest allowance of all values that the bucket can have.
     * See `computeAllowance` for `isLoweredRecently`.
     */
    getAllowance(
        team: TeamId,
        shard: ShardId,
        limit: TeamLimit | undefined,
        isLoweredRecently: boolean,
    ): GrantVector {
        if (this.current === undefined) {
            return zeroGrant;
        }
        const buckets = [this.current.bucket, ...this.unresolvedWrites.map(write => write.bucket)];
        return buckets
            .map(bucket => computeAllowance(bucket.teams[team], shard, limit, isLoweredRecently))
            .reduce(intersectGrants);
    }

    /** Reads the bucket from the store. Fails with `grants-unreadable` or the failure of the store. */
    async read(): Promise<Result<GrantBucket, Failure>> {
        const entry = await this.store.read(getBucketKey(this.bucketNumber));
        return entry.ok ? this.applyEntry(entry.val) : entry;
    }

    /** Applies a value read from the store, unless a newer revision is known. */
    applyEntry(entry: StoreEntry | undefined): Result<GrantBucket, Failure> {
        if (entry === undefined) {
            this.current ??= { bucket: emptyBucket, revision: undefined };
            return Ok(this.current.bucket);
        }
        const parsed = parseBucket(entry.key, entry.value);
        if (!parsed.ok) {
            return parsed;
        }
        if (this.current?.revision === undefined || entry.revision > this.current.revision) {
            this.applyBucket(parsed.val, entry.revision);
        }
        return Ok(this.current?.bucket ?? parsed.val);
    }

    /**
     * Writes a new value of the bucket by compare-and-swap. From before the call until the outcome is known, the
     * smaller allowance of both values applies. Fails with `store-conflict` if the bucket has changed since the last
     * read: read it again.
     */
    async write(bucket: GrantBucket): Promise<Result<void, Failure>> {
        const expectedRevision = this.current?.revision;
        if (this.current === undefined) {
            return Err(createFailure(
                "grants-not-read",
                `bucket ${this.bucketNumber} of the grants must be read before it is written`,
                "notRun",
            ));
        }
        const key = getBucketKey(this.bucketNumber);
        const token = toId<WriterToken>(this.random.getHex(24));
        const write: UnresolvedWrite = { bucket, expectedRevision, token };
        this.unresolvedWrites = [...this.unresolvedWrites, write];
        const result = await this.store.write({
            key,
            value: encodeBucket(bucket),
            expected: expectedRevision === undefined
                ? { kind: "absent" }
                : { kind: "revision", revision: expectedRevision },
            token,
        });
        if (result.ok) {
            this.applyBucket(bucket, result.val);
            return Ok(undefined);
        }
        if (result.val.verdict === "notRun") {
            this.unresolvedWrites = this.unresolvedWrites.filter(other => other !== write);
            return result;
        }
        return this.resolveWrite(key, write, result.val);
    }

    /** Finds out by the token whether a write without a response has taken effect. */
    private async resolveWrite(key: string, write: UnresolvedWrite, failure: Failure): Promise<Result<void, Failure>> {
        const present = await this.store.readToken(key);
        if (present.ok && present.val?.token === write.token) {
            this.applyBucket(write.bucket, present.val.revision);
            return Ok(undefined);
        }
        // The write can still take effect late, so it stays unresolved until the key has a newer revision.
        return Err(failure);
    }

    private applyBucket(bucket: GrantBucket, revision: number): void {
        if (this.current?.revision !== undefined && revision <= this.current.revision) {
            return;
        }
        this.current = { bucket, revision };
        // A write that expected an older revision, or that the key did not exist, can no longer take effect.
        this.unresolvedWrites = this.unresolvedWrites.filter(write =>
            write.expectedRevision !== undefined && write.expectedRevision >= revision
        );
    }
}
