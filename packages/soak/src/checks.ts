/** Checks of the rules against the record of the stand-ins. Each returns one text for each break. */
import { FleetRoom, hasRoomTwice } from "./fleet-room.js";
import type { FleetExecutor, GrantPolicy } from "./fleet-room.js";
import { findLostCalls } from "./lost-calls.js";
import type { PlannedWorkBounds } from "./lost-calls.js";
import type { RecordedJob, RecordedRun, RunRecord } from "./run-record.js";
import { maxStandingMs } from "./standing-watch.js";
import { countFailures, findStepOfTask, getStepNumber } from "./workload.js";

/** Bounds that the platform states for its rules. */
export interface RuleBounds extends PlannedWorkBounds {
    /** Time without disruption after which a host is in touch, ms. */
    readonly contactMs: number;
    /** Time after an acknowledged cancelling from which no task starts, ms. */
    readonly cancelMs: number;
    /** Longest time from a stop to the end of a run, ms. */
    readonly stopMs: number;
    /** Ends `failed` after which a task is not started again. */
    readonly maxAttempts: number;
}

/** What a check looks at. */
export interface CheckInput {
    readonly record: RunRecord;
    readonly executors: readonly FleetExecutor[];
    readonly policy: GrantPolicy;
    /** Jobs that stood in the calm; one text for each. */
    readonly standing: readonly string[];
    readonly bounds: RuleBounds;
    /** When the last disruption ended, ms since the begin. */
    readonly calmFrom: number;
}

/** The breaks of each rule by its name. */
export type Breaks = Readonly<Record<string, readonly string[]>>;

/** Margin for timers of this process, which runs beside load, ms. */
const timerMarginMs = 500;
/** Time after a job was shown as succeeded from which no task of it starts, ms. */
const noteMs = 1_000;

/** Checks all rules. */
export function checkRules(input: CheckInput): Breaks {
    return {
        TWICE: findTwice(input),
        LOST: [...findLost(input), ...findLostCalls(input.record, input.bounds)],
        UNASKED: findUnasked(input),
        REFUSED: findRefused(input),
        LIMIT: input.record.overloads,
        BUDGET: findBudget(input),
        GANG: findGang(input),
        ORDER: findOrder(input),
        MIXED: findMixed(input),
        FAULT: input.record.faults.map(fault => `${fault.description} at ${formatTime(fault.at)}`),
        UNANSWERED: findUnanswered(input),
    };
}

function formatTime(ms: number): string {
    return `${(ms / 1_000).toFixed(3)} s`;
}

function describeRun({ task, run, executor, sender, startedAt, isLate }: RecordedRun): string {
    return `${task} run ${run} on ${executor} by ${sender} at ${formatTime(startedAt)}${
        isLate ? " (carried out late)" : ""
    }`;
}

function collectByTask(runs: readonly RecordedRun[]): Map<string, RecordedRun[]> {
    const groups = new Map<string, RecordedRun[]>();
    for (const run of runs) {
        const group = groups.get(run.task) ?? [];
        group.push(run);
        groups.set(run.task, group);
    }
    groups.forEach(group => group.sort((first, second) => first.startedAt - second.startedAt));
    return groups;
}

/** Whether an end was or will be acknowledged before the lease of its executor lapsed. */
function isNoted(run: RecordedRun): boolean {
    return run.acknowledgedAt !== undefined && !run.hasLapsed;
}

function findTwice({ record, bounds }: CheckInput): string[] {
    const broken: string[] = [];
    for (const runs of collectByTask(record.runs).values()) {
        const { succeededAt } = record.jobs.get(runs[0]!.job) ?? {};
        for (const [index, later] of runs.entries()) {
            for (const earlier of runs.slice(0, index)) {
                if ((earlier.endedAt ?? Infinity) > later.startedAt) {
                    broken.push(`${describeRun(earlier)} and ${describeRun(later)} at the same time`);
                }
                else if (earlier.end === "done" && isNoted(earlier)) {
                    broken.push(
                        `${describeRun(later)} after ${describeRun(earlier)}, noted at ${
                            formatTime(earlier.acknowledgedAt!)
                        }`,
                    );
                }
            }
            if (
                succeededAt !== undefined && later.startedAt > succeededAt + noteMs && !later.isLate
                && record.isInTouch(later.sender, later.startedAt, bounds.contactMs)
            ) {
                broken.push(`${describeRun(later)} after its job was shown as succeeded at ${formatTime(succeededAt)}`);
            }
        }
    }
    return broken;
}

function findUnasked({ record, bounds, calmFrom }: CheckInput): string[] {
    const { contactMs, cancelMs, stopMs } = bounds;
    const broken: string[] = [];
    for (const run of record.runs) {
        const job = record.jobs.get(run.job);
        if (job === undefined) {
            broken.push(`${describeRun(run)}: nobody submitted the job`);
            continue;
        }
        if (job.spec !== run.spec || findStepOfTask(job, run.task) === undefined) {
            broken.push(`${describeRun(run)}: not what was submitted`);
        }
        const { cancelledAt } = job;
        if (cancelledAt === undefined) {
            continue;
        }
        const afterMs = run.startedAt - cancelledAt;
        if (afterMs > cancelMs && !run.isLate && record.isInTouch(run.sender, run.startedAt, contactMs)) {
            broken.push(`${describeRun(run)}: ${Math.round(afterMs)} ms after the cancelling was acknowledged`);
        }
        const begin = Math.max(cancelledAt, calmFrom + contactMs, run.isLate ? run.startedAt + contactMs : 0);
        const mustEndAt = begin + cancelMs + stopMs + timerMarginMs;
        if ((run.endedAt ?? record.now) > mustEndAt) {
            broken.push(
                `${describeRun(run)}: still there at ${formatTime(mustEndAt)}, cancelled at ${formatTime(cancelledAt)}`,
            );
        }
    }
    return broken;
}

function findRefused({ record }: CheckInput): string[] {
    const rejections = [404, 429, 503];
    return record.runs.filter(run => {
        const attempts = record.jobs.get(run.job)?.attempts ?? [];
        return attempts.length > 0 && attempts.every(attempt => rejections.includes(attempt.status));
    }).map(run => `${describeRun(run)}: every attempt to submit the job was rejected`);
}

function findBudget({ record, bounds }: CheckInput): string[] {
    const broken: string[] = [];
    for (const runs of collectByTask(record.runs).values()) {
        for (const later of runs) {
            const failures = runs.filter(run => run.end === "failed" && isNoted(run) && run.endedAt! < later.startedAt);
            if (failures.length >= bounds.maxAttempts) {
                broken.push(`${describeRun(later)} after ${failures.length} failures`);
            }
        }
    }
    return broken;
}

/** Members of a gang that waited in vain for the others, though nothing was disturbed. */
function findGang({ record, bounds }: CheckInput): string[] {
    return record.runs.filter(run => {
        const isCancelled = (record.jobs.get(run.job)?.cancelSentAt ?? Infinity) <= (run.endedAt ?? Infinity);
        return run.end === "alone" && !isCancelled && !run.isLate
            && record.isUndisturbed(run.startedAt - bounds.contactMs, run.endedAt!);
    }).map(run => `${describeRun(run)} waited alone until ${formatTime(run.endedAt!)}`);
}

function findOrder({ record }: CheckInput): string[] {
    const doneAt = new Map<string, number>();
    for (const run of record.runs) {
        if (run.end === "done") {
            doneAt.set(run.task, Math.min(doneAt.get(run.task) ?? Infinity, run.endedAt!));
        }
    }
    const broken: string[] = [];
    for (const run of record.runs) {
        const job = record.jobs.get(run.job);
        const step = findStepOfTask(job, run.task);
        for (const number of step?.after ?? []) {
            for (let index = 0; index < job!.steps[number]!.count; index++) {
                const earlier = `${run.job}.0.${number}.${index}`;
                if ((doneAt.get(earlier) ?? Infinity) > run.startedAt) {
                    broken.push(`${describeRun(run)} before ${earlier} was done (step ${getStepNumber(run.task)})`);
                }
            }
        }
    }
    return broken;
}

function listTasks(job: RecordedJob): string[] {
    return job.steps.flatMap((step, number) =>
        Array.from({ length: step.count }, (_, index) => `${job.id}.0.${number}.${index}`)
    );
}

function findMixed({ record }: CheckInput): string[] {
    const done = new Map<string, number>();
    for (const run of record.runs) {
        if (run.end === "done") {
            done.set(run.task, Math.min(done.get(run.task) ?? Infinity, run.endedAt!));
        }
    }
    return [...record.jobs.values()].flatMap(job => {
        const { succeededAt } = job;
        const missing = succeededAt === undefined
            ? undefined
            : listTasks(job).find(task => (done.get(task) ?? Infinity) > succeededAt);
        return missing === undefined ? [] : [`${job.id} shown as succeeded without an end of ${missing}`];
    });
}

/** Accepted jobs that nobody cancelled and that are not finished after the calm, or were shown as unknown or without cause. */
function findLost({ record, executors, policy, standing, bounds, calmFrom }: CheckInput): string[] {
    const byTask = collectByTask(record.runs);
    const broken = [...standing];
    const fleet = new FleetRoom(executors, policy);
    for (const job of record.jobs.values()) {
        if (job.acceptedAt === undefined || job.cancelSentAt !== undefined) {
            continue;
        }
        const unknown = job.states.find(({ at, host, state }) =>
            state === "unknown" && at > calmFrom + bounds.contactMs && record.isInTouch(host, at, bounds.contactMs)
        );
        if (unknown !== undefined) {
            broken.push(`${job.id} is not known to ${unknown.host} at ${formatTime(unknown.at)}`);
        }
        const state = job.states.at(-1)?.state;
        const runs = listTasks(job).map(task => byTask.get(task) ?? []);
        if (state === "cancelled") {
            broken.push(`${job.id} is shown as cancelled, which nobody did`);
        }
        else if (state === "failed") {
            const hasCause = job.steps.some((_, number) =>
                countFailures(job, number, runs.flat()) >= bounds.maxAttempts
            );
            if (!hasCause) {
                broken.push(`${job.id} is shown as failed without cause`);
            }
        }
        else if (state !== "succeeded") {
            const lastEnd = Math.max(0, ...runs.flat().map(run => run.endedAt ?? Infinity));
            const tasks = listTasks(job);
            const openTask = tasks[runs.findIndex(list => !list.some(run => run.end === "done"))] ?? tasks[0]!;
            const number = getStepNumber(openTask);
            const hasRoom = hasRoomTwice(fleet.countRoom(`${job.id}.0.${number}`, job.steps[number]!));
            if (lastEnd + maxStandingMs < record.now && hasRoom && !fleet.isHalfUsed) {
                broken.push(
                    `${job.id} is ${state ?? "never shown"}, accepted at ${
                        formatTime(job.acceptedAt)
                    }, last run ended at ${formatTime(lastEnd)}`,
                );
            }
        }
    }
    return broken;
}

/** Requests whose connection ended without an answer. One that takes too long on a busy machine breaks no rule. */
function findUnanswered({ record, bounds, calmFrom }: CheckInput): string[] {
    return record.unanswered.filter(({ host, sentAt, isTimedOut }) =>
        !isTimedOut && sentAt > calmFrom + bounds.contactMs && record.isInTouch(host, sentAt, bounds.contactMs)
    ).map(({ host, sentAt, what, tookMs }) =>
        `${what} sent to ${host} at ${formatTime(sentAt)} had no answer after ${Math.round(tookMs)} ms`
    );
}
