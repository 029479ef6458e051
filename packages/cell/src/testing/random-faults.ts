/** Runs a simulated cell with random jobs and faults, to search many seeds for violations. */
import type { JobId } from "@waxwingroute/core";
import { SeededRandom, toId } from "@waxwingroute/core";
import { CellSimulation, limitedTeam, tasksPerExecutor, testTeam } from "./cell-simulation.js";

/** What one seed has shown. */
export interface RandomFaultsResult {
    readonly seed: number;
    readonly violations: readonly string[];
    /** Jobs that were accepted and have not succeeded at the end. */
    readonly unfinished: readonly string[];
    readonly starts: number;
    /** Tasks that were started too long after the cancellation of their job was stored. */
    readonly startsOfCancelledJobs: readonly string[];
    /** Tasks of a job that needs all executors, submitted at the end, that did not start in time. */
    readonly standingTasks: number;
    /** Longest time for which runs stayed charged to executors that held them no longer, while the store was up, ms. */
    readonly longestUnreportedLossMs: number;
    /** Tasks that crash their executors with the number of their starts in the phase without faults. */
    readonly crashingStarts: ReadonlyMap<string, number>;
    readonly logLines: readonly string[];
}

/** Duration of the phase with faults, ms. */
const faultPhaseMs = 25_000;
/**
 * Duration of the phase without faults in which all jobs have to finish, ms: covers the expiry of leases, a takeover
 * and the remaining work.
 */
const calmPhaseMs = 45_000;
const executorsWithoutCrashes = 4;
/** A third of the smallest number that the platform plays: each crash takes one away for seconds. */
const executorsWithCrashes = 11;
/** Shortest and longest delay of writes that the store carries out late, ms. */
const minLateMs = 100;
const maxLateMs = 15_000;
/** Interval between steps of the phase with faults, each of which submits a job and applies a fault, ms. */
const actionIntervalMs = 400;

/** What a search plays beside the faults. */
export interface RandomFaultsOptions {
    /** Whether every eighth job has tasks that crash each executor that starts them. Default: no. */
    readonly hasCrashingJobs?: boolean;
    /**
     * Whether every second job is cancelled, executors also lose answers, and a job that needs all executors is submitted
     * at the end. Default: no.
     */
    readonly hasCancellations?: boolean;
    /**
     * Whether the faults are series of planned stops of owners beside writes that are lost or late, executors that crash,
     * run on slow clocks or are out of reach of some hosts, and lists of several pages. Default: no.
     */
    readonly hasPlannedStops?: boolean;
    /**
     * Whether the faults are outages of the store beside executors that are replaced by others at their addresses and come
     * back later. Default: no.
     */
    readonly hasReplacements?: boolean;
    /**
     * Whether the faults are owners that are cut off from the store and the other hosts, together with some executors that
     * nobody else reaches, beside executors that restart, lose answers or delay orders. Default: no.
     */
    readonly hasIsolatedOwners?: boolean;
    /**
     * Whether the faults are outages of the store in which all leases expire, after which answers are late and overtake
     * each other while jobs arrive, beside executors that are out of reach for a moment. Default: no.
     */
    readonly hasLapsingOutages?: boolean;
}

/** Part by which the clocks of executors may be slower, as the platform documents it. */
const maxClockLag = 0.02;
/** Most items in a page of a list with planned stops, so that lists have several pages. */
const smallPageSize = 2;
/** Shortest and longest latency of a call to the store beside planned stops, ms. */
const minLatencyMs = 2;
const maxLatencyMs = 150;
/** Part of the writes with a fault beside planned stops. */
const faultyWrites = 0.25;

/** Time after the end of an outage within which the owner has its lease again, ms. */
const leaseReturnMs = 1_000;
/** Shortest and longest outage beside executors that are replaced, ms; the owner goes on for longer. */
const minOutageMs = 1_500;
const maxOutageMs = 6_000;
/** Longest time from the end of an executor until it is replaced by another one, and longest time until it is back, ms. */
const maxReplacementDelayMs = 2_000;
const maxReplacementMs = 8_000;

/** Time after an outage in which jobs arrive and answers overtake each other, ms, and the longest delay of an answer. */
const returnMs = 300;
const maxAnswerDelayMs = 250;
const jobsAtReturn = 4;
/** Longest time for which an executor is out of reach around the end of an outage, ms. */
const maxUnreachableMs = 1_500;

/** Shortest and longest time for which an owner is cut off, ms; the longest exceeds the bound of its authority. */
const minIsolationMs = 1_500;
const maxIsolationMs = 14_000;

/** Time within which tasks start for which there is room, ms: a rule of the platform. */
const startMs = 3_000;
/** Name of the job that needs all executors. */
const lastJob = "all-executors";
/** Time after the acknowledged cancellation of a job within which its tasks may start, ms: a rule of the platform. */
const cancelMs = 3_000;
/** Longest time from the submission of a job until it is cancelled, ms. */
const maxCancelDelayMs = 800;

/** Time from the start of a crashing task until its executor crashes, ms. */
const crashAfterMs = 10;

/** Runs one seed: a phase with random jobs and faults, then a phase without faults in which all jobs have to finish. */
export async function runRandomFaults(seed: number, options: RandomFaultsOptions = {}): Promise<RandomFaultsResult> {
    const random = new SeededRandom(seed);
    const crashingStarts = new Map<string, number>();
    const cancelled = new Map<string, number>();
    const startsOfCancelledJobs: string[] = [];
    let isCalm = false;
    const cell = new CellSimulation({
        hosts: 3,
        executors: options.hasCrashingJobs === true
            ? executorsWithCrashes
            : options.hasIsolatedOwners === true
            ? 3 + random.getInteger(5)
            : executorsWithoutCrashes,
        seed,
        planRun: (task, run) => ({
            crashAfterMs: recordStart(task),
            workMs: task.startsWith(lastJob) ? 2 * startMs : 100 + (hashText(`${task}#${run}`) % 2_500),
            // Failures are rare, so that no job uses up its attempts.
            outcome: hashText(`${task}!${run}`) % 40 === 0 && run % 10_000 === 1 ? "failed" : "done",
        }),
    });
    function recordStart(task: string): number | undefined {
        const afterMs = cell.clock.getNow() - (cancelled.get(task.split(".")[0]!) ?? Infinity);
        if (afterMs > cancelMs) {
            startsOfCancelledJobs.push(`${task} ${afterMs} ms after the cancellation`);
        }
        if (options.hasCrashingJobs !== true || !isCrashingJob(task.split(".")[0]!)) {
            return undefined;
        }
        crashingStarts.set(task, (crashingStarts.get(task) ?? 0) + (isCalm ? 1 : 0));
        return crashAfterMs;
    }
    const accepted: string[] = [];
    const losses = new LossMonitor(cell);
    cell.hosts.forEach(host => {
        host.store.chooseLateMs = () => minLateMs * (maxLateMs / minLateMs) ** random.getFloat();
    });
    if (options.hasPlannedStops === true) {
        preparePlannedStops(cell, random);
    }
    else if (options.hasIsolatedOwners === true) {
        setClockRates(cell, random);
    }
    await cell.advance(2_000);
    for (let elapsed = 0; elapsed < faultPhaseMs; elapsed += actionIntervalMs) {
        submitRandomJob(cell, random, `j${elapsed}`, accepted);
        if (options.hasCancellations === true) {
            dropAnswers(cell, random);
            if (elapsed / actionIntervalMs % 2 === 0) {
                scheduleCancellation(cell, random, `j${elapsed}`, cancelled);
            }
        }
        // A takeover ends what an owner remembers wrongly, so the second half is played with one owner.
        if (options.hasPlannedStops === true) {
            applyPlannedStops(cell, random);
        }
        else if (options.hasIsolatedOwners === true) {
            applyIsolation(cell, random);
        }
        else if (options.hasLapsingOutages === true) {
            applyLapsingOutage(cell, random, `${elapsed}`, accepted);
        }
        else if (options.hasReplacements === true) {
            applyReplacements(cell, random);
        }
        else if (options.hasCancellations !== true || elapsed < faultPhaseMs / 2) {
            applyRandomFault(cell, random);
        }
        else if (elapsed - actionIntervalMs < faultPhaseMs / 2) {
            endFaults(cell);
        }
        await cell.advance(actionIntervalMs);
        losses.sample();
    }
    endFaults(cell);
    isCalm = true;
    await cell.advance(calmPhaseMs);
    const unfinished = accepted.filter(name =>
        cell.getState(name) !== "succeeded" && !cancelled.has(name)
        && !(options.hasCrashingJobs === true && isCrashingJob(name))
    );
    const standingTasks = options.hasCancellations === true ? await countStandingTasks(cell) : 0;
    cell.close();
    return {
        seed,
        violations: cell.checker.violations,
        unfinished,
        startsOfCancelledJobs,
        standingTasks,
        longestUnreportedLossMs: losses.longestMs,
        starts: cell.checker.startCount,
        crashingStarts,
        logLines: cell.logLines,
    };
}

function setClockRates(cell: CellSimulation, random: SeededRandom): void {
    cell.executors.forEach(executor => {
        executor.clockLag = random.getInteger(2) * maxClockLag;
    });
}

function preparePlannedStops(cell: CellSimulation, random: SeededRandom): void {
    cell.data.pageSize = smallPageSize;
    setClockRates(cell, random);
    cell.hosts.forEach(host => {
        host.store.chooseLatencyMs = () => minLatencyMs * (maxLatencyMs / minLatencyMs) ** random.getFloat();
    });
}

/** Measures for how long the owner leaves runs charged to executors that hold them no longer. */
class LossMonitor {
    longestMs = 0;
    private upSince = 0;

    constructor(private readonly cell: CellSimulation) {}

    sample(): void {
        const now = this.cell.clock.getNow();
        if (this.cell.data.mode !== "up") {
            this.upSince = Infinity;
            return;
        }
        this.upSince = Math.min(this.upSince, now);
        if (now - this.upSince > leaseReturnMs) {
            const { unreportedLossMs = 0 } = this.cell.owner?.owner ?? {};
            this.longestMs = Math.max(this.longestMs, Math.min(unreportedLossMs, now - this.upSince - leaseReturnMs));
        }
    }
}

/** Lets the store be away for a time, during which executors end soon after their starts and are replaced by others. */
function applyReplacements(cell: CellSimulation, random: SeededRandom): void {
    if (cell.data.mode === "up" && random.getInteger(4) === 0) {
        cell.data.mode = random.pickOne(["silent", "refusing"] as const)!;
        cell.clock.schedule(minOutageMs + random.getInteger(maxOutageMs - minOutageMs), () => {
            cell.data.mode = "up";
        });
    }
    const index = random.getInteger(cell.executors.length);
    const executor = cell.executors[index]!;
    if (!executor.isReplaced && random.getInteger(2) === 0) {
        const endsAfterMs = random.getInteger(actionIntervalMs);
        const replacedAfterMs = endsAfterMs + random.getInteger(maxReplacementDelayMs);
        cell.clock.schedule(endsAfterMs, () => executor.kill(true));
        cell.clock.schedule(replacedAfterMs, () => executor.replace());
        // Half of the executors are gone for good.
        if (index % 2 === 0) {
            cell.clock.schedule(replacedAfterMs + random.getInteger(maxReplacementMs), () => executor.start());
        }
    }
    if (random.getInteger(24) === 0) {
        cell.owner?.restart();
    }
}

/** Lets the store be away for a time in which all leases expire; its first answers afterwards overtake each other. */
function applyLapsingOutage(cell: CellSimulation, random: SeededRandom, name: string, accepted: string[]): void {
    if (random.getInteger(24) === 0) {
        cell.owner?.restart();
    }
    if (cell.data.mode !== "up" || random.getInteger(4) !== 0) {
        return;
    }
    const { clock, data } = cell;
    data.mode = random.pickOne(["silent", "refusing"] as const)!;
    clock.schedule(minOutageMs + random.getInteger(maxOutageMs - minOutageMs), () => {
        data.expireAllLeases();
        data.mode = "up";
        cell.hosts.forEach(({ store }) => {
            store.chooseAnswerDelayMs = ({ kind }) =>
                kind !== "watch" && random.getInteger(2) === 0 ? random.getInteger(maxAnswerDelayMs) : 0;
            // Writes of the outage that were given up and sent again find the owner key changed at the same time.
            clock.schedule(random.getInteger(returnMs / 2), () => void cell.owner?.verifyOwnership());
        });
        for (let index = 0; index < jobsAtReturn; index++) {
            clock.schedule(
                random.getInteger(returnMs),
                () => submitRandomJob(cell, random, `r${name}-${index}`, accepted),
            );
        }
        const executor = random.pickOne(cell.executors)!;
        clock.schedule(random.getInteger(returnMs), () => {
            executor.isPartitioned = true;
        });
        clock.schedule(returnMs + random.getInteger(maxUnreachableMs), () => {
            executor.isPartitioned = false;
            cell.hosts.forEach(({ store }) => {
                store.chooseAnswerDelayMs = () => 0;
            });
        });
    });
}

/** Cuts the owner off from the store and the other hosts, with a part of the executors on its side. */
function applyIsolation(cell: CellSimulation, random: SeededRandom): void {
    const { owner } = cell;
    if (owner !== undefined && !cell.arePeersCutOff && random.getInteger(5) === 0) {
        cell.arePeersCutOff = true;
        owner.store.mode = random.pickOne(["silent", "refusing"] as const)!;
        const ownedPart = random.getFloat();
        for (const { options } of cell.executors) {
            const isWithOwner = random.getFloat() < ownedPart;
            // Some executors are reached by both sides.
            if (random.getInteger(6) > 0) {
                cell.hosts.filter(host => (host === owner) !== isWithOwner)
                    .forEach(host => host.connector.unreachable.add(options.address));
            }
        }
        cell.clock.schedule(minIsolationMs + random.getInteger(maxIsolationMs - minIsolationMs), () => endFaults(cell));
    }
    const executor = random.pickOne(cell.executors)!;
    const faults: (() => void)[] = [
        () => executor.kill(),
        () => {
            executor.kill(true);
            cell.clock.schedule(random.getInteger(3_000), () => executor.start());
        },
        () => {
            executor.isDelayingOrders = !executor.isDelayingOrders;
        },
        () => {
            executor.losesAnswers = !executor.losesAnswers;
        },
        () => {
            random.pickOne(cell.hosts)!.store.commitFault = random.pickOne(["answerLost", "late", "none"] as const)!;
        },
        () => {
            if (random.getInteger(3) === 0) {
                cell.owner?.restart();
            }
        },
    ];
    random.pickOne([...faults, ...faults.map(() => () => undefined)])!();
}

/** Stops the owner up to three times within an interval and lets each part of the cell fail in its own way. */
function applyPlannedStops(cell: CellSimulation, random: SeededRandom): void {
    const stops = random.getInteger(8) < 3 ? 1 + random.getInteger(3) : 0;
    for (let index = 0; index < stops; index++) {
        cell.clock.schedule(random.getInteger(actionIntervalMs), () => void cell.owner?.resign());
    }
    const areWritesFaulty = random.getInteger(2) === 0;
    for (const { store } of cell.hosts) {
        store.chooseFault = () =>
            areWritesFaulty && random.getFloat() < faultyWrites
                ? random.pickOne(["answerLost", "late"] as const)!
                : "none";
    }
    const executor = random.pickOne(cell.executors)!;
    const { unreachable } = random.pickOne(cell.hosts)!.connector;
    const faults: (() => void)[] = [
        () => executor.kill(),
        () => {
            executor.kill(true);
            cell.clock.schedule(random.getInteger(3_000), () => executor.start());
        },
        () => unreachable.add(executor.options.address),
        () => unreachable.add(executor.options.address),
        () => unreachable.delete(executor.options.address),
        () => {
            executor.isDelayingOrders = !executor.isDelayingOrders;
        },
        () => {
            executor.losesAnswers = !executor.losesAnswers;
        },
        () => cell.data.compact(),
        () => cell.owner?.restart(),
        () => endFaults(cell),
    ];
    random.pickOne(faults)!();
}

/** Lets some executors carry out orders for a moment, at once or late, whose answers are lost. */
function dropAnswers(cell: CellSimulation, random: SeededRandom): void {
    for (const executor of cell.executors) {
        const kind = random.getInteger(4);
        executor.losesAnswers = kind === 0;
        executor.isDelayingOrders = kind === 1;
        cell.clock.schedule(random.getInteger(actionIntervalMs), () => {
            executor.losesAnswers = false;
            executor.isDelayingOrders = false;
        });
    }
}

function scheduleCancellation(
    cell: CellSimulation,
    random: SeededRandom,
    name: string,
    cancelled: Map<string, number>,
): void {
    const host = random.pickOne(cell.hosts)!;
    cell.clock.schedule(random.getInteger(maxCancelDelayMs), () => {
        cancelled.set(name, Infinity);
        void host.intake.cancel(toId<JobId>(name)).then(result => {
            cancelled.set(name, result.ok ? cell.clock.getNow() : Infinity);
        });
    });
}

/** Submits a job that needs all executors and returns how many of its tasks do not start in time. */
async function countStandingTasks(cell: CellSimulation): Promise<number> {
    const taskCount = cell.executors.length * tasksPerExecutor;
    const before = cell.checker.startCount;
    void cell.submit(cell.owner!, lastJob, [{ taskCount, estimateMs: 1_000 }]);
    await cell.advance(startMs);
    return taskCount - (cell.checker.startCount - before);
}

function isCrashingJob(name: string): boolean {
    return hashText(name) % 8 === 0;
}

function submitRandomJob(cell: CellSimulation, random: SeededRandom, name: string, accepted: string[]): void {
    const host = random.pickOne(cell.hosts)!;
    const isGang = random.getInteger(4) === 0;
    const team = random.getInteger(2) === 0 ? limitedTeam : testTeam;
    const steps = [
        { taskCount: 1 + random.getInteger(4), isGang, estimateMs: 1_000 },
        ...random.getInteger(2) === 0 ? [{ taskCount: 2, after: [0], estimateMs: 1_000 }] : [],
    ];
    void cell.submit(host, name, steps, team).then(result => {
        if (result.ok) {
            accepted.push(name);
        }
    });
}

function applyRandomFault(cell: CellSimulation, random: SeededRandom): void {
    const host = random.pickOne(cell.hosts)!;
    const executor = random.pickOne(cell.executors)!;
    const faults: (() => void)[] = [
        () => host.restart(),
        () => cell.owner?.restart(),
        () => void cell.owner?.resign(),
        () => {
            host.store.mode = random.pickOne(["silent", "refusing", "up"] as const)!;
        },
        () => {
            host.store.commitFault = random.pickOne(["answerLost", "late", "none"] as const)!;
        },
        () => {
            cell.data.mode = random.pickOne(["silent", "refusing", "up", "up"] as const)!;
        },
        () => cell.data.compact(),
        () => {
            cell.arePeersCutOff = !cell.arePeersCutOff;
        },
        () => {
            host.connector.isConnected = !host.connector.isConnected;
        },
        () => {
            executor.isPartitioned = !executor.isPartitioned;
        },
        () => {
            executor.isDelayingOrders = !executor.isDelayingOrders;
        },
        () => executor.kill(),
        () => endFaults(cell),
        () => endFaults(cell),
    ];
    random.pickOne(faults)!();
}

function endFaults(cell: CellSimulation): void {
    cell.data.mode = "up";
    cell.arePeersCutOff = false;
    cell.hosts.forEach(host => {
        host.store.mode = "up";
        host.store.commitFault = "none";
        host.store.chooseFault = () => "none";
        host.connector.isConnected = true;
        host.connector.unreachable.clear();
    });
    cell.executors.forEach(executor => {
        executor.isPartitioned = false;
        executor.isDelayingOrders = false;
        executor.losesAnswers = false;
    });
}

/** Computes an FNV-1a hash, so that the plan of a run depends only on its task and number. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}
