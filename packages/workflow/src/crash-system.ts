/**
 * Contains tasks that crash the executors that start them.
 *
 * A run is proven once its executor has listed it. When an executor crashes, only its unproven runs are suspects. A task
 * under suspicion is started as a probe: its executor gets no other start until the probe is proven, so that a further
 * crash has one cause. Probes may use only a part of the executors, which bounds what crashing tasks take from others.
 * Where many starts of a queue end in a crash, all its starts are probes.
 *
 * An executor can also crash long after it has listed the run that is to blame. Each of its proven runs then has a late
 * loss, until a run of the same step has outlived it. A step with several is isolated: its tasks run as probes on idle
 * executors until they have outlived the losses. Late losses are not stored.
 *
 * A task is given up only after several crashes, most of them without another suspect, since executors also crash for
 * other reasons. Ends by crashes are stored like other ends of runs, so that the count survives the owner.
 */
import type { Candidate } from "./candidates.js";
import type { ExecutorRow, RunRow, StepLoss, StepRow, TaskRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { ProbeInFlight, ProbeSample } from "./types.js";

/** Crashes after which a task is given up, and how many of them must have had no other suspect. */
const maxCrashes = 3;
const minSoleCrashes = 2;
/** Weight of a start in the crash rate of its queue, and of one that is among several suspects of a crash. */
const startWeight = 0.03;
const suspectWeight = 0.02;
/** Crash rate from which all starts of a queue are probes. */
const maxCrashRate = 0.1;
/** Bound of the crash rate, so that a queue is used freely again soon after an outage that looked like crashes. */
const highestCrashRate = 0.3;
/** Late losses after which a step is isolated; two at like ages suffice, or one of a probe that was suspected before. */
const minLossesToIsolate = 3;
/** Difference at which the ages of two late losses are alike, as a share of the larger one and beyond that, ms. */
const ageTolerance = 0.1;
const ageToleranceMs = 50;
/** Bounds of the late losses that are kept of a step, and of their ages, for which a probe holds its executor, ms. */
const maxLateLosses = 4;
const maxLateLossMs = 10_000;
/** Share of the executors of a pool on which probes may be in flight. */
const maxProbeShare = 0.25;
/** Share of the idle executors on which probes may be in flight, also those that were the only suspects of a crash. */
const maxIdleShare = 0.5;

/** Records a crash under a task. Returns whether the task is to be given up. */
export function recordCrash(
    task: TaskRow,
    run: number,
    outcome: "crashed" | "suspected",
    isIsolated = false,
): boolean {
    const { step } = task;
    // The members of a gang start together and share their run numbers.
    const counted = step.spec.isGang ? step.tasks[0]! : task;
    const runs = outcome === "crashed" ? counted.crashedRuns : counted.suspectedRuns;
    if (runs.has(run) || task.state === "done") {
        return false;
    }
    step.crashedCount += outcome === "crashed" && runs.size === 0 ? 1 : 0;
    step.occurrence.job.crashCount += outcome === "crashed" ? 1 : 0;
    step.suspectCount += isSuspect(counted) ? 0 : 1;
    runs.add(run);
    step.blocked = undefined;
    const count = new Set([...counted.crashedRuns, ...counted.suspectedRuns]).size;
    const lateCount = isIsolated && step.lateLosses.length > 0 ? 1 : 0;
    return count + lateCount >= maxCrashes && counted.crashedRuns.size >= minSoleCrashes;
}

/** Counts a run in the crash rate of its queue, once. `row`: the run, if it is still in the tables. */
export function recordCrashRate(
    state: SchedulerState,
    step: StepRow,
    row: RunRow | undefined,
    isSoleSuspect: boolean,
): void {
    const queue = state.queues.get(step.occurrence.job.submission.queue);
    if (queue === undefined || row?.countsAsCrash === true) {
        return;
    }
    if (row !== undefined) {
        row.countsAsCrash = true;
    }
    queue.crashRate = Math.min(highestCrashRate, queue.crashRate + (isSoleSuspect ? startWeight : suspectWeight));
}

/**
 * Counts the unproven runs of an executor that does not answer any more. Whether it crashed is known only seconds later,
 * when its successor answers; by then the other tasks of the queue could have crashed most executors.
 */
export function recordSilence(state: SchedulerState, executor: ExecutorRow): void {
    for (const run of executor.runs.values()) {
        if (!run.isProven) {
            recordCrashRate(state, run.task.step, run, executor.unprovenRuns === 1);
        }
    }
}

/** Records that an executor has survived the start of a run. */
export function recordSurvivedStart(state: SchedulerState, now: number, run: RunRow): void {
    if (run.isProven) {
        return;
    }
    if (run.provenAfterMs > 0) {
        // The rate is that of crashes before the first listing.
        run.countsAsCrash = true;
        if (now - run.startedAt <= run.provenAfterMs) {
            return;
        }
    }
    state.confirmRun(run);
    const queue = state.queues.get(run.task.step.occurrence.job.submission.queue);
    if (queue !== undefined) {
        queue.crashRate -= startWeight * queue.crashRate;
    }
}

/**
 * Returns whether members of the step may be placed on the executor if it is a gang. The members of a suspected gang are
 * all probes, as many as it has, since they have to start together.
 */
export function allowsGang(step: StepRow, executor: ExecutorRow): boolean {
    return !step.spec.isGang || step.suspectCount === 0 || executor.unprovenRuns === 0;
}

/** Returns whether tasks of the step start as probes, alone on their executors, and not as members of a gang. */
export function isProbeStep(state: SchedulerState, step: StepRow): boolean {
    const queue = state.queues.get(step.occurrence.job.submission.queue);
    return !step.spec.isGang && (step.suspectCount > 0 || isIsolated(step) || (queue?.crashRate ?? 0) > maxCrashRate);
}

/** Divides the waiting tasks of a step into those that are started as probes and the others. */
export function splitProbes(
    state: SchedulerState,
    step: StepRow,
    waiting: readonly TaskRow[],
): { readonly probes: readonly TaskRow[]; readonly others: readonly TaskRow[]; } {
    const queue = state.queues.get(step.occurrence.job.submission.queue);
    if (!isProbeStep(state, step)) {
        return { probes: [], others: waiting };
    }
    // The tasks of a step are alike, so the others may crash their executors too.
    const areAll = step.crashedCount > 0 || isIsolated(step) || (queue?.crashRate ?? 0) > maxCrashRate;
    return {
        // The task with the most crashes first, so that its job is given up after as few as possible.
        probes: waiting.filter(task => areAll || isSuspect(task))
            .sort((first, second) => second.crashedRuns.size - first.crashedRuns.size),
        others: areAll ? [] : waiting.filter(task => !isSuspect(task)),
    };
}

/** Returns whether the tasks of the step that wait are expected to crash their executors. */
export function isLikelyToCrash(step: StepRow): boolean {
    return step.occurrence.job.crashCount > 1 || step.crashedCount > 0 && step.crashedCount >= step.waitingCount;
}

/**
 * Returns whether one more probe of the step may be in flight: one at a time of a job that has crashed an executor, and
 * on a part of the executors, a larger one of those that are idle.
 */
export function allowsProbe(state: SchedulerState, step: StepRow): boolean {
    const { probeCount, crashCount } = step.occurrence.job;
    if ((crashCount > 0 || isIsolated(step)) && probeCount > 0) {
        return false;
    }
    const usable = listUsableExecutors(state, step);
    const allowedCount = Math.max(usable.length * maxProbeShare, countIdle(usable) * maxIdleShare);
    return countProbes(state, step) < Math.max(1, Math.floor(allowedCount));
}

/**
 * Returns the executor on which a probe may start now: the one with the fewest runs, which a crash would end too, and an
 * idle one for a task that has crashed an executor, or one that `canShare` allows. `undefined`: there is none.
 */
export function selectProbeExecutor(
    state: SchedulerState,
    task: TaskRow,
    candidates: readonly Candidate[],
    canShare: (executor: ExecutorRow) => boolean,
): ExecutorRow | undefined {
    const needsIdle = needsIdleExecutor(task);
    if (!allowsProbe(state, task.step) || needsIdle && !allowsIdleProbe(state, task.step)) {
        return undefined;
    }
    let selected: ExecutorRow | undefined;
    for (const { executor } of candidates) {
        const isUsable = executor.unprovenRuns === 0
            && (!needsIdle || executor.runs.size === 0 || canShare(executor));
        if (isUsable && executor.runs.size < (selected?.runs.size ?? Infinity)) {
            selected = executor;
        }
    }
    return selected;
}

/** Returns whether a probe of the task starts on an idle executor, as far as there is one in time. */
export function needsIdleExecutor({ crashedRuns, step }: TaskRow): boolean {
    return isIsolated(step) || crashedRuns.size > 0 && !step.spec.isLongRunning;
}

/** Records that an executor crashed under a proven run of the step; the oldest run counts if it had several. */
export function recordLateLoss(step: StepRow, { crash, ageMs, isProbe }: StepLoss): void {
    const earlier = step.lateLosses.find(loss => loss.crash === crash);
    if (step.spec.isGang || step.spec.isLongRunning || ageMs > maxLateLossMs || (earlier?.ageMs ?? -1) >= ageMs) {
        return;
    }
    const others = step.lateLosses.filter(loss => loss !== earlier);
    step.lateLosses = [...others, { crash, ageMs, isProbe }].slice(-maxLateLosses);
    step.blocked = undefined;
}

/** Clears the late losses that a run of the step has outlived. */
export function clearLateLosses(step: StepRow, ageMs: number): void {
    filterLateLosses(step, loss => loss.ageMs >= ageMs);
}

/** Clears the late losses of other steps in crashes that a step explains, since it has crashed an executor alone. */
export function clearExplainedLosses(state: SchedulerState, culprit: StepRow): void {
    const explained = culprit.lateLosses.filter(loss => isAlike(loss.ageMs, getProvenAge(culprit)));
    const crashes = new Set(explained.map(loss => loss.crash));
    for (const step of state.openSteps) {
        if (step !== culprit) {
            filterLateLosses(step, loss => !crashes.has(loss.crash));
        }
    }
}

function filterLateLosses(step: StepRow, isKept: (loss: StepLoss) => boolean): void {
    if (!step.lateLosses.every(isKept)) {
        step.lateLosses = step.lateLosses.filter(isKept);
        step.blocked = undefined;
    }
}

/** Returns the age above which a listing proves a probe of the step, ms; 0: any listing does. */
export function getProvenAge(step: StepRow): number {
    return isIsolated(step) ? Math.max(...step.lateLosses.map(loss => loss.ageMs)) : 0;
}

/** Returns whether tasks of the step run one at a time on idle executors, because several crashes ended its runs. */
function isIsolated(step: StepRow): boolean {
    const { lateLosses, suspectCount } = step;
    const hasEarlySuspicion = suspectCount > 0 && lateLosses.some(loss => loss.isProbe);
    return lateLosses.length >= minLossesToIsolate || hasEarlySuspicion
        || lateLosses.some((loss, index) =>
            lateLosses.slice(index + 1).some(other => isAlike(loss.ageMs, other.ageMs))
        );
}

/** Returns whether two late losses may have had the same cause, which crashes executors at one age of a run. */
function isAlike(firstMs: number, secondMs: number): boolean {
    return Math.abs(firstMs - secondMs) <= ageToleranceMs + ageTolerance * Math.max(firstMs, secondMs);
}

/** Returns which probes are in flight, and which steps wait for one. `ranked`: steps with waiting tasks, in their order. */
export function sampleProbes(state: SchedulerState, now: number, ranked: readonly StepRow[]): ProbeSample {
    const inFlight: ProbeInFlight[] = [];
    for (const executor of state.executors.values()) {
        if (executor.probeRuns > 0) {
            for (const run of executor.runs.values()) {
                if (run.isProbe && !run.isProven) {
                    inFlight.push({ task: run.task.key, executor: executor.id, ageMs: now - run.startedAt });
                }
            }
        }
    }
    const waiting = ranked.filter(step => isProbeStep(state, step));
    return { inFlight, waiting: waiting.length, next: waiting[0]?.key };
}

/** Bounds the probes by the idle executors, so that others find room when the probes crash them. */
export function allowsIdleProbe(state: SchedulerState, step: StepRow): boolean {
    const idleCount = countIdle(listUsableExecutors(state, step));
    return countProbes(state, step) < Math.max(1, Math.floor(idleCount * maxIdleShare));
}

/** Counts the probes in flight of the kind that the step needs; isolated ones take longer and must not delay others. */
function countProbes(state: SchedulerState, step: StepRow): number {
    return isIsolated(step) ? state.isolatedCount : state.probeCount;
}

function countIdle(executors: readonly ExecutorRow[]): number {
    return executors.filter(executor => executor.runs.size === 0).length;
}

function listUsableExecutors(state: SchedulerState, step: StepRow): ExecutorRow[] {
    const pool = state.queues.get(step.occurrence.job.submission.queue)?.rules.pool;
    return [...state.executors.values()].filter(executor =>
        executor.pool === pool && executor.isReady && executor.isReachable
    );
}

function isSuspect(task: TaskRow): boolean {
    return task.crashedRuns.size + task.suspectedRuns.size > 0;
}
