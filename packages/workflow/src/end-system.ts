/** Applies the end of a run to its task, step and job. */
import type { ExecutorId } from "@waxwingroute/core";
import { match, P } from "ts-pattern";
import { recordTicketRefusal } from "./advice-system.js";
import { clearExplainedLosses, clearLateLosses, recordCrash, recordCrashRate } from "./crash-system.js";
import { recordRefusedStart, recordRunOutcome } from "./health-system.js";
import { countOccurrences, isStepDone, openReadySteps } from "./job-rows.js";
import type { JobRow, RunRow, StepRow, TaskRow } from "./rows.js";
import { setTaskState } from "./rows.js";
import type { SchedulerState } from "./state.js";
import { createChange } from "./state.js";
import type { EndSource, RunOutcome, StopReason } from "./types.js";

/** A run that ended; `row` is `undefined` if the run is not or no longer in the tables. */
export interface EndedRun {
    readonly task: TaskRow;
    readonly number: number;
    readonly row: RunRow | undefined;
    readonly outcome: RunOutcome;
    readonly checkpoint: string;
    readonly executor: ExecutorId;
    readonly source: EndSource;
}

/** Outcomes that only an executor that has begun the run reports. */
const outcomesOfBegunRuns: ReadonlySet<RunOutcome> = new Set([
    "done",
    "failed",
    "stopped",
    "lapsed",
    "memberEnded",
    "incomplete",
]);

/** Records the end of a run. An end that was recorded before has no further effect. */
export function applyRunEnd(state: SchedulerState, now: number, ended: EndedRun): void {
    const { task, number, row, outcome, checkpoint } = ended;
    const executor = row === undefined ? undefined : state.executors.get(row.executor);
    if (outcomesOfBegunRuns.has(outcome)) {
        state.markJobRunning(task.step.occurrence.job);
    }
    if (outcome === "notStarted" && row?.state === "starting" && executor !== undefined) {
        recordRefusedStart(state, now, executor);
    }
    if (row !== undefined) {
        recordRunOutcome(state, now, row, outcome);
        state.removeRun(row);
    }
    if (number >= (task.earlierRun?.run ?? 0)) {
        task.earlierRun = { run: number, executor: ended.executor, outcome, source: ended.source, recordedAt: now };
    }
    task.lastRunNumber = Math.max(task.lastRunNumber, number);
    task.step.lastRunNumber = Math.max(task.step.lastRunNumber, number);
    if (checkpoint !== "") {
        recordCheckpoint(task, checkpoint);
    }
    match(outcome)
        .with("done", () => {
            clearLateLosses(task.step, Infinity);
            completeTask(state, task);
        })
        .with("failed", () => recordFailure(state, task, number))
        .with(P.union("crashed", "suspected"), how => {
            const isIsolated = (row?.provenAfterMs ?? 0) > 0;
            recordCrashRate(state, task.step, row, how === "crashed");
            if (isIsolated && how === "crashed") {
                clearExplainedLosses(state, task.step);
            }
            if (recordCrash(task, number, how, isIsolated)) {
                recordGivenUp(state, task);
                endJob(state, task.step.occurrence.job, "failed");
            }
        })
        .with("ticketRefused", () => {
            if (row !== undefined) {
                recordTicketRefusal(row);
            }
        })
        .with(P.union("stopped", "lapsed", "memberEnded", "incomplete", "lost", "notStarted"), () => undefined)
        .exhaustive();
    if (task.step.spec.isGang && outcome !== "done") {
        stopGangRun(state, task.step, number);
    }
    if (!isStepDone(task.step)) {
        state.openStep(task.step);
    }
}

function recordGivenUp(state: SchedulerState, task: TaskRow): void {
    const { job } = task.step.occurrence;
    if (state.isOpen(job)) {
        const { crashedRuns, suspectedRuns } = task;
        state.givenUp.push({
            job: job.id,
            task: task.key,
            crashes: crashedRuns.size,
            suspicions: suspectedRuns.size,
        });
    }
}

/** Fails or cancels a job: none of its tasks starts any more, and its runs are stopped. */
export function endJob(state: SchedulerState, job: JobRow, endsAs: "failed" | "cancelled"): void {
    if (!state.isOpen(job)) {
        return;
    }
    job.endsAs = endsAs;
    job.phase = endsAs;
    state.changes.push(createChange(job, endsAs));
    stopJobRuns(state, job, "cancelled");
}

function stopJobRuns(state: SchedulerState, job: JobRow, reason: StopReason): void {
    for (const occurrence of job.occurrences.values()) {
        for (const step of occurrence.steps) {
            state.closeStep(step);
            step.tasks.forEach(task => task.runs.forEach(run => state.stopRun(run, reason)));
        }
    }
}

function recordCheckpoint(task: TaskRow, checkpoint: string): void {
    const members = task.step.spec.isGang ? task.step.tasks : [task];
    members.forEach(member => {
        member.checkpoint = checkpoint;
    });
}

function completeTask(state: SchedulerState, task: TaskRow): void {
    const step = task.step;
    // The members of a gang finish together, so the end of one member completes all of them.
    const members = step.spec.isGang ? step.tasks : [task];
    for (const member of members) {
        if (member.state !== "done" && !step.spec.isLongRunning) {
            setTaskState(member, "done");
            step.doneCount += 1;
            if (!step.spec.isGang) {
                member.runs.forEach(run => state.stopRun(run, "superseded"));
            }
        }
    }
    if (isStepDone(step)) {
        state.closeStep(step);
        finishStep(state, step);
    }
}

function finishStep(state: SchedulerState, step: StepRow): void {
    const occurrence = step.occurrence;
    const job = occurrence.job;
    openReadySteps(state, occurrence);
    if (!occurrence.isFinished && occurrence.steps.every(isStepDone)) {
        occurrence.isFinished = true;
        job.finishedOccurrences += 1;
        if (job.finishedOccurrences === countOccurrences(job) && state.isOpen(job)) {
            job.phase = "succeeded";
            state.changes.push(createChange(job, "succeeded"));
        }
    }
}

function recordFailure(state: SchedulerState, task: TaskRow, run: number): void {
    const step = task.step;
    const failed = step.spec.isGang ? step.failedGangRuns : task.failedRuns;
    failed.add(run);
    const job = step.occurrence.job;
    const attempts = state.queues.get(job.submission.queue)?.rules.maxAttempts ?? Infinity;
    if (!step.spec.isLongRunning && task.state !== "done" && failed.size >= attempts) {
        endJob(state, job, "failed");
    }
}

function stopGangRun(state: SchedulerState, step: StepRow, number: number): void {
    for (const task of step.tasks) {
        task.runs.filter(run => run.number === number).forEach(run => state.stopRun(run, "gangBroken"));
    }
}
