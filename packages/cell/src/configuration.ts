/** The operators' configuration in the form that the cell uses. */
import type { QueueId, TeamId } from "@waxwingroute/core";
import type { PoolId, QueueRules, TeamRules } from "@waxwingroute/workflow";

/** A queue and the address at which callers reach it. */
export interface QueueConfiguration {
    readonly rules: QueueRules;
    /** DNS name that callers use, not a host of the cell; case does not matter. */
    readonly host: string;
    /** Path prefix that selects the queue; the longest match wins. */
    readonly prefix: string;
    /** Whether callers need no key. */
    readonly isPublic: boolean;
}

/** A team and the keys of its callers. */
export interface TeamConfiguration {
    readonly rules: TeamRules;
    readonly keys: readonly string[];
}

/** One version of the configuration. */
export interface CellConfiguration {
    /** Rises with each change. */
    readonly version: number;
    readonly queues: readonly QueueConfiguration[];
    readonly teams: readonly TeamConfiguration[];
    /** Pools whose executors belong to the cell; a pool may be without a queue. */
    readonly pools: ReadonlySet<PoolId>;
    /** Largest request body, bytes. */
    readonly maxBodyBytes: number;
}

/** Finds the queues and teams of one configuration without a search through all of them. */
export class ConfigurationIndex {
    private readonly queuesByHost = new Map<string, QueueConfiguration[]>();
    private readonly rulesByQueue = new Map<QueueId, QueueRules>();
    private readonly teamsByKey = new Map<string, TeamId>();

    constructor(readonly configuration: CellConfiguration) {
        for (const queue of configuration.queues) {
            this.rulesByQueue.set(queue.rules.queue, queue.rules);
            const host = queue.host.toLowerCase();
            const queues = this.queuesByHost.get(host) ?? [];
            queues.push(queue);
            this.queuesByHost.set(host, queues);
        }
        for (const queues of this.queuesByHost.values()) {
            queues.sort((first, second) => second.prefix.length - first.prefix.length);
        }
        for (const team of configuration.teams) {
            team.keys.forEach(key => this.teamsByKey.set(key, team.rules.team));
        }
    }

    /** Returns the queue of the host whose prefix is the longest match of the path. */
    findQueue(host: string, path: string): QueueConfiguration | undefined {
        return this.queuesByHost.get(host.toLowerCase())?.find(queue => path.startsWith(queue.prefix));
    }

    /** Returns the rules of a queue. */
    findRules(queue: QueueId): QueueRules | undefined {
        return this.rulesByQueue.get(queue);
    }

    /** Returns the team that the key belongs to. */
    findTeam(key: string): TeamId | undefined {
        return this.teamsByKey.get(key);
    }
}
