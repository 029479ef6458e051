/**
 * One bucket of grants as a shard knows it: the value last read and own writes whose effect is not known.
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

interface UnresolvedWrite {
    readonly bucket: GrantBucket;
    readonly expected: number | undefined;
    readonly token: WriterToken;
}

export class BucketReplica {
    private known: { readonly bucket: GrantBucket; readonly revision: number | undefined; } | undefined;
    private unresolved: readonly UnresolvedWrite[] = [];

    constructor(
        private readonly number: number,
        private readonly store: Store,
        private readonly random: RandomSource,
    ) {}

    /** The bucket as last read; `undefined` before the first read. */
    getBucket(): GrantBucket | undefined {
        return this.known?.bucket;
    }

    /** Whether a write without an answer must be looked up before the next one. */
    needsRead(): boolean {
        return this.known === undefined || this.unresolved.length > 0;
    }

    /** Returns what the shard may use of a team's limit: the least of all values that the bucket can have. */
    getAllowance(team: TeamId, shard: ShardId, limit: TeamLimit | undefined, isCautious: boolean): GrantVector {
        if (this.known === undefined) {
            return zeroGrant;
        }
        const buckets = [this.known.bucket, ...this.unresolved.map(write => write.bucket)];
        return buckets
            .map(bucket => computeAllowance(bucket.teams[team], shard, limit, isCautious))
            .reduce(intersectGrants);
    }

    /** Reads the bucket from the store. Fails with `grants-unreadable` or the failure of the store. */
    async read(): Promise<Result<GrantBucket, Failure>> {
        const entry = await this.store.read(getBucketKey(this.number));
        return entry.ok ? this.applyEntry(entry.val) : entry;
    }

    /** Applies a value read from the store; an older revision than the known one changes nothing. */
    applyEntry(entry: StoreEntry | undefined): Result<GrantBucket, Failure> {
        if (entry === undefined) {
            this.known ??= { bucket: emptyBucket, revision: undefined };
            return Ok(this.known.bucket);
        }
        const parsed = parseBucket(entry.key, entry.value);
        if (!parsed.ok) {
            return parsed;
        }
        if (this.known?.revision === undefined || entry.revision > this.known.revision) {
            this.applyBucket(parsed.val, entry.revision);
        }
        return Ok(this.known?.bucket ?? parsed.val);
    }

    /**
     * Writes a new value of the bucket by compare-and-swap. From before the send until the outcome is known, the smaller
     * allowance of both values holds. Fails with `store-conflict` if the bucket has changed: read it again.
     */
    async write(bucket: GrantBucket): Promise<Result<void, Failure>> {
        const expected = this.known?.revision;
        if (this.known === undefined) {
            return Err(createFailure("grants-not-read", `bucket ${this.number} has not been read`, "notRun"));
        }
        const key = getBucketKey(this.number);
        const token = toId<WriterToken>(this.random.getHex(24));
        const write: UnresolvedWrite = { bucket, expected, token };
        this.unresolved = [...this.unresolved, write];
        const result = await this.store.write({
            key,
            value: encodeBucket(bucket),
            expected: expected === undefined ? { kind: "absent" } : { kind: "revision", revision: expected },
            token,
        });
        if (result.ok) {
            this.applyBucket(bucket, result.val);
            return Ok(undefined);
        }
        if (result.val.verdict === "notRun") {
            this.unresolved = this.unresolved.filter(other => other !== write);
            return result;
        }
        return this.resolveWrite(key, write, result.val);
    }

    private async resolveWrite(key: string, write: UnresolvedWrite, failure: Failure): Promise<Result<void, Failure>> {
        const present = await this.store.readToken(key);
        if (present.ok && present.val?.token === write.token) {
            this.applyBucket(write.bucket, present.val.revision);
            return Ok(undefined);
        }
        // Otherwise it can still take effect late; the smaller allowance holds until the revision has moved on.
        return Err(failure);
    }

    private applyBucket(bucket: GrantBucket, revision: number): void {
        if (this.known?.revision !== undefined && revision <= this.known.revision) {
            return;
        }
        this.known = { bucket, revision };
        // A write that expected an older revision, or that the key did not exist, can no longer take effect.
        this.unresolved = this.unresolved.filter(write => write.expected !== undefined && write.expected >= revision);
    }
}
