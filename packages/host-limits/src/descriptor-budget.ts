/** Divides the descriptors of a process between those who open them. */

/** Settings of a `DescriptorBudget`. */
export interface DescriptorBudgetOptions {
    /** Maximum number of descriptors that the settings of the host allow. */
    readonly maxDescriptors: number;
    /** Maximum number of descriptors that the operating system allows the process. Default: no limit. */
    readonly processMaxDescriptors?: number;
    /** Descriptors of `maxDescriptors` that sockets must not use. Default 200. */
    readonly reservedForFiles?: number;
}

/** Maximum numbers of descriptors, by use. */
export interface DescriptorShares {
    readonly store: number;
    readonly advisor: number;
    readonly machines: number;
    readonly readiness: number;
    readonly metrics: number;
    /** Connections to and from the other hosts of the cell. */
    readonly peers: number;
    readonly executors: number;
    /** Connections of callers. */
    readonly callers: number;
}

/** Part of the platform's limit that is kept for files. */
const defaultReservedForFiles = 200;
/** Descriptors that Node.js itself holds; 28 were counted in an idle host. */
const runtimeDescriptors = 32;
/** Connections with one partner each, whose clients and servers have these numbers as their bounds. */
const fixedShares = { store: 16, advisor: 8, machines: 4, readiness: 32, metrics: 8 } as const;
/** A host has one connection in each direction with each of up to 96 others, and opens new ones beside silent ones. */
const maxPeers = 256;
const peerFraction = 1 / 8;
/** An owner has 3.2 connections to each executor (docs/CAPACITY.md): 1,210 to the 378 of the largest site. */
const executorFraction = 1 / 2;
const minCallers = 8;
const minConnectionsPerExecutor = 2;

/**
 * The shares of all users of descriptors. The sum of the shares is at most the number of sockets that both limits
 * allow, so that no user can take the descriptors of another. Only where callers would get
 * fewer than 8 do they get 8, since a host without callers serves nobody.
 *
 * @example
 * ```ts
 * const budget = new DescriptorBudget({ maxDescriptors: 4_200 });
 * server.maxConnections = budget.shares.callers;
 * ```
 */
export class DescriptorBudget {
    /** Maximum number of descriptors, files included. */
    readonly maxDescriptors: number;
    readonly maxSockets: number;
    readonly shares: DescriptorShares;

    constructor(options: DescriptorBudgetOptions) {
        const { maxDescriptors, processMaxDescriptors = Infinity } = options;
        this.maxDescriptors = Math.min(maxDescriptors, processMaxDescriptors);
        this.maxSockets = Math.max(
            0,
            Math.min(
                maxDescriptors - (options.reservedForFiles ?? defaultReservedForFiles),
                processMaxDescriptors - runtimeDescriptors,
            ),
        );
        const fixed = Object.values(fixedShares).reduce((sum, share) => sum + share, 0);
        const rest = Math.max(0, this.maxSockets - fixed);
        const peers = Math.min(maxPeers, Math.floor(rest * peerFraction));
        const executors = Math.floor(rest * executorFraction);
        const callers = Math.max(minCallers, rest - peers - executors);
        this.shares = { ...fixedShares, peers, executors, callers };
    }

    /** Returns how many connections to one executor may be open, of at most `wanted`, where there are `executors`. */
    computeConnectionsPerExecutor(executors: number, wanted: number): number {
        const fair = Math.floor(this.shares.executors / Math.max(1, executors));
        return Math.min(wanted, Math.max(minConnectionsPerExecutor, fair));
    }
}
