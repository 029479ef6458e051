/**
 * Tracks the open steps whose tasks did not start for some time, and why. Examining a step costs as much as placing it,
 * so each sample examines a bounded number of them in rotation and keeps the reasons of the others.
 */
import { needsAdvice } from "./candidates.js";
import type { StepRow, TaskRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { StepKey, TaskKey } from "./types.js";
import type { WaitingCause, WaitingReason } from "./waiting-reasons.js";
import { decideWaitingReason } from "./waiting-reasons.js";

/** A step that waits, as far as it is new: its reason changed, or was last reported long ago. */
export interface WaitingStep {
    readonly step: StepKey;
    /** One of the tasks that could start, or whose start is not confirmed. */
    readonly task: TaskKey;
    readonly waitingTasks: number;
    readonly cause: WaitingCause;
    /** Time for which no task of the step was started although some could, ms. */
    readonly sinceMs: number;
    /** Time since the reason was first seen, ms. */
    readonly reasonSinceMs: number;
    /** Time for which a request to the advisor could have been sent and was not, ms; `undefined`: none is due. */
    readonly adviceDueMs: number | undefined;
}

/** Waiting steps for which a request to the advisor has been due for a second or longer. */
export interface OverdueAdvice {
    readonly steps: number;
    /** Longest time for which one of them has been due, ms. */
    readonly longestMs: number;
}

/** What one sample found. */
export interface WaitingSample {
    readonly news: readonly WaitingStep[];
    /** Number of waiting steps by reason, as far as they were examined. */
    readonly counts: ReadonlyMap<WaitingReason, number>;
    /** Number of steps that wait and were not examined yet. */
    readonly notExamined: number;
    readonly adviceOverdue: OverdueAdvice;
}

interface TrackedStep {
    since: number;
    lastRunNumber: number;
    reason: WaitingReason | undefined;
    reasonSince: number;
    reportedAt: number;
    sample: number;
}

/** Time without a start after which a step counts as waiting, ms. */
const minWaitMs = 1_000;
/** Interval at which an unchanged reason is reported again, ms. */
const reportIntervalMs = 5_000;
/** Executors that one sample examines at most, over all steps; at least one step is examined. */
const maxExaminedExecutors = 20_000;

/** The waiting steps of one scheduler. */
export class WaitingSteps {
    /** In the order in which they are examined next. */
    private readonly tracked = new Map<StepRow, TrackedStep>();
    private sampleNumber = 0;

    /** Finds the waiting steps and examines some of them. Called at intervals, not with each tick. */
    sample(state: SchedulerState, now: number): WaitingSample {
        this.sampleNumber += 1;
        const due: [StepRow, TrackedStep][] = [];
        this.updateTracked(state, now);
        for (const entry of this.tracked) {
            if (now - entry[1].since >= minWaitMs) {
                due.push(entry);
            }
        }
        const maxSteps = Math.max(1, Math.floor(maxExaminedExecutors / Math.max(1, state.executors.size)));
        const news = due.slice(0, maxSteps).flatMap(([step, row]) => this.decideReason(state, now, step, row));
        const counts = new Map<WaitingReason, number>();
        let notExamined = 0;
        for (const [, { reason }] of due) {
            if (reason === undefined) {
                notExamined += 1;
            }
            else {
                counts.set(reason, (counts.get(reason) ?? 0) + 1);
            }
        }
        return { news, counts, notExamined, adviceOverdue: findOverdueAdvice(state, now, due) };
    }

    private updateTracked(state: SchedulerState, now: number): void {
        for (const step of state.openSteps) {
            if (step.waitingCount === 0 && !step.tasks.some(task => isHeldBack(task, now))) {
                continue;
            }
            const row = this.tracked.get(step);
            if (row === undefined || row.lastRunNumber !== step.lastRunNumber) {
                this.tracked.set(step, {
                    since: now,
                    lastRunNumber: step.lastRunNumber,
                    reason: undefined,
                    reasonSince: now,
                    reportedAt: -Infinity,
                    sample: this.sampleNumber,
                });
            }
            else {
                row.sample = this.sampleNumber;
            }
        }
        for (const [step, row] of this.tracked) {
            if (row.sample !== this.sampleNumber) {
                this.tracked.delete(step);
            }
        }
    }

    private decideReason(state: SchedulerState, now: number, step: StepRow, row: TrackedStep): WaitingStep[] {
        // Moves the step to the end of the rotation.
        this.tracked.delete(step);
        this.tracked.set(step, row);
        const cause = decideWaitingReason(state, now, step, row.since);
        if (cause.reason !== row.reason) {
            row.reason = cause.reason;
            row.reasonSince = now;
            row.reportedAt = -Infinity;
        }
        if (now - row.reportedAt < reportIntervalMs) {
            return [];
        }
        row.reportedAt = now;
        const tasks = step.tasks.filter(task =>
            step.waitingCount > 0 ? task.state === "waiting" : isHeldBack(task, now)
        );
        return [{
            step: step.key,
            task: tasks[0]!.key,
            waitingTasks: tasks.length,
            cause,
            sinceMs: now - row.since,
            reasonSinceMs: now - row.reasonSince,
            adviceDueMs: computeAdviceDue(state, now, step, row),
        }];
    }
}

function findOverdueAdvice(
    state: SchedulerState,
    now: number,
    waiting: readonly [StepRow, TrackedStep][],
): OverdueAdvice {
    let steps = 0;
    let longestMs = 0;
    for (const [step, row] of waiting) {
        const dueMs = computeAdviceDue(state, now, step, row) ?? 0;
        steps += dueMs >= minWaitMs ? 1 : 0;
        longestMs = Math.max(longestMs, dueMs);
    }
    return { steps, longestMs };
}

/** An evaluation that finds no request necessary postpones the next one, so only steps that no round reaches stay due. */
function computeAdviceDue(state: SchedulerState, now: number, step: StepRow, row: TrackedStep): number | undefined {
    const { evaluateAt, isRequestPending, retryAt } = step.advice;
    const dueSince = Math.max(row.since, retryAt, evaluateAt);
    return isRequestPending || step.waitingCount === 0 || dueSince > now || !needsAdvice(state, step)
        ? undefined
        : now - dueSince;
}

/** Returns whether the task waits for executors to say whether it runs. */
function isHeldBack(task: TaskRow, now: number): boolean {
    return task.state === "unknown"
        || task.runs.some(run => run.state === "starting" && now - run.startedAt >= minWaitMs);
}
