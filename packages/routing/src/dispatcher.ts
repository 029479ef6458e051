/**
 * Sends waiting requests to executors and decides what follows from the outcome of each attempt: an answer, a retry or
 * a failure.
 */
import { canRetry, createFailure, Err, mergeVerdicts, Ok, toId } from "@waxwingroute/core";
import type { AttemptId, Failure, Result } from "@waxwingroute/core";
import type { ExecutorAnswer } from "@waxwingroute/platform";
import { callExecutor, checkAnswer } from "./attempt.js";
import type { Attempt } from "./attempt.js";
import type { ExecutorPool } from "./executor-pool.js";
import type { OccupiedSlot } from "./executor-row.js";
import type { PendingRequest } from "./pending-request.js";
import type { RequestTable } from "./request-table.js";
import type { ServiceTimes } from "./service-times.js";
import type { Assignment, TeamQueues } from "./team-queues.js";
import type { ResolvedRouterOptions, RouterCounters } from "./types.js";

// Long enough for two ticks and one listing before the deadline.
const listBeforeDeadlineMs = 100;

/** Sends the waiting requests of a router and handles the outcomes of their attempts. */
export class Dispatcher {
    private attemptCount = 0;
    private readonly attempts = new Map<AttemptId, Attempt>();

    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly attemptPrefix: string,
        private readonly requests: RequestTable,
        private readonly queues: TeamQueues,
        private readonly pool: ExecutorPool,
        private readonly serviceTimes: ServiceTimes,
        private readonly counters: RouterCounters,
    ) {}

    /** Sends waiting requests until none is left, none can be sent, or the right to place is lost. */
    dispatch(now: number): void {
        while (this.queues.waiting > 0) {
            const assignment = this.queues.chooseNext(now);
            if (assignment === undefined) {
                return;
            }
            const { pending } = assignment;
            if (now + this.estimateNeededMs(pending, now) >= pending.deadline) {
                this.queues.removeRequest(pending);
                this.failExpired(pending, now);
                continue;
            }
            if (!this.options.canSend()) {
                this.counters.withheldSends++;
                return;
            }
            this.send(assignment, now);
        }
    }

    /**
     * Returns how many milliseconds a request is likely to run. While others wait, the mean deviation is added: a
     * request that misses its deadline would waste a slot that they could use.
     */
    private estimateNeededMs(pending: PendingRequest, now: number): number {
        const meanMs = this.serviceTimes.estimateMean(pending.queue, now);
        return this.queues.waiting > 1 ? meanMs + this.serviceTimes.estimateDeviation(pending.queue, now) : meanMs;
    }

    /** Ends requests whose deadline has passed, and lists the executors of those that are about to miss it. */
    expireRequests(now: number): void {
        for (const pending of this.queues.listExpired(now)) {
            this.queues.removeRequest(pending);
            this.failExpired(pending, now);
        }
        for (const pending of this.requests.running) {
            if (pending.deadline <= now) {
                this.expireAttempt(pending, now);
            }
            else if (pending.deadline <= now + listBeforeDeadlineMs) {
                this.listBeforeDeadline(pending, now);
            }
        }
    }

    /** Ends a request with a failure. */
    fail(pending: PendingRequest, failure: Failure, now: number, kind: "failed" | "refused" = "failed"): void {
        this.counters[kind]++;
        const { key: requestKey, team, queue } = pending;
        const { code, verdict } = failure;
        const elapsedMs = now - pending.arrivedAt;
        this.options.onDecision({ kind, at: now, requestKey, team, queue, code, verdict, elapsedMs });
        this.requests.settle(pending, Err({ ...failure, requestKey }), now);
    }

    /**
     * Lists the executor of a request that is about to miss its deadline, unless a listing has already shown the
     * attempt. After one has, the slot is freed by the first listing without the attempt; otherwise the slot stays
     * occupied for as long as the call can still be in flight.
     */
    private listBeforeDeadline(pending: PendingRequest, now: number): void {
        const attempt = pending.attempt === undefined ? undefined : this.attempts.get(pending.attempt);
        if (attempt !== undefined && !attempt.slot.isSeen) {
            this.pool.scheduleList(attempt.row, now);
        }
    }

    private failExpired(pending: PendingRequest, now: number): void {
        const waitedMs = Math.ceil(now - pending.arrivedAt);
        const message = `no slot was free in time; the request waited ${waitedMs} ms in queue "${pending.queue}"`;
        const kind = pending.verdict === "notRun" ? "refused" : "failed";
        this.fail(pending, createFailure("deadline-exceeded", message, pending.verdict), now, kind);
    }

    private expireAttempt(pending: PendingRequest, now: number): void {
        const attempt = pending.attempt === undefined ? undefined : this.attempts.get(pending.attempt);
        if (attempt !== undefined) {
            this.pool.markUncertain(attempt.row, attempt.slot, now);
        }
        const executor = attempt?.row.definition.executor ?? "unknown";
        const message = `executor "${executor}" did not answer before the deadline`;
        const verdict = mergeVerdicts(pending.verdict, "mayHaveRun");
        this.fail(pending, createFailure("deadline-exceeded", message, verdict), now);
    }

    private send({ team, pending, row }: Assignment, now: number): void {
        const id = toId<AttemptId>(`${this.attemptPrefix}${++this.attemptCount}.${pending.team}`);
        const { startInFlightMs, clockRateBound } = this.options;
        const timeoutMs = pending.deadline - now;
        const slot: OccupiedSlot = {
            attempt: id,
            team: pending.team,
            state: "running",
            listingConclusiveFrom: now + startInFlightMs,
            isSeen: false,
            // It arrives at most `startInFlightMs` after the send, then runs for the time-out by the executor's clock.
            endsBy: now + (startInFlightMs + timeoutMs) * (1 + clockRateBound),
        };
        const expectedServiceMs = Math.max(1, this.serviceTimes.estimateMean(pending.queue, now));
        const isProbe = row.health.isEjected;
        const attempt: Attempt = { id, pending, row, slot, sentAt: now, isProbe, expectedServiceMs };
        this.queues.removeRequest(pending);
        this.queues.addExpectedServiceTime(team, expectedServiceMs);
        this.pool.takeSlot(row, slot);
        this.requests.startAttempt(pending, id);
        this.attempts.set(id, attempt);
        this.options.onDecision({
            kind: "sent",
            at: now,
            requestKey: pending.key,
            attempt: id,
            team: pending.team,
            queue: pending.queue,
            executor: row.definition.executor,
            elapsedMs: now - pending.arrivedAt,
        });
        callExecutor(attempt, timeoutMs, this.options.epoch, result => this.handleOutcome(attempt, result));
    }

    private handleOutcome(attempt: Attempt, result: Result<ExecutorAnswer, Failure>): void {
        const now = this.options.clock.getNow();
        const { id, pending, row, slot } = attempt;
        this.attempts.delete(id);
        const checked = checkAnswer(attempt, result);
        this.counters.mismatchedAnswers += result.ok && checked.err ? 1 : 0;
        if (checked.err && checked.val.verdict === "mayHaveRun") {
            this.pool.markUncertain(row, slot, now);
        }
        else {
            this.pool.releaseSlot(row, slot);
        }
        if (checked.err && checked.val.verdict === "notRun") {
            this.pool.markUnlisted(row, now);
        }
        this.recordOutcome(attempt, checked, now);
        if (pending.attempt !== id || pending.state === "settled") {
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
        const { pending, row, expectedServiceMs, isProbe } = attempt;
        const durationMs = now - attempt.sentAt;
        // A lost answer shows only that the request takes longer than this, so one below the mean is not recorded.
        if (
            result.ok
            || result.val.verdict !== "notRun" && durationMs > this.serviceTimes.estimateMean(pending.queue, now)
        ) {
            this.serviceTimes.record(pending.queue, durationMs, now);
        }
        const team = this.queues.getTeam(pending.team);
        if (team !== undefined) {
            this.queues.applyServiceTimeDifference(team, durationMs - expectedServiceMs);
        }
        const isSuccess = result.ok && result.val.status < 500;
        if (row.health.record(isSuccess, isProbe, now)) {
            this.options.onDecision({ kind: "returned", at: now, executor: row.definition.executor });
        }
    }

    private settleAnswer(attempt: Attempt, answer: ExecutorAnswer, now: number): void {
        const { pending, row, id } = attempt;
        const { key: requestKey, team, queue } = pending;
        const { executor } = row.definition;
        this.counters.answered++;
        const elapsedMs = now - pending.arrivedAt;
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
        this.requests.settle(pending, Ok({ requestKey, executor, status, contentType, body }), now);
    }

    private handleFailure(attempt: Attempt, failure: Failure, now: number): void {
        const { pending, row } = attempt;
        pending.verdict = mergeVerdicts(pending.verdict, failure.verdict);
        pending.triedExecutors.push(row.definition.executor);
        this.requests.finishAttempt(pending);
        const team = this.queues.getTeam(pending.team);
        const isInTime = now + this.serviceTimes.estimateMean(pending.queue, now) < pending.deadline;
        const isWanted = team !== undefined && pending.waiters.length > 0 && isInTime;
        if (
            isWanted && canRetry(failure.verdict, pending.isIdempotent) && this.pool.hasUntriedExecutor(pending, now)
            && team.retryBudget.tryRetry(now)
        ) {
            this.counters.retries++;
            this.options.onDecision({
                kind: "retried",
                at: now,
                requestKey: pending.key,
                attempt: attempt.id,
                team: pending.team,
                queue: pending.queue,
                executor: row.definition.executor,
                code: failure.code,
                verdict: failure.verdict,
            });
            this.queues.enqueue(team, pending);
            return;
        }
        this.fail(pending, { ...failure, verdict: pending.verdict }, now);
    }
}
