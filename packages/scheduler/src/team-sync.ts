/**
 * Brings teams, weights and grants from the configuration and the grants into the placement engine and the router.
 *
 * A queue that is open to all counts as a team of its own, `open:<queue>`, whose limit is the queue's.
 */
import { toId } from "@waxwingroute/core";
import type { TeamId } from "@waxwingroute/core";
import type { PlacementEngine } from "@waxwingroute/placement";
import type { RequestRouter } from "@waxwingroute/routing";
import type { ShardContext } from "./shard-context.js";
import type { ShardGrants } from "./shard-grants.js";

/** Period of the exchange of demands and grants, in milliseconds. */
const refreshIntervalMs = 100;

/** Returns the team that requests to an open queue count against. */
export function toOpenQueueTeam(queue: string): TeamId {
    return toId<TeamId>(`open:${queue}`);
}

export class TeamSync {
    private revision = -1;
    private lastRefreshAt = -Infinity;
    private teams = new Set<TeamId>();

    constructor(
        private readonly context: ShardContext,
        private readonly engine: PlacementEngine,
        private readonly router: RequestRouter,
        private readonly grants: ShardGrants,
    ) {}

    /** Applies a changed configuration, reports demands and applies the grants in force. */
    refresh(): void {
        const now = this.context.clock.getNow();
        if (now - this.lastRefreshAt < refreshIntervalMs) {
            return;
        }
        this.lastRefreshAt = now;
        if (this.revision !== this.context.configuration.revision) {
            this.revision = this.context.configuration.revision;
            this.applyTeams();
        }
        this.applyGrants();
    }

    private applyTeams(): void {
        const { configuration } = this.context;
        const teams = new Set<TeamId>();
        for (const { name, spec } of configuration.list("Team")) {
            const team = toId<TeamId>(name);
            teams.add(team);
            const { cpuMillis, memoryMb, accelerators } = spec.limit;
            this.engine.setTeam({
                team,
                weight: spec.weight,
                limit: { cpuMillis, memoryMb, accelerators },
                overLimit: spec.overLimit === "preempt" ? "preempt" : "finish",
            });
            this.grants.setLimit(team, spec.limit);
        }
        for (const { name, spec } of configuration.list("Queue")) {
            if (spec.access === "open") {
                const team = toOpenQueueTeam(name);
                teams.add(team);
                this.grants.setLimit(team, { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: spec.slotLimit });
            }
        }
        for (const team of this.teams) {
            if (!teams.has(team)) {
                this.router.removeTeam(team);
                this.engine.setGrant(team, { cpuMillis: 0, memoryMb: 0, accelerators: 0 });
                this.grants.removeLimit(team);
            }
        }
        this.teams = teams;
    }

    private applyGrants(): void {
        const demands = new Map(this.engine.collectTeamDemands().map(demand => [demand.team, demand]));
        for (const team of this.teams) {
            this.grants.reportDemand(team, demands.get(team), this.router.getTeamUsage(team));
            const grant = this.grants.getGrant(team);
            this.engine.setGrant(team, grant);
            const weight = this.context.configuration.findTeam(team)?.spec.weight ?? 1;
            this.router.updateTeam({ team, weight, slots: grant.slots });
        }
    }
}
