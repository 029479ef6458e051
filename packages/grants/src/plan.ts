/**
 * Pure division of a team's limit among shards.
 */
import type { ShardId } from "@waxwingroute/core";
import type { ShardGrant, TeamGrants } from "./bucket.js";
import { fitsGrant, intersectGrants, mapGrant, sumGrants, zeroGrant } from "./grant-vector.js";
import type { GrantField, GrantVector } from "./grant-vector.js";

/** A team's limit as a shard's configuration replica has it. */
export interface TeamLimit {
    readonly limit: GrantVector;
    /** Store revision of the configuration that set it. A lower revision never replaces a higher one. */
    readonly revision: number;
}

/** What a shard runs and would run of a team. */
export interface TeamUse {
    /** Everything running or being started. */
    readonly use: GrantVector;
    /** Waiting work. */
    readonly demand: GrantVector;
    /** The largest waiting task or request; a grant that does not fit it is of no use. */
    readonly unit: GrantVector;
}

/** Part of the use that a shard keeps when it returns grants, so that short tasks do not cause a write each. */
const spareFraction = 0.1;

const noGrant: ShardGrant = { granted: zeroGrant, ceiling: zeroGrant, isWanting: false, reducedFor: 0 };

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
    teamUse: TeamUse,
): TeamGrants {
    const current = updateLimit(row, limit);
    const own = applyLoweredLimit(current, current.shards[shard] ?? noGrant);
    const others = Object.entries(current.shards).flatMap(([other, grant]) => other === shard ? [] : [grant]);
    const room = computeRoom(current.limit, others);
    const fair = computeFairPart(current, others, own);
    const wanted = sumGrants([teamUse.use, teamUse.demand]);
    const target = mapGrant(field => computeTarget(field, own, room, wanted, teamUse, fair));
    // A shard that cannot start even one task with its grant returns the idle part, so that another shard can.
    const isUseful = fitsGrant(sumGrants([teamUse.use, teamUse.unit]), target);
    const hasDemand = !fitsGrant(teamUse.demand, zeroGrant);
    const kept = hasDemand && !isUseful ? intersectGrants(target, teamUse.use) : target;
    const granted = mapGrant(field => Math.max(kept[field], Math.min(teamUse.use[field], own.granted[field])));
    const next: ShardGrant = {
        granted,
        ceiling: kept,
        isWanting: !fitsGrant(wanted, kept),
        reducedFor: own.reducedFor,
    };
    const rest = Object.fromEntries(Object.entries(current.shards).filter(([other]) => other !== shard));
    const isEmpty = !next.isWanting && fitsGrant(granted, zeroGrant);
    return { ...current, shards: isEmpty ? rest : { ...rest, [shard]: next } };
}

/**
 * Returns up to what a shard may start, given the row that it last read. Under a lowered limit that the row does not
 * contain yet, the other shards can hold all of the limit in the row, so that the part is measured against that.
 */
export function computeAllowance(
    row: TeamGrants | undefined,
    shard: ShardId,
    limit: TeamLimit | undefined,
): GrantVector {
    const own = row?.shards[shard];
    if (row === undefined || own === undefined) {
        return zeroGrant;
    }
    const adapted = applyLoweredLimit(row, own).ceiling;
    if (limit === undefined || limit.revision <= row.limitRevision) {
        return adapted;
    }
    const sum = sumGrants(Object.values(row.shards).map(grant => grant.granted));
    return mapGrant(field => {
        const base = Math.max(row.limit[field], sum[field]);
        return limit.limit[field] >= base ? adapted[field] : Math.floor(adapted[field] * limit.limit[field] / base);
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
    const ceiling = mapGrant(field =>
        lowered.sum[field] <= limit[field]
            ? own.ceiling[field]
            : Math.min(own.ceiling[field], Math.floor(own.granted[field] * limit[field] / lowered.sum[field]))
    );
    return { ...own, ceiling, reducedFor: lowered.revision };
}

/** Returns what the other shards leave of the limit. */
function computeRoom(limit: GrantVector, others: readonly ShardGrant[]): GrantVector {
    const taken = sumGrants(others.map(grant => grant.granted));
    return mapGrant(field => Math.max(0, limit[field] - taken[field]));
}

/** Returns an equal part of the limit if another shard wants more than it has and has less than that; else `undefined`. */
function computeFairPart(row: TeamGrants, others: readonly ShardGrant[], own: ShardGrant): GrantVector | undefined {
    const claimants = others.filter(grant => grant.isWanting || !fitsGrant(grant.granted, zeroGrant)).length + 1;
    const fair = mapGrant(field => Math.floor(row.limit[field] / claimants));
    const isShort = others.some(grant => grant.isWanting && fitsGrant(grant.granted, fair));
    return isShort && !fitsGrant(own.granted, fair) ? fair : undefined;
}

function computeTarget(
    field: GrantField,
    own: ShardGrant,
    room: GrantVector,
    wanted: GrantVector,
    { use, unit }: TeamUse,
    fair: GrantVector | undefined,
): number {
    const base = own.ceiling[field];
    // While running work ends, the shard gets nothing new.
    const most = own.granted[field] > base ? base : Math.max(base, room[field]);
    const capped = fair === undefined ? most : Math.min(most, Math.max(base === 0 ? unit[field] : 0, fair[field]));
    if (wanted[field] <= base) {
        const spare = Math.ceil(use[field] * spareFraction);
        return Math.min(base, capped, wanted[field] + spare);
    }
    // Half of what is free at a time leaves a part to shards that ask at the same moment.
    const step = Math.max(unit[field], Math.ceil((capped - base) / 2));
    return Math.min(capped, wanted[field], base + step);
}
