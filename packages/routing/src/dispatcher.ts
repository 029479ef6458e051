/**
 * Sends waiting jobs to executors and judges how each attempt ended.
 */
import { canRetry, createFailure, Err, mergeVerdicts, Ok, toId } from "@waxwingroute/core";
import type { AttemptId, Failure, Result } from "@waxwingroute/core";
import type { ExecutorAnswer } from "@waxwingroute/platform";
import { checkAnswer, startCall } from "./attempt.js";
import type { Attempt } from "./attempt.js";
import type { ExecutorPool } from "./executor-pool.js";
import type { SlotUse } from "./executor-row.js";
import type { JobTable } from "./job-table.js";
import type { Job } from "./job.js";
import type { ServiceTimes } from "./service-times.js";
import type { Placement, TeamQueues } from "./team-queues.js";
import type { ResolvedRouterOptions, RouterCounters } from "./types.js";

// Long enough for two ticks and one list before the deadline.
const lastListMs = 100;

export class Dispatcher {
    private attemptCount = 0;
    private readonly attempts = new Map<AttemptId, Attempt>();

    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly attemptPrefix: string,
        private readonly jobs: JobTable,
        private readonly queues: TeamQueues,
        private readonly pool: ExecutorPool,
        private readonly serviceTimes: ServiceTimes,
        private readonly counters: RouterCounters,
    ) {}

    /** Sends waiting jobs until no slot, job or right is left. */
    dispatch(now: number): void {
        while (this.queues.waiting > 0) {
            const placement = this.queues.choose(now);
            if (placement === undefined) {
                return;
            }
            const { job } = placement;
            if (now + this.estimateNeeded(job, now) >= job.deadline) {
                this.queues.removeJob(job);
                this.failExpired(job, now);
                continue;
            }
            if (!this.options.canSend()) {
                this.counters.withheldSends++;
                return;
            }
            this.send(placement, now);
        }
    }

    /** Returns the milliseconds that a job needs; while others wait, with an allowance so that the slot is not wasted. */
    private estimateNeeded(job: Job, now: number): number {
        const mean = this.serviceTimes.estimateMean(job.queue, now);
        return this.queues.waiting > 1 ? mean + this.serviceTimes.estimateDeviation(job.queue, now) : mean;
    }

    /** Ends jobs whose deadline has passed or can no longer be met. */
    expireJobs(now: number): void {
        for (const job of this.queues.listDue(now)) {
            this.queues.removeJob(job);
            this.failExpired(job, now);
        }
        for (const job of this.jobs.running) {
            if (job.deadline <= now) {
                this.expireAttempt(job, now);
            }
            else if (job.deadline <= now + lastListMs) {
                this.listBeforeDeadline(job, now);
            }
        }
    }

    /** Ends a job with a failure. */
    fail(job: Job, failure: Failure, now: number, kind: "failed" | "refused" = "failed"): void {
        this.counters[kind]++;
        const { key: requestKey, team, queue } = job;
        const { code, verdict } = failure;
        const elapsedMs = now - job.arrivedAt;
        this.options.onDecision({ kind, at: now, requestKey, team, queue, code, verdict, elapsedMs });
        this.jobs.settle(job, Err({ ...failure, requestKey }), now);
    }

    /**
     * Lists the executor of a job that is about to miss its deadline. Once the attempt was seen, its slot is free as soon as
     * a list lacks it; otherwise it stays in use for as long as the request can be in flight.
     */
    private listBeforeDeadline(job: Job, now: number): void {
        const attempt = job.attempt === undefined ? undefined : this.attempts.get(job.attempt);
        if (attempt !== undefined && !attempt.use.isSeen) {
            this.pool.scheduleList(attempt.row, now);
        }
    }

    private failExpired(job: Job, now: number): void {
        const waited = Math.ceil(now - job.arrivedAt);
        const message = `no slot was free in time; the request waited ${waited} ms in queue "${job.queue}"`;
        const kind = job.verdict === "notRun" ? "refused" : "failed";
        this.fail(job, createFailure("deadline-exceeded", message, job.verdict), now, kind);
    }

    private expireAttempt(job: Job, now: number): void {
        const attempt = job.attempt === undefined ? undefined : this.attempts.get(job.attempt);
        if (attempt !== undefined) {
            this.pool.markUncertain(attempt.row, attempt.use, now);
        }
        const executor = attempt?.row.definition.executor ?? "unknown";
        const message = `executor "${executor}" did not answer before the deadline`;
        const verdict = mergeVerdicts(job.verdict, "mayHaveRun");
        this.fail(job, createFailure("deadline-exceeded", message, verdict), now);
    }

    private send({ team, job, row }: Placement, now: number): void {
        const id = toId<AttemptId>(`${this.attemptPrefix}${++this.attemptCount}.${job.team}`);
        const { startInFlightMs, clockRateBound } = this.options;
        const timeoutMs = job.deadline - now;
        const use: SlotUse = {
            attempt: id,
            team: job.team,
            state: "running",
            listedFrom: now + startInFlightMs,
            isSeen: false,
            // It arrives at most `startInFlightMs` after the send and then runs for the time-out by the executor's clock.
            endsBy: now + (startInFlightMs + timeoutMs) * (1 + clockRateBound),
        };
        const chargedMs = Math.max(1, this.serviceTimes.estimateMean(job.queue, now));
        const isProbe = row.health.isEjected;
        const attempt: Attempt = { id, job, row, use, sentAt: now, isProbe, chargedMs };
        this.queues.removeJob(job);
        this.queues.startUse(team, chargedMs);
        this.pool.take(row, use);
        this.jobs.startAttempt(job, id);
        this.attempts.set(id, attempt);
        this.options.onDecision({
            kind: "sent",
            at: now,
            requestKey: job.key,
            attempt: id,
            team: job.team,
            queue: job.queue,
            executor: row.definition.executor,
            elapsedMs: now - job.arrivedAt,
        });
        startCall(attempt, timeoutMs, this.options.epoch, result => this.handleOutcome(attempt, result));
    }

    private handleOutcome(attempt: Attempt, result: Result<ExecutorAnswer, Failure>): void {
        const now = this.options.clock.getNow();
        const { id, job, row, use } = attempt;
        this.attempts.delete(id);
        const checked = checkAnswer(attempt, result);
        this.counters.mismatchedAnswers += result.ok && checked.err ? 1 : 0;
        if (checked.err && checked.val.verdict === "mayHaveRun") {
            this.pool.markUncertain(row, use, now);
        }
        else {
            this.pool.release(row, use);
        }
        if (checked.err && checked.val.verdict === "notRun") {
            this.pool.markUnlisted(row, now);
        }
        this.recordOutcome(attempt, checked, now);
        if (job.attempt !== id || job.state === "settled") {
            this.counters.lateAnswers += checked.ok ? 1 : 0;
        }
        else if (checked.ok) {
            this.settleAnswer(attempt, checked.val, now);
        }
        else {
            this.handleFailure(attempt, checked.val, now);
        }
        this.dispatch(now);
    }

    private recordOutcome(attempt: Attempt, result: Result<ExecutorAnswer, Failure>, now: number): void {
        const { job, row, chargedMs, isProbe } = attempt;
        const durationMs = now - attempt.sentAt;
        // A lost answer shows only that the service takes longer than this.
        if (
            result.ok || result.val.verdict !== "notRun" && durationMs > this.serviceTimes.estimateMean(job.queue, now)
        ) {
            this.serviceTimes.record(job.queue, durationMs, now);
        }
        const team = this.queues.get(job.team);
        if (team !== undefined) {
            this.queues.updateUse(team, durationMs - chargedMs);
        }
        const isSuccess = result.ok && result.val.status < 500;
        if (row.health.record(isSuccess, isProbe, now)) {
            this.options.onDecision({ kind: "returned", at: now, executor: row.definition.executor });
        }
    }

    private settleAnswer(attempt: Attempt, answer: ExecutorAnswer, now: number): void {
        const { job, row, id } = attempt;
        const { key: requestKey, team, queue } = job;
        const { executor } = row.definition;
        this.counters.answered++;
        const elapsedMs = now - job.arrivedAt;
        this.options.onDecision({
            kind: "answered",
            at: now,
            requestKey,
            attempt: id,
            team,
            queue,
            executor,
            elapsedMs,
        });
        const { status, contentType, body } = answer;
        this.jobs.settle(job, Ok({ requestKey, executor, status, contentType, body }), now);
    }

    private handleFailure(attempt: Attempt, failure: Failure, now: number): void {
        const { job, row } = attempt;
        job.verdict = mergeVerdicts(job.verdict, failure.verdict);
        job.tried.push(row.definition.executor);
        this.jobs.finishAttempt(job);
        const team = this.queues.get(job.team);
        const isInTime = now + this.serviceTimes.estimateMean(job.queue, now) < job.deadline;
        const isWanted = team !== undefined && job.waiters.length > 0 && isInTime;
        if (
            isWanted && canRetry(failure.verdict, job.isIdempotent) && this.pool.hasUntried(job, now)
            && team.retries.tryRetry(now)
        ) {
            this.counters.retries++;
            this.options.onDecision({
                kind: "retried",
                at: now,
                requestKey: job.key,
                attempt: attempt.id,
                team: job.team,
                queue: job.queue,
                executor: row.definition.executor,
                code: failure.code,
                verdict: failure.verdict,
            });
            this.queues.enqueue(team, job);
            return;
        }
        this.fail(job, { ...failure, verdict: job.verdict }, now);
    }
}
