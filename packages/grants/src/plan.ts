/**
 * Divides a team's limit among the shards. Pure functions without access to the store.
 */
import type { ShardId } from "@waxwingroute/core";
import type { ShardGrant, TeamGrants } from "./bucket.js";
import { buildGrantVector, fitsGrant, grantFields, intersectGrants, sumGrants, zeroGrant } from "./grant-vector.js";
import type { GrantField, GrantVector } from "./grant-vector.js";

/** A team's limit as in the shard's replica of the configuration. */
export interface TeamLimit {
    readonly limit: GrantVector;
    /** Store revision of the configuration that set the limit. A lower revision never replaces a higher one. */
    readonly revision: number;
}

/** What a shard runs and has waiting of a team. */
export interface TeamUsage {
    /** Everything that is running or being started. */
    readonly used: GrantVector;
    /** Waiting work. */
    readonly demand: GrantVector;
    /** Amounts of the largest waiting task or request; the shard has no use for a grant that does not fit it. */
    readonly largestWaiting: GrantVector;
}

/** Part of the used amount that a shard keeps when it returns grants, so that short tasks do not cause a write each. */
const spareFraction = 0.1;

const noGrant: ShardGrant = { granted: zeroGrant, ceiling: zeroGrant, wanting: [], reducedFor: 0 };

/** Returns a team's grants before any shard holds one. */
export function createTeamGrants(limit: TeamLimit): TeamGrants {
    return { limit: limit.limit, limitRevision: limit.revision, lowered: undefined, shards: {} };
}

/**
 * Computes a team's grants after the next write of a shard: the shard requests more while work waits and returns what
 * it does not use. After the write, the sum of the grants is at most the limit, or no larger than before the write.
 */
export function planGrants(
    teamGrants: TeamGrants,
    shard: ShardId,
    limit: TeamLimit | undefined,
    usage: TeamUsage,
): TeamGrants {
    const current = updateLimit(teamGrants, limit);
    const own = applyLoweredLimit(current, current.shards[shard] ?? noGrant);
    const others = Object.entries(current.shards).flatMap(([other, grant]) => other === shard ? [] : [grant]);
    const available = computeAvailable(current.limit, others);
    const wanted = sumGrants([usage.used, usage.demand]);
    const inputs: TargetInputs = { own, available, wanted, usage, others, teamGrants: current };
    const target = buildGrantVector(field => computeTarget(field, inputs));
    // A shard whose grant does not fit its largest waiting task returns the idle part, so that others can use it.
    const isUseful = fitsGrant(sumGrants([usage.used, usage.largestWaiting]), target);
    const hasDemand = !fitsGrant(usage.demand, zeroGrant);
    const ceiling = hasDemand && !isUseful ? intersectGrants(target, usage.used) : target;
    const granted = buildGrantVector(field =>
        Math.max(ceiling[field], Math.min(usage.used[field], own.granted[field]))
    );
    const planned: ShardGrant = {
        granted,
        ceiling,
        wanting: grantFields.filter(field => wanted[field] > ceiling[field]),
        reducedFor: own.reducedFor,
    };
    const otherShards = Object.fromEntries(Object.entries(current.shards).filter(([other]) => other !== shard));
    const isEmpty = planned.wanting.length === 0 && fitsGrant(granted, zeroGrant);
    return { ...current, shards: isEmpty ? otherShards : { ...otherShards, [shard]: planned } };
}

/**
 * Returns how much of a team's limit a shard may use, given the team's grants as it last read them.
 *
 * While `limit` is newer and lower than the limit in these grants, the shard does not know what the others hold under
 * it. If `isLoweredRecently`, it gets nothing of a lowered field until a write under the new limit has shown that.
 * Otherwise it gets its proportional share of the new limit, measured against no less than the old limit, because the
 * others can hold all of that.
 */
export function computeAllowance(
    teamGrants: TeamGrants | undefined,
    shard: ShardId,
    limit: TeamLimit | undefined,
    isLoweredRecently = false,
): GrantVector {
    const own = teamGrants?.shards[shard];
    if (teamGrants === undefined || own === undefined) {
        return zeroGrant;
    }
    const sum = sumGrants(Object.values(teamGrants.shards).map(grant => grant.granted));
    const ceiling = applyLoweredLimit(teamGrants, own).ceiling;
    const allowed = buildGrantVector(field => {
        const available = Math.max(0, teamGrants.limit[field] - (sum[field] - own.granted[field]));
        return sum[field] > teamGrants.limit[field] ? Math.min(ceiling[field], available) : ceiling[field];
    });
    if (limit === undefined || limit.revision <= teamGrants.limitRevision) {
        return allowed;
    }
    return buildGrantVector(field => {
        const base = Math.max(teamGrants.limit[field], sum[field]);
        const share = isLoweredRecently ? 0 : Math.floor(allowed[field] * limit.limit[field] / base);
        return limit.limit[field] >= base ? allowed[field] : share;
    });
}

/** Applies a newer limit and records the sum of the grants if the limit is below it. */
function updateLimit(teamGrants: TeamGrants, limit: TeamLimit | undefined): TeamGrants {
    if (limit === undefined || limit.revision <= teamGrants.limitRevision) {
        return teamGrants;
    }
    const sum = sumGrants(Object.values(teamGrants.shards).map(grant => grant.granted));
    const isLowered = !fitsGrant(sum, limit.limit);
    return {
        ...teamGrants,
        limit: limit.limit,
        limitRevision: limit.revision,
        lowered: isLowered ? { revision: limit.revision, sum } : undefined,
    };
}

/** Reduces the ceiling once per lowered limit, to `floor(grant × new limit / sum of the grants at the lowering)`. */
function applyLoweredLimit(teamGrants: TeamGrants, own: ShardGrant): ShardGrant {
    const { lowered, limit } = teamGrants;
    if (lowered === undefined || own.reducedFor >= lowered.revision) {
        return own;
    }
    const ceiling = buildGrantVector(field =>
        lowered.sum[field] <= limit[field]
            ? own.ceiling[field]
            : Math.min(own.ceiling[field], Math.floor(own.granted[field] * limit[field] / lowered.sum[field]))
    );
    return { ...own, ceiling, reducedFor: lowered.revision };
}

/** Returns what the other shards leave of the limit. */
function computeAvailable(limit: GrantVector, others: readonly ShardGrant[]): GrantVector {
    const sum = sumGrants(others.map(grant => grant.granted));
    return buildGrantVector(field => Math.max(0, limit[field] - sum[field]));
}

/**
 * Returns the most of a field that a shard may hold: an equal share, among it and the shards that want more, of what
 * the satisfied shards leave. If all that want more already hold more than that share, returns the whole limit.
 */
function computeFairShare(teamGrants: TeamGrants, others: readonly ShardGrant[], field: GrantField): number {
    const wantingMore = others.filter(grant => grant.wanting.includes(field));
    const satisfied = others.filter(grant => !grant.wanting.includes(field));
    const remaining = teamGrants.limit[field] - satisfied.reduce((sum, { granted }) => sum + granted[field], 0);
    const share = Math.max(0, Math.floor(remaining / (wantingMore.length + 1)));
    return wantingMore.some(grant => grant.granted[field] <= share) ? share : teamGrants.limit[field];
}

interface TargetInputs {
    readonly own: ShardGrant;
    /** What the other shards leave of the limit. */
    readonly available: GrantVector;
    /** Used and waiting amounts. */
    readonly wanted: GrantVector;
    readonly usage: TeamUsage;
    readonly others: readonly ShardGrant[];
    readonly teamGrants: TeamGrants;
}

/** Returns the ceiling of one field to which the shard moves next. */
function computeTarget(
    field: GrantField,
    { own, available, wanted, usage, others, teamGrants }: TargetInputs,
): number {
    const ceiling = own.ceiling[field];
    const largestWaiting = usage.largestWaiting[field];
    // While the sum of the grants exceeds the limit, a shard does not grow and goes down to what the others leave.
    const upperBound = own.granted[field] > available[field]
        ? Math.min(ceiling, available[field])
        : available[field];
    // A shard without a grant may hold one task even if that is above its fair share.
    const fairShare = Math.max(ceiling === 0 ? largestWaiting : 0, computeFairShare(teamGrants, others, field));
    const highest = Math.min(upperBound, fairShare);
    if (wanted[field] <= ceiling) {
        const spare = Math.ceil(usage.used[field] * spareFraction);
        return Math.min(ceiling, highest, wanted[field] + spare);
    }
    // If other shards want more too, the shard takes half of what it could get at a time and leaves them the rest.
    const isContended = others.some(grant => grant.wanting.includes(field));
    const step = Math.max(largestWaiting, Math.ceil((highest - ceiling) / 2));
    return Math.min(highest, wanted[field], isContended ? ceiling + step : highest);
}
