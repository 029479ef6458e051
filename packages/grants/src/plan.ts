/**
 * Pure division of a team's limit among shards.
 */
import type { ShardId } from "@waxwingroute/core";
import type { ShardGrant, TeamGrants } from "./bucket.js";
import { buildGrantVector, fitsGrant, grantFields, intersectGrants, sumGrants, zeroGrant } from "./grant-vector.js";
import type { GrantField, GrantVector } from "./grant-vector.js";

/** A team's limit as a shard's configuration replica has it. */
export interface TeamLimit {
    readonly limit: GrantVector;
    /** Store revision of the configuration that set it. A lower revision never replaces a higher one. */
    readonly revision: number;
}

/** What a shard runs and would run of a team. */
export interface TeamUsage {
    /** Everything running or being started. */
    readonly used: GrantVector;
    /** Waiting work. */
    readonly demand: GrantVector;
    /** The largest waiting task or request; a grant that does not fit it is of no use. */
    readonly largestWaiting: GrantVector;
}

/** Part of the use that a shard keeps when it returns grants, so that short tasks do not cause a write each. */
const spareFraction = 0.1;

const noGrant: ShardGrant = { granted: zeroGrant, ceiling: zeroGrant, wanting: [], reducedFor: 0 };

export function createTeamGrants(limit: TeamLimit): TeamGrants {
    return { limit: limit.limit, limitRevision: limit.revision, lowered: undefined, shards: {} };
}

/**
 * Plans what a shard's next write makes of a team's grants: it asks for more when work waits and returns what it does not
 * use. The sum of the grants after the write is at most the limit, or not above the sum before it.
 */
export function planGrants(
    row: TeamGrants,
    shard: ShardId,
    limit: TeamLimit | undefined,
    teamUse: TeamUsage,
): TeamGrants {
    const current = updateLimit(row, limit);
    const own = applyLoweredLimit(current, current.shards[shard] ?? noGrant);
    const others = Object.entries(current.shards).flatMap(([other, grant]) => other === shard ? [] : [grant]);
    const room = computeAvailable(current.limit, others);
    const wanted = sumGrants([teamUse.used, teamUse.demand]);
    const plan: TargetInputs = { own, room, wanted, teamUse, others, row: current };
    const target = buildGrantVector(field => computeTarget(field, plan));
    // A shard that cannot start even one task with its grant returns the idle part, so that another shard can.
    const isUseful = fitsGrant(sumGrants([teamUse.used, teamUse.largestWaiting]), target);
    const hasDemand = !fitsGrant(teamUse.demand, zeroGrant);
    const kept = hasDemand && !isUseful ? intersectGrants(target, teamUse.used) : target;
    const granted = buildGrantVector(field => Math.max(kept[field], Math.min(teamUse.used[field], own.granted[field])));
    const next: ShardGrant = {
        granted,
        ceiling: kept,
        wanting: grantFields.filter(field => wanted[field] > kept[field]),
        reducedFor: own.reducedFor,
    };
    const rest = Object.fromEntries(Object.entries(current.shards).filter(([other]) => other !== shard));
    const isEmpty = next.wanting.length === 0 && fitsGrant(granted, zeroGrant);
    return { ...current, shards: isEmpty ? rest : { ...rest, [shard]: next } };
}

/**
 * Returns up to what a shard may start, given the row that it last read. `isCautious` is for the time in which a write under
 * a newer, lower limit is due: nothing starts until the row shows what the other shards still hold. Without caution the
 * shard uses its part of the lowered limit. The others can hold all of the limit in the row, so that the part is measured
 * against that.
 */
export function computeAllowance(
    row: TeamGrants | undefined,
    shard: ShardId,
    limit: TeamLimit | undefined,
    isCautious = false,
): GrantVector {
    const own = row?.shards[shard];
    if (row === undefined || own === undefined) {
        return zeroGrant;
    }
    const sum = sumGrants(Object.values(row.shards).map(grant => grant.granted));
    const adapted = applyLoweredLimit(row, own).ceiling;
    const allowed = buildGrantVector(field => {
        const room = Math.max(0, row.limit[field] - (sum[field] - own.granted[field]));
        return sum[field] > row.limit[field] ? Math.min(adapted[field], room) : adapted[field];
    });
    if (limit === undefined || limit.revision <= row.limitRevision) {
        return allowed;
    }
    return buildGrantVector(field => {
        const base = Math.max(row.limit[field], sum[field]);
        const part = isCautious ? 0 : Math.floor(allowed[field] * limit.limit[field] / base);
        return limit.limit[field] >= base ? allowed[field] : part;
    });
}

/** Takes over a newer limit and notes the sum of the grants if the limit is below it. */
function updateLimit(row: TeamGrants, limit: TeamLimit | undefined): TeamGrants {
    if (limit === undefined || limit.revision <= row.limitRevision) {
        return row;
    }
    const sum = sumGrants(Object.values(row.shards).map(grant => grant.granted));
    const isLowered = !fitsGrant(sum, limit.limit);
    return {
        ...row,
        limit: limit.limit,
        limitRevision: limit.revision,
        lowered: isLowered ? { revision: limit.revision, sum } : undefined,
    };
}

/** Reduces the ceiling once for each lowering: `floor(grant × new limit / sum of the grants at the lowering)`. */
function applyLoweredLimit(row: TeamGrants, own: ShardGrant): ShardGrant {
    const { lowered, limit } = row;
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
    const taken = sumGrants(others.map(grant => grant.granted));
    return buildGrantVector(field => Math.max(0, limit[field] - taken[field]));
}

/**
 * Returns up to what a shard may hold of a field while others want more of it: an equal part of what the shards hold that
 * want it or, if no such shard has less than that part, the limit.
 */
function computeFairShare(row: TeamGrants, others: readonly ShardGrant[], field: GrantField): number {
    const claimants = others.filter(grant => grant.wanting.includes(field));
    const settled = others.filter(grant => !grant.wanting.includes(field));
    const rest = row.limit[field] - settled.reduce((sum, { granted }) => sum + granted[field], 0);
    const part = Math.max(0, Math.floor(rest / (claimants.length + 1)));
    return claimants.some(grant => grant.granted[field] <= part) ? part : row.limit[field];
}

interface TargetInputs {
    readonly own: ShardGrant;
    readonly room: GrantVector;
    readonly wanted: GrantVector;
    readonly teamUse: TeamUsage;
    readonly others: readonly ShardGrant[];
    readonly row: TeamGrants;
}

function computeTarget(field: GrantField, { own, room, wanted, teamUse, others, row }: TargetInputs): number {
    const base = own.ceiling[field];
    const unit = teamUse.largestWaiting[field];
    // Above a lowered limit every shard gives way to what the others still hold.
    const most = own.granted[field] > room[field] ? Math.min(base, room[field]) : room[field];
    // A shard without a grant gets one task's worth even if that is more than its part.
    const fair = Math.max(base === 0 ? unit : 0, computeFairShare(row, others, field));
    const capped = Math.min(most, fair);
    if (wanted[field] <= base) {
        const spare = Math.ceil(teamUse.used[field] * spareFraction);
        return Math.min(base, capped, wanted[field] + spare);
    }
    // Half of what is free at a time leaves a part to the other shards that want more.
    const isContended = others.some(grant => grant.wanting.includes(field));
    const step = Math.max(unit, Math.ceil((capped - base) / 2));
    return Math.min(capped, wanted[field], isContended ? base + step : capped);
}
