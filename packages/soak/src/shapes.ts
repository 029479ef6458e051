/** Kinds of runs: which troubles they draw, and which jobs. */
import { AdviceAnswersLost, AdviceRefusing, AdviceSilent, AdviceSlow } from "./advice-troubles.js";
import { FaultyExecutor, ReplacedInOutage, RestartedExecutor, RestartedSilentExecutor } from "./executor-troubles.js";
import {
    HungUpHost,
    KilledHost,
    KilledHosts,
    OwnerLostWithWrites,
    PausedHosts,
    PausedOwners,
    TerminatedHost,
} from "./host-troubles.js";
import { PausedAtLeaseEnd, SilentConnections, StopsInTurn } from "./owner-troubles.js";
import { LateStartsBesideRestart, PartlyCutExecutors, SlowClocks } from "./partial-executor-troubles.js";
import { StoppedHosts } from "./planned-stops.js";
import { RestartsBetweenListings } from "./restart-troubles.js";
import { StoreAnswersLost, StoreAway, StoreLapse, StoreWritesLate } from "./store-troubles.js";
import { RecordWritesLost } from "./store-write-troubles.js";
import type { Trouble } from "./trouble.js";
import type { WorkloadOptions } from "./workload.js";
import { CutZone } from "./zone-troubles.js";

/** Troubles, each as often as its weight says, and jobs. */
export interface Shape {
    readonly troubles: readonly (readonly [Trouble, number])[];
    readonly workload: WorkloadOptions;
    readonly executors: number;
    /** Troubles at the same time. */
    readonly lanes: number;
    /** Troubles of which one begins beside the last of the others and lasts until the end of the run. Default: none. */
    readonly lasting?: readonly (readonly [Trouble, number])[];
}

const cutZone = new CutZone();
const pausedOwners = new PausedOwners();
const pausedHosts = new PausedHosts();
const killedHost = new KilledHost();
const killedHosts = new KilledHosts();
const terminatedHost = new TerminatedHost();
const hungUpHost = new HungUpHost();
const ownerLostWithWrites = new OwnerLostWithWrites();
const storeAway = new StoreAway();
const storeAnswersLost = new StoreAnswersLost();
const storeWritesLate = new StoreWritesLate();
const faultyExecutor = new FaultyExecutor();
const restartedExecutor = new RestartedExecutor();
const replacedInOutage = new ReplacedInOutage();
const restartedSilentExecutor = new RestartedSilentExecutor();
const slowClocks = new SlowClocks();
const partlyCutExecutors = new PartlyCutExecutors();
const lateStartsBesideRestart = new LateStartsBesideRestart();
const restartsBetweenListings = new RestartsBetweenListings();
const stopsInTurn = new StopsInTurn();
const pausedAtLeaseEnd = new PausedAtLeaseEnd();
const silentConnections = new SilentConnections();
const recordWritesLost = new RecordWritesLost();
const adviceSilent = new AdviceSilent();
const adviceAnswersLost = new AdviceAnswersLost();
const adviceRefusing = new AdviceRefusing();
const adviceSlow = new AdviceSlow();

/** Troubles of runs with advice: owners that change, beside a service that fails for a host, a zone or all. */
const adviceTroubles: Shape["troubles"] = [
    [adviceSilent, 2],
    [adviceAnswersLost, 2],
    [adviceRefusing, 2],
    [adviceSlow, 2],
    [pausedOwners, 3],
    [pausedHosts, 2],
    [killedHost, 2],
    [killedHosts, 1],
    [terminatedHost, 1],
    [cutZone, 1],
    [storeAnswersLost, 1],
    [restartedExecutor, 2],
];

/** The shapes by name. */
export const shapes = {
    /** All troubles. */
    mixed: {
        troubles: [
            [cutZone, 2],
            [pausedHosts, 2],
            [killedHost, 2],
            [terminatedHost, 1],
            [hungUpHost, 1],
            [ownerLostWithWrites, 2],
            [storeAway, 2],
            [storeAnswersLost, 2],
            [storeWritesLate, 2],
            [faultyExecutor, 4],
            [restartedExecutor, 2],
            [slowClocks, 1],
            [partlyCutExecutors, 1],
            [lateStartsBesideRestart, 1],
            [adviceSilent, 1],
            [adviceSlow, 1],
        ],
        workload: { advisedShare: 0.3 },
        executors: 8,
        lanes: 4,
    },
    /** Zones that are cut off, with owners that pause: two owners at once, with tasks that wait for room. */
    cuts: {
        troubles: [[cutZone, 4], [pausedHosts, 1], [killedHost, 1], [restartedExecutor, 1]],
        workload: { cancelShare: 0.3 },
        executors: 4,
        lanes: 2,
    },
    /** More ends than a listing holds while the store is away. */
    listings: {
        troubles: [[storeAway, 4], [storeWritesLate, 2], [cutZone, 1], [killedHost, 1], [pausedHosts, 1]],
        workload: { jobsPerSecond: 3, burstShare: 0.5 },
        executors: 3,
        lanes: 2,
    },
    /** Writes and calls that are carried out late, and answers that are lost. */
    late: {
        troubles: [
            [storeWritesLate, 4],
            [storeAnswersLost, 2],
            [faultyExecutor, 3],
            [ownerLostWithWrites, 3],
            [restartedExecutor, 1],
            [pausedHosts, 1],
        ],
        workload: { jobsPerSecond: 4 },
        executors: 8,
        lanes: 4,
    },
    /** Owners that end or pause while ends are being stored. */
    owners: {
        troubles: [
            [ownerLostWithWrites, 4],
            [killedHost, 2],
            [terminatedHost, 2],
            [pausedHosts, 2],
            [storeAnswersLost, 1],
        ],
        workload: { jobsPerSecond: 4, burstShare: 0.1 },
        executors: 6,
        lanes: 3,
    },
    /** Executors that restart before their owner notices, and then are silent. */
    restarts: {
        troubles: [[restartedSilentExecutor, 4], [restartedExecutor, 1], [killedHost, 1]],
        // Tasks that take longer than the lease of a silent executor.
        workload: { jobsPerSecond: 2, cancelShare: 0.1, taskMs: [1_000, 8_000] },
        executors: 8,
        lanes: 3,
    },
    /**
     * Executors that are replaced while the store is away, and hosts that pause, with callers that leave early and cancel
     * their jobs at other hosts.
     */
    replacements: {
        troubles: [[replacedInOutage, 4], [pausedHosts, 4], [storeAnswersLost, 1], [storeWritesLate, 1], [
            killedHost,
            1,
        ]],
        workload: { jobsPerSecond: 6, cancelShare: 0.1, leaveShare: 0.3 },
        executors: 8,
        lanes: 2,
    },
    /** Executors that some hosts do not reach, whose clocks are slow or that start late, beside owners that change. */
    "partly-cut": {
        troubles: [
            [partlyCutExecutors, 4],
            [slowClocks, 2],
            [lateStartsBesideRestart, 3],
            [pausedAtLeaseEnd, 3],
            [silentConnections, 2],
            [recordWritesLost, 3],
            [stopsInTurn, 1],
        ],
        workload: { jobsPerSecond: 4, cancelShare: 0.1 },
        executors: 8,
        lanes: 3,
    },
    /** Executors that restart while their owner waits for the store, with tasks that end before it looks again. */
    "restarts-unseen": {
        troubles: [[restartsBetweenListings, 5], [stopsInTurn, 1]],
        workload: { jobsPerSecond: 5, burstShare: 0.3, cancelShare: 0.05, taskMs: [30, 60, 150, 400] },
        executors: 6,
        lanes: 2,
    },
    /** Outages in which leases expire and after which answers overtake each other, beside executors out of reach. */
    lapses: {
        troubles: [[new StoreLapse(), 5], [partlyCutExecutors, 3], [slowClocks, 1], [killedHost, 1]],
        workload: { jobsPerSecond: 12, cancelShare: 0.05 },
        executors: 8,
        lanes: 2,
    },
    /** Planned stops that overlap, beside gangs with advice, bursts and lost answers of the store. */
    "stops-in-turn": {
        troubles: [
            [stopsInTurn, 5],
            [storeAnswersLost, 2],
            [recordWritesLost, 1],
            [pausedAtLeaseEnd, 1],
            [restartedExecutor, 1],
        ],
        workload: { jobsPerSecond: 10, peakJobsPerSecond: 20, advisedShare: 0.7, burstShare: 0.1, cancelShare: 0.05 },
        executors: 24,
        lanes: 3,
    },
    /** Jobs with advice and gangs under changing owners. */
    advice: {
        troubles: adviceTroubles,
        workload: { jobsPerSecond: 14, advisedShare: 1, cancelShare: 0.05 },
        executors: 24,
        lanes: 4,
    },
    /** The same with as many jobs as the executors and the advice service bear, and bursts. */
    hot: {
        troubles: adviceTroubles,
        workload: { jobsPerSecond: 24, peakJobsPerSecond: 36, advisedShare: 1, cancelShare: 0.05 },
        executors: 30,
        lanes: 3,
    },
    /** Planned stops that overlap, with callers that use open connections until each process is gone. */
    stops: {
        troubles: [[new StoppedHosts(), 3], [hungUpHost, 1]],
        workload: { jobsPerSecond: 8, cancelShare: 0.1, taskMs: [400, 1_000, 2_500, 6_000] },
        executors: 8,
        lanes: 2,
    },
    /** Owners that change, while the advice service fails for one zone also after the last job. */
    partial: {
        troubles: adviceTroubles,
        workload: { jobsPerSecond: 20, advisedShare: 1, cancelShare: 0.05 },
        executors: 30,
        lanes: 3,
        lasting: [
            [new AdviceSilent({ isLasting: true }), 1],
            [new AdviceAnswersLost({ isLasting: true }), 1],
            [new AdviceRefusing({ isLasting: true }), 1],
            [new AdviceSlow({ isLasting: true }), 1],
        ],
    },
} satisfies Record<string, Shape>;

/** Name of a shape. */
export type ShapeName = keyof typeof shapes;

/** Returns whether a text is the name of a shape. */
export function isShapeName(name: string): name is ShapeName {
    return Object.hasOwn(shapes, name);
}
