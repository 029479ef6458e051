/**
 * Keeps a shard's grants: reads the buckets, requests more of a team's limit and returns what is unused.
 */
import { createFailure, Err, Ok, SystemRandom, toId } from "@waxwingroute/core";
import type { Clock, Failure, RandomSource, Result, ShardId, TeamId, Timer } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { BucketReplica } from "./bucket-replica.js";
import { bucketCount, getBucketKey, getBucketNumber, grantsPrefix } from "./bucket.js";
import type { GrantBucket } from "./bucket.js";
import { fitsGrant, zeroGrant } from "./grant-vector.js";
import type { GrantVector } from "./grant-vector.js";
import { createTeamGrants, planGrants } from "./plan.js";
import type { TeamLimit, TeamUsage } from "./plan.js";

/** Options of a `GrantsDriver`. */
export interface GrantsDriverOptions {
    readonly shard: ShardId;
    /** Epoch of the shard's owner. An owner with a lower epoch than the stored one must not write. */
    readonly epoch: number;
    readonly store: Store;
    readonly clock: Clock;
    /** Default: the system's random numbers. */
    readonly random?: RandomSource;
    /**
     * Returns what the shard runs and has waiting, for each team with any of it. Starts in flight count as used. Called
     * just before a write, so that the write never returns what is in use.
     */
    readonly listUsage: () => ReadonlyMap<TeamId, TeamUsage>;
    /** Shortest time between two writes of one bucket, except for two retries after conflicts, in ms. Default 2,000. */
    readonly writeIntervalMs?: number;
    /** Time between two reads of all buckets, which show that other shards want more, in ms. Default 5,000. */
    readonly refreshIntervalMs?: number;
    /**
     * Time after a limit was lowered in which nothing of the team starts before a write under the new limit, in ms. If
     * no write has succeeded by then, the shard uses its proportional share of the lowered limit. Default 10,000.
     */
    readonly loweredLimitWaitMs?: number;
    /** Called once when a later owner of the shard has written to a bucket. */
    readonly onFenced?: (failure: Failure) => void;
    /** Called with failures of reads and writes, to log them. The driver continues with the grants that it has. */
    readonly onFailure?: (failure: Failure) => void;
}

/**
 * The grants of one shard, which a timer keeps up to date in the store.
 *
 * @example
 * ```ts
 * const grants = new GrantsDriver({ shard, epoch, store, clock, listUsage });
 * grants.setLimits(limits);
 * const opened = await grants.open();
 * if (fitsGrant(sumGrants([used, task]), grants.getGrant(team))) {
 *     start();
 * }
 * ```
 */
export class GrantsDriver {
    private readonly replicas: readonly BucketReplica[];
    /** By bucket number. */
    private readonly lastWriteAt: number[] = [];
    /** Numbers of the buckets that are being updated. */
    private readonly updating = new Set<number>();
    private limits: ReadonlyMap<TeamId, TeamLimit> = new Map();
    /** When the limit of a team was last lowered. */
    private readonly loweredAt = new Map<TeamId, number>();
    /** Cache, because `getGrant` runs for every placement and a hash for each of them would be too slow. */
    private readonly bucketNumbers = new Map<TeamId, number>();
    private lastRefreshAt = -Infinity;
    /** Starts at a random number, so that shards that start together do not write the same bucket at the same time. */
    private tickCount: number;
    private readonly random: RandomSource;
    /** Set once the driver is fenced or closed. */
    private failure: Failure | undefined;
    private timer: Timer | undefined;

    constructor(private readonly options: GrantsDriverOptions) {
        this.random = options.random ?? new SystemRandom();
        this.tickCount = this.random.getInteger(bucketCount);
        this.replicas = Array.from(
            { length: bucketCount },
            (_, bucketNumber) => new BucketReplica(bucketNumber, options.store, this.random),
        );
    }

    /**
     * Reads all buckets, writes the epoch to those in which the shard holds grants, and starts the timer. Fails with
     * `grants-fenced`, `grants-unreadable` or the failure of the store. After a failure it can be called again.
     */
    async open(): Promise<Result<void, Failure>> {
        const refreshed = await this.refreshBuckets();
        if (!refreshed.ok) {
            return refreshed;
        }
        for (const [bucketNumber, replica] of this.replicas.entries()) {
            const bucket = replica.getBucket();
            const holdsGrants = Object.values(bucket?.teams ?? {}).some(grants =>
                grants.shards[this.options.shard] !== undefined
            );
            if (bucket !== undefined && holdsGrants && bucket.epochs[this.options.shard] !== this.options.epoch) {
                const result = await this.writeBucket(bucketNumber, bucket);
                if (!result.ok) {
                    return result;
                }
            }
        }
        if (this.timer === undefined) {
            this.scheduleTick();
        }
        return Ok(undefined);
    }

    /** Stops the timer. The shard keeps its grants for its next owner. */
    close(): void {
        this.timer?.cancel();
        this.failure ??= createFailure(
            "grants-closed",
            `the grants of shard "${this.options.shard}" were closed by their owner`,
            "notRun",
        );
    }

    /** Sets the limits of the teams from the configuration replica. They take effect at once in `getGrant`. */
    setLimits(limits: ReadonlyMap<TeamId, TeamLimit>): void {
        for (const [team, { limit }] of limits) {
            const previous = this.limits.get(team);
            if (previous !== undefined && !fitsGrant(previous.limit, limit)) {
                this.loweredAt.set(team, this.options.clock.getNow());
            }
        }
        this.limits = limits;
    }

    /** Returns the most that the shard may run of a team now. After a limit was lowered, running work can exceed it. */
    getGrant(team: TeamId): GrantVector {
        const replica = this.replicas[this.getCachedBucketNumber(team)];
        const { clock, shard, loweredLimitWaitMs } = this.options;
        const isLoweredRecently =
            clock.getNow() < (this.loweredAt.get(team) ?? -Infinity) + (loweredLimitWaitMs ?? 10_000);
        return this.failure !== undefined || replica === undefined
            ? zeroGrant
            : replica.getAllowance(team, shard, this.limits.get(team), isLoweredRecently);
    }

    private getCachedBucketNumber(team: TeamId): number {
        const cached = this.bucketNumbers.get(team);
        if (cached !== undefined) {
            return cached;
        }
        const bucketNumber = getBucketNumber(team);
        this.bucketNumbers.set(team, bucketNumber);
        return bucketNumber;
    }

    private scheduleTick(): void {
        const intervalMs = (this.options.writeIntervalMs ?? 2_000) / bucketCount;
        this.timer = this.options.clock.schedule(intervalMs, () => {
            void this.runTick();
            if (this.failure === undefined) {
                this.scheduleTick();
            }
        });
    }

    private async runTick(): Promise<void> {
        const { clock } = this.options;
        if (clock.getNow() >= this.lastRefreshAt + (this.options.refreshIntervalMs ?? 5_000)) {
            this.reportFailure(await this.refreshBuckets());
        }
        this.tickCount++;
        const phase = this.tickCount % (bucketCount / bucketsPerTick);
        const dueNumbers = [...this.replicas.keys()].filter(bucketNumber =>
            bucketNumber % (bucketCount / bucketsPerTick) === phase && this.isWriteDue(bucketNumber)
        );
        for (const bucketNumber of dueNumbers) {
            this.reportFailure(await this.updateBucket(bucketNumber));
        }
    }

    private isWriteDue(bucketNumber: number): boolean {
        const intervalMs = this.options.writeIntervalMs ?? 2_000;
        return !this.updating.has(bucketNumber)
            && this.options.clock.getNow() >= (this.lastWriteAt[bucketNumber] ?? -Infinity) + intervalMs;
    }

    /** Writes a bucket if the shard needs more or less than it holds. */
    private async updateBucket(bucketNumber: number): Promise<Result<void, Failure>> {
        const replica = this.replicas[bucketNumber];
        if (replica === undefined || this.updating.has(bucketNumber) || this.failure !== undefined) {
            return Ok(undefined);
        }
        this.updating.add(bucketNumber);
        const result = await this.planAndWrite(bucketNumber, replica);
        this.updating.delete(bucketNumber);
        return result;
    }

    /**
     * Writes a bucket if its plan changes anything, and retries after conflicts. Reads before each write, because with
     * many shards a bucket that was read some seconds ago has nearly always changed.
     */
    private async planAndWrite(bucketNumber: number, replica: BucketReplica): Promise<Result<void, Failure>> {
        const bucket = replica.getBucket();
        if (bucket !== undefined && !replica.needsRead() && this.planBucket(bucketNumber, bucket) === undefined) {
            return Ok(undefined);
        }
        let result: Result<void, Failure> = Ok(undefined);
        for (let attempt = 0; attempt < writeAttempts; attempt++) {
            const read = await replica.read();
            const checked = read.ok ? this.checkFence(read.val) : read;
            if (!read.ok || !checked.ok) {
                return checked.ok ? Ok(undefined) : Err(checked.val);
            }
            const planned = this.failure === undefined ? this.planBucket(bucketNumber, read.val) : undefined;
            if (planned === undefined) {
                return Ok(undefined);
            }
            result = await this.writeBucket(bucketNumber, planned);
            if (result.ok || result.val.code !== "store-conflict") {
                return result;
            }
            await this.options.clock.wait(this.random.getInteger(conflictWaitMs));
        }
        return result;
    }

    /** Returns the bucket with this shard's new grants, or `undefined` if nothing changes. */
    private planBucket(bucketNumber: number, bucket: GrantBucket): GrantBucket | undefined {
        const { shard } = this.options;
        const usages = this.options.listUsage();
        const heldTeams = Object.keys(bucket.teams).filter(team => bucket.teams[team]?.shards[shard] !== undefined);
        const teamIds = new Set([...heldTeams, ...usages.keys()].map(team => toId<TeamId>(team)));
        const teams = { ...bucket.teams };
        let isChanged = false;
        for (const team of teamIds) {
            const limit = this.limits.get(team);
            const current = teams[team] ?? (limit === undefined ? undefined : createTeamGrants(limit));
            if (current === undefined || this.getCachedBucketNumber(team) !== bucketNumber) {
                continue;
            }
            const planned = planGrants(current, shard, limit, usages.get(team) ?? noUsage);
            const isUnchanged = JSON.stringify(planned.shards[shard]) === JSON.stringify(current.shards[shard])
                && planned.limitRevision === current.limitRevision;
            if (!isUnchanged) {
                isChanged = true;
                teams[team] = planned;
            }
        }
        return isChanged ? { ...bucket, teams } : undefined;
    }

    /** Writes a bucket with this owner's epoch, which fences earlier owners of the shard. */
    private async writeBucket(bucketNumber: number, bucket: GrantBucket): Promise<Result<void, Failure>> {
        const { shard, epoch, clock } = this.options;
        this.lastWriteAt[bucketNumber] = clock.getNow();
        const replica = this.replicas[bucketNumber];
        return replica === undefined
            ? Ok(undefined)
            : replica.write({ ...bucket, epochs: { ...bucket.epochs, [shard]: epoch } });
    }

    /** Reads all buckets at once. */
    private async refreshBuckets(): Promise<Result<void, Failure>> {
        this.lastRefreshAt = this.options.clock.getNow();
        const range = await this.options.store.readRange(grantsPrefix);
        if (!range.ok) {
            return range;
        }
        for (const [bucketNumber, replica] of this.replicas.entries()) {
            const applied = replica.applyEntry(
                range.val.entries.find(entry => entry.key === getBucketKey(bucketNumber)),
            );
            const checked = applied.ok ? this.checkFence(applied.val) : applied;
            if (!checked.ok) {
                return Err(checked.val);
            }
        }
        return Ok(undefined);
    }

    /** Fails, and ends the driver, if a later owner of the shard has written to the bucket. */
    private checkFence(bucket: GrantBucket): Result<void, Failure> {
        const { shard, epoch, onFenced } = this.options;
        const newestEpoch = bucket.epochs[shard] ?? 0;
        if (newestEpoch <= epoch) {
            return Ok(undefined);
        }
        const failure = createFailure(
            "grants-fenced",
            `the grants of shard "${shard}" belong to its owner of epoch ${newestEpoch}, not ${epoch}`,
            "notRun",
        );
        if (this.failure === undefined) {
            this.failure = failure;
            onFenced?.(failure);
        }
        return Err(failure);
    }

    private reportFailure(result: Result<void, Failure>): void {
        if (!result.ok) {
            this.options.onFailure?.(result.val);
        }
    }
}

/**
 * Buckets that one tick plans. With 16 ticks in `writeIntervalMs`, each bucket is planned twice in that time. A tick
 * does not plan all of them, because planning costs more than checking the clock.
 */
const bucketsPerTick = 2;

/** Longest wait after a conflict in ms: about ten times the time between a read and the response to the write. */
const conflictWaitMs = 100;

/** Attempts to write a bucket per interval. A conflict means that another shard wrote it after the read. */
const writeAttempts = 3;

const noUsage: TeamUsage = { used: zeroGrant, demand: zeroGrant, largestWaiting: zeroGrant };
