/**
 * Keeps a shard's grants: reads the buckets, asks for more and returns what is unused.
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

export interface GrantsDriverOptions {
    readonly shard: ShardId;
    /** Epoch of the shard's owner; a lower one than in the store may not write. */
    readonly epoch: number;
    readonly store: Store;
    readonly clock: Clock;
    /** Default: the system's random numbers. */
    readonly random?: RandomSource;
    /**
     * Returns what the shard runs and would run, for every team that has either. Starts in flight count as use. Called just
     * before a write, so that the use is never above what the write leaves.
     */
    readonly listUsage: () => ReadonlyMap<TeamId, TeamUsage>;
    /** Shortest time between two writes of one bucket, but for two repetitions after conflicts, in ms. Default 2,000. */
    readonly writeIntervalMs?: number;
    /** Time between two reads of all buckets in ms, to notice shards that want more. Default 5,000. */
    readonly refreshIntervalMs?: number;
    /**
     * Time after a limit was lowered in which nothing starts until a write under the new limit, in ms. After it, without the
     * store, the shard uses its part of the lowered limit. Default 10,000.
     */
    readonly loweredLimitWaitMs?: number;
    /** Called once when a later owner of the shard has written. */
    readonly onFenced?: (failure: Failure) => void;
    /** Called with failures of reads and writes, for logs. The driver goes on with the grants that it has. */
    readonly onFailure?: (failure: Failure) => void;
}

/**
 * The grants of one shard.
 *
 * @example
 * ```ts
 * const grants = new GrantsDriver({ shard, epoch, store, clock, listUse });
 * grants.setLimits(limits);
 * const opened = await grants.open();
 * if (fitsGrant(sumGrants([use, task]), grants.getGrant(team))) {
 *     start();
 * }
 * ```
 */
export class GrantsDriver {
    private readonly replicas: readonly BucketReplica[];
    private readonly lastWriteAt: number[] = [];
    private readonly busy = new Set<number>();
    private limits: ReadonlyMap<TeamId, TeamLimit> = new Map();
    private readonly loweredAt = new Map<TeamId, number>();
    /** `getGrant` runs for every placement, a hash for each would show. */
    private readonly bucketNumbers = new Map<TeamId, number>();
    private lastRefreshAt = -Infinity;
    /** Starts at random, so that shards that start together do not write the same bucket at the same time. */
    private tickCount: number;
    private readonly random: RandomSource;
    private failure: Failure | undefined;
    private timer: Timer | undefined;

    constructor(private readonly options: GrantsDriverOptions) {
        this.random = options.random ?? new SystemRandom();
        this.tickCount = this.random.getInteger(bucketCount);
        this.replicas = Array.from(
            { length: bucketCount },
            (_, number) => new BucketReplica(number, options.store, this.random),
        );
    }

    /**
     * Reads all buckets, registers the epoch where the shard holds grants, and starts the timer. Fails with
     * `grants-fenced`, `grants-unreadable` or the failure of the store; it can be called again after a failure.
     */
    async open(): Promise<Result<void, Failure>> {
        const refreshed = await this.refreshBuckets();
        if (!refreshed.ok) {
            return refreshed;
        }
        for (const [number, replica] of this.replicas.entries()) {
            const bucket = replica.getBucket();
            const isHolder = Object.values(bucket?.teams ?? {}).some(row =>
                row.shards[this.options.shard] !== undefined
            );
            if (bucket !== undefined && isHolder && bucket.epochs[this.options.shard] !== this.options.epoch) {
                const result = await this.writeBucket(number, bucket);
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

    /** Stops the timer. The grants stay with the shard for its next owner. */
    close(): void {
        this.timer?.cancel();
        this.failure ??= createFailure("grants-closed", `the grants of "${this.options.shard}" are closed`, "notRun");
    }

    /** Sets the limits of the teams from the configuration replica. It takes effect at once for `getGrant`. */
    setLimits(limits: ReadonlyMap<TeamId, TeamLimit>): void {
        for (const [team, { limit }] of limits) {
            const previous = this.limits.get(team);
            if (previous !== undefined && !fitsGrant(previous.limit, limit)) {
                this.loweredAt.set(team, this.options.clock.getNow());
            }
        }
        this.limits = limits;
    }

    /** Returns up to what the shard may run of a team now. Running work can be above it after a limit was lowered. */
    getGrant(team: TeamId): GrantVector {
        const replica = this.replicas[this.getBucket(team)];
        const { clock, shard, loweredLimitWaitMs } = this.options;
        const isCautious = clock.getNow() < (this.loweredAt.get(team) ?? -Infinity) + (loweredLimitWaitMs ?? 10_000);
        return this.failure !== undefined || replica === undefined
            ? zeroGrant
            : replica.getAllowance(team, shard, this.limits.get(team), isCautious);
    }

    private getBucket(team: TeamId): number {
        const known = this.bucketNumbers.get(team);
        if (known !== undefined) {
            return known;
        }
        const number = getBucketNumber(team);
        this.bucketNumbers.set(team, number);
        return number;
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
        const turn = this.tickCount % (bucketCount / bucketsPerTick);
        const due = [...this.replicas.keys()].filter(number =>
            number % (bucketCount / bucketsPerTick) === turn && this.isWriteDue(number)
        );
        for (const number of due) {
            this.reportFailure(await this.updateBucket(number));
        }
    }

    private isWriteDue(number: number): boolean {
        const intervalMs = this.options.writeIntervalMs ?? 2_000;
        return !this.busy.has(number)
            && this.options.clock.getNow() >= (this.lastWriteAt[number] ?? -Infinity) + intervalMs;
    }

    /** Writes the bucket if the shard needs more or less than it holds. */
    private async updateBucket(number: number): Promise<Result<void, Failure>> {
        const replica = this.replicas[number];
        if (replica === undefined || this.busy.has(number) || this.failure !== undefined) {
            return Ok(undefined);
        }
        this.busy.add(number);
        const result = await this.planAndWrite(number, replica);
        this.busy.delete(number);
        return result;
    }

    /** Reads before each write: with many shards, a bucket read some seconds ago has nearly always changed. */
    private async planAndWrite(number: number, replica: BucketReplica): Promise<Result<void, Failure>> {
        const known = replica.getBucket();
        if (known !== undefined && !replica.needsRead() && this.planBucket(number, known) === undefined) {
            return Ok(undefined);
        }
        let result: Result<void, Failure> = Ok(undefined);
        for (let attempt = 0; attempt < writeAttempts; attempt++) {
            const read = await replica.read();
            const checked = read.ok ? this.checkFence(read.val) : read;
            if (!read.ok || !checked.ok) {
                return checked.ok ? Ok(undefined) : Err(checked.val);
            }
            const planned = this.failure === undefined ? this.planBucket(number, read.val) : undefined;
            if (planned === undefined) {
                return Ok(undefined);
            }
            result = await this.writeBucket(number, planned);
            if (result.ok || result.val.code !== "store-conflict") {
                return result;
            }
            await this.options.clock.wait(this.random.getInteger(conflictWaitMs));
        }
        return result;
    }

    /** Returns the bucket with this shard's new grants; `undefined` if nothing changes. */
    private planBucket(number: number, bucket: GrantBucket): GrantBucket | undefined {
        const { shard } = this.options;
        const use = this.options.listUsage();
        const held = Object.keys(bucket.teams).filter(team => bucket.teams[team]?.shards[shard] !== undefined);
        const names = new Set([...held, ...use.keys()].map(team => toId<TeamId>(team)));
        const teams = { ...bucket.teams };
        let isChanged = false;
        for (const team of names) {
            const limit = this.limits.get(team);
            const row = teams[team] ?? (limit === undefined ? undefined : createTeamGrants(limit));
            if (row === undefined || this.getBucket(team) !== number) {
                continue;
            }
            const planned = planGrants(row, shard, limit, use.get(team) ?? noUse);
            const isSame = JSON.stringify(planned.shards[shard]) === JSON.stringify(row.shards[shard])
                && planned.limitRevision === row.limitRevision;
            if (!isSame) {
                isChanged = true;
                teams[team] = planned;
            }
        }
        return isChanged ? { ...bucket, teams } : undefined;
    }

    private async writeBucket(number: number, bucket: GrantBucket): Promise<Result<void, Failure>> {
        const { shard, epoch, clock } = this.options;
        this.lastWriteAt[number] = clock.getNow();
        const replica = this.replicas[number];
        return replica === undefined
            ? Ok(undefined)
            : replica.write({ ...bucket, epochs: { ...bucket.epochs, [shard]: epoch } });
    }

    private async refreshBuckets(): Promise<Result<void, Failure>> {
        this.lastRefreshAt = this.options.clock.getNow();
        const range = await this.options.store.readRange(grantsPrefix);
        if (!range.ok) {
            return range;
        }
        for (const [number, replica] of this.replicas.entries()) {
            const applied = replica.applyEntry(range.val.entries.find(entry => entry.key === getBucketKey(number)));
            const checked = applied.ok ? this.checkFence(applied.val) : applied;
            if (!checked.ok) {
                return Err(checked.val);
            }
        }
        return Ok(undefined);
    }

    private checkFence(bucket: GrantBucket): Result<void, Failure> {
        const { shard, epoch, onFenced } = this.options;
        const newest = bucket.epochs[shard] ?? 0;
        if (newest <= epoch) {
            return Ok(undefined);
        }
        const failure = createFailure("grants-fenced", `shard "${shard}" has epoch ${newest}, not ${epoch}`, "notRun");
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

/** With 16 ticks in `writeIntervalMs`, each bucket is planned twice in it: planning costs more than a look at the clock. */
const bucketsPerTick = 2;

/** Longest wait after a conflict in ms: some ten times the time between a read and the answer to the write. */
const conflictWaitMs = 100;

/** Attempts to write a bucket before the next interval; a conflict means that another shard's write came in between. */
const writeAttempts = 3;

const noUse: TeamUsage = { used: zeroGrant, demand: zeroGrant, largestWaiting: zeroGrant };
