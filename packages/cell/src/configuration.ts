/** The operators' configuration as the cell uses it. */
import type { TeamId } from "@waxwingroute/core";
import type { QueueRules, TeamRules } from "@waxwingroute/workflow";

/** A queue and where callers reach it. */
export interface QueueConfiguration {
    readonly rules: QueueRules;
    readonly host: string;
    /** Path prefix that selects the queue; the longest match wins. */
    readonly prefix: string;
    /** Whether callers need no key. */
    readonly isPublic: boolean;
}

export interface TeamConfiguration {
    readonly rules: TeamRules;
    readonly keys: readonly string[];
}

export interface CellConfiguration {
    /** Rises with each change. */
    readonly version: number;
    readonly queues: readonly QueueConfiguration[];
    readonly teams: readonly TeamConfiguration[];
    readonly maxBodyBytes: number;
}

/** Answers questions about one configuration in constant time. */
export class ConfigurationIndex {
    private readonly queuesByHost = new Map<string, QueueConfiguration[]>();
    private readonly teamsByKey = new Map<string, TeamId>();

    constructor(readonly configuration: CellConfiguration) {
        for (const queue of configuration.queues) {
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

    /** Returns the queue with the longest prefix of the path. */
    findQueue(host: string, path: string): QueueConfiguration | undefined {
        return this.queuesByHost.get(host.toLowerCase())?.find(queue => path.startsWith(queue.prefix));
    }

    findTeam(key: string): TeamId | undefined {
        return this.teamsByKey.get(key);
    }
}
