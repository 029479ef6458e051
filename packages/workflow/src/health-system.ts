/**
 * Tracks from the ends of runs how measured run times compare with the estimates in each queue, which executors fail
 * tasks more often than others, and which are slow.
 */
import type { ExecutorRow, QueueRow, RunRow } from "./rows.js";
import type { SchedulerState } from "./state.js";
import type { RunOutcome } from "./types.js";

/** Weight of a new sample in the moving averages of a queue. */
const queueSampleWeight = 0.05;
/** Weight of a new sample in the moving averages of an executor, which gets fewer samples than a queue. */
const executorSampleWeight = 0.25;
/** An executor is avoided when its failure rate exceeds the median of all executors by more than this. */
const failureRateMargin = 0.35;
/** Time for which a failing executor gets no work, ms. After it, new tasks show whether the executor has recovered. */
const avoidMs = 4_000;

/** Time for which an executor that refused a start gets none, ms; doubled with each refusal up to the maximum. */
const refusalDelayMs = 100;
const maxRefusalDelayMs = 1_600;

/** Gives an executor that refused a start no work for a moment. Starts that were sent together count as one refusal. */
export function recordRefusedStart(state: SchedulerState, now: number, executor: ExecutorRow): void {
    if (now >= executor.avoidUntil) {
        const delayMs = Math.min(maxRefusalDelayMs, refusalDelayMs * 2 ** executor.refusedStarts);
        executor.refusedStarts += 1;
        state.recordAvoidance(executor, now + delayMs);
    }
}

/** Updates the averages of the executor and the queue of a run that succeeded or failed. */
export function recordRunOutcome(state: SchedulerState, now: number, run: RunRow, outcome: RunOutcome): void {
    if (outcome !== "done" && outcome !== "failed") {
        return;
    }
    const executor = state.executors.get(run.executor);
    const queue = state.queues.get(run.task.step.occurrence.job.submission.queue);
    if (executor === undefined || queue === undefined) {
        return;
    }
    const failed = outcome === "failed" ? 1 : 0;
    executor.failureRate = computeMovingAverage(executor.failureRate, failed, executorSampleWeight);
    if (failed === 1) {
        markFailingExecutor(state, now, executor);
    }
    if (outcome === "done" && run.task.checkpoint === "") {
        recordRunTime(now, run, executor, queue);
    }
}

function recordRunTime(now: number, run: RunRow, executor: ExecutorRow, queue: QueueRow): void {
    const estimateMs = run.task.step.spec.estimateMs;
    if (estimateMs <= 0) {
        return;
    }
    const ratio = Math.min(10, (now - run.startedAt) / estimateMs);
    executor.slowdown = computeMovingAverage(executor.slowdown, ratio / queue.estimateRatio, executorSampleWeight);
    queue.estimateRatio = computeMovingAverage(queue.estimateRatio, ratio, queueSampleWeight);
}

function markFailingExecutor(state: SchedulerState, now: number, executor: ExecutorRow): void {
    const rates = [...state.executors.values()].map(row => row.failureRate).sort((first, second) => first - second);
    const medianRate = rates[Math.floor(rates.length / 2)] ?? 0;
    if (executor.failureRate > medianRate + failureRateMargin) {
        state.recordAvoidance(executor, now + avoidMs);
    }
}

function computeMovingAverage(average: number, sample: number, weight: number): number {
    return average + weight * (sample - average);
}
