/**
 * The grants of one shard under one right, with a floor that idle teams keep.
 *
 * Half of each limit is divided evenly among all shards and held even when idle, so that the first work of a team starts
 * without waiting for a write to the store. The other half goes where the demand is.
 */
import type { ResourceVector, TeamId } from "@waxwingroute/core";
import { GrantsDriver } from "@waxwingroute/grants";
import type { GrantVector, TeamLimit, TeamUsage } from "@waxwingroute/grants";
import type { TeamDemand } from "@waxwingroute/placement";
import type { Store } from "@waxwingroute/platform";
import type { PlacementRight, ShardContext } from "./shard-context.js";

/** Part of a limit that is divided evenly among the shards. */
const floorFraction = 0.5;

export interface ShardGrantsOptions {
    readonly context: ShardContext;
    readonly right: PlacementRight;
    readonly store: Store;
    /** Number of shards in the cluster. */
    readonly shardCount: number;
    readonly onFenced: () => void;
}

/** Slots that a team uses and waits for in this shard. */
export interface TeamSlotUsage {
    readonly running: number;
    readonly waiting: number;
}

export class ShardGrants {
    private readonly driver: GrantsDriver;
    private readonly limits = new Map<TeamId, TeamLimit>();
    private readonly uses = new Map<TeamId, TeamUsage>();
    private isClosed = false;

    constructor(private readonly options: ShardGrantsOptions) {
        const { context, right, store, onFenced } = options;
        this.driver = new GrantsDriver({
            shard: context.shard,
            epoch: right.epoch,
            store,
            clock: context.clock,
            random: context.random,
            listUsage: () => this.uses,
            onFenced,
            onFailure: failure =>
                context.logger.write("warn", "grants not updated", { code: failure.code, error: failure.message }),
        });
    }

    /** Reads the grants; tries again until it works or the grants are closed. */
    async open(): Promise<void> {
        while (!this.isClosed && !(await this.driver.open()).ok) {
            await this.options.context.clock.wait(1_000);
        }
    }

    close(): void {
        this.isClosed = true;
        this.driver.close();
    }

    setLimit(team: TeamId, limit: GrantVector): void {
        const revision = this.options.context.configuration.revision;
        const known = this.limits.get(team);
        if (known === undefined || JSON.stringify(known.limit) !== JSON.stringify(limit)) {
            this.limits.set(team, { limit, revision });
            this.driver.setLimits(new Map(this.limits));
        }
    }

    removeLimit(team: TeamId): void {
        this.limits.delete(team);
        this.uses.delete(team);
        this.driver.setLimits(new Map(this.limits));
    }

    /** Records what a team uses and waits for; the next write to the store asks for it. */
    reportDemand(team: TeamId, tasks: TeamDemand | undefined, slots: TeamSlotUsage): void {
        const limit = this.limits.get(team)?.limit;
        if (limit === undefined) {
            return;
        }
        const use = toGrantVector(tasks?.used, slots.running);
        const waiting = toGrantVector(tasks?.waiting, slots.waiting);
        const floor = (total: number) => Math.floor(total * floorFraction / this.options.shardCount);
        const computeDemand = (field: keyof GrantVector) => Math.max(waiting[field], floor(limit[field]) - use[field]);
        const demand: GrantVector = {
            cpuMillis: computeDemand("cpuMillis"),
            memoryMb: computeDemand("memoryMb"),
            accelerators: computeDemand("accelerators"),
            slots: computeDemand("slots"),
        };
        this.uses.set(team, {
            used: use,
            demand,
            largestWaiting: { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 },
        });
    }

    getGrant(team: TeamId): GrantVector {
        return this.driver.getGrant(team);
    }
}

function toGrantVector(resources: ResourceVector | undefined, slots: number): GrantVector {
    const { cpuMillis, memoryMb, accelerators } = resources ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    return { cpuMillis, memoryMb, accelerators, slots };
}
