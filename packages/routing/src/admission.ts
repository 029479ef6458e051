/**
 * Decides whether a request is accepted. A refusal must stay far cheaper than a served request, so the cheap checks come
 * first and nothing is allocated for the request before the last one.
 */
import { createFailure, Err } from "@waxwingroute/core";
import { match } from "ts-pattern";
import { encodeKeyPrefix, parseRequestKey } from "./request-key.js";
import type { RequestKeyParts } from "./request-key.js";
import type { RequestTable } from "./request-table.js";
import type { ServiceTimes } from "./service-times.js";
import type { SharedRefusal, TeamQueues, TeamRow } from "./team-queues.js";
import type { RequestFailure, ResolvedRouterOptions, RouterRequest } from "./types.js";

// Waiting times scatter around their estimate. The allowance keeps accepted work from missing its deadline in the queue.
const waitMarginFactor = 1.2;
// In mean deviations of the service time. An accepted request that times out costs its executor a slot for longer than an
// answer; with 1 instead of 3, twice the capacity brought 112 useful answers/s instead of 150 (exponential times).
const serviceTimeDeviations = 3;

// Callers that are told to wait need no newer estimate.
const refusalReuseMs = 50;

export class Admission {
    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly requests: RequestTable,
        private readonly queues: TeamQueues,
        private readonly serviceTimes: ServiceTimes,
    ) {}

    /** Returns why a key that is not in use cannot be used, or its parts. `nextSequence` is the first not issued. */
    checkKey(key: string, nextSequence: number): RequestFailure | RequestKeyParts {
        const parts = parseRequestKey(key);
        if (parts === undefined) {
            return createFailure("bad-request-key", "the request key is not one that this system issued", "notRun");
        }
        const { shard, epoch } = this.options;
        const ownPrefix = `"${encodeKeyPrefix(shard, epoch)}"`;
        const keyState = parts.shard !== shard
            ? "otherShard"
            : parts.epoch < epoch
            ? "olderEpoch"
            : parts.epoch > epoch
            ? "newerEpoch"
            : parts.sequence < this.requests.lowWaterMark
            ? "forgotten"
            : parts.sequence >= nextSequence
            ? "notIssued"
            : "unused";
        const refuse = (code: string, reason: string) =>
            createFailure(code, `request key "${key}" ${reason}`, "mayHaveRun");
        return match(keyState)
            .with("otherShard", () => refuse("wrong-shard", `belongs to another shard than ${ownPrefix}`))
            .with("olderEpoch", () => refuse("request-key-expired", `was issued before the present owner ${ownPrefix}`))
            .with("newerEpoch", () => refuse("owner-replaced", `was issued by a later owner than ${ownPrefix}`))
            .with("forgotten", () => refuse("request-key-expired", "is too old to tell whether it was used"))
            .with("notIssued", () => refuse("request-key-unknown", `was not issued by the present owner ${ownPrefix}`))
            .with("unused", () => parts)
            .exhaustive();
    }

    /** Returns the refusal of a team whose queue is full, or `undefined` if it is not. */
    findQueueFullRefusal(request: RouterRequest, team: TeamRow, now: number): SharedRefusal | undefined {
        return team.waiting < this.options.maxWaitingPerTeam
            ? undefined
            : this.ensureQueueFullRefusal(request, team, now);
    }

    /** Returns why a request is refused now, or `undefined`. */
    checkCapacity(request: RouterRequest, team: TeamRow, now: number): RequestFailure | undefined {
        if (this.requests.bodyBytes + request.body.byteLength > this.options.maxBodyBytes) {
            const message = `the bodies of all requests in progress would exceed ${this.options.maxBodyBytes} bytes`;
            return createFailure("bodies-full", message, "notRun", this.estimateRetryAfter(request, team, now));
        }
        const waiting = team.deadlineQueues.get(request.queue)?.size ?? 0;
        const limit = Math.max(1, this.options.findQueueLimit(request.queue) ?? Infinity);
        if (waiting >= limit) {
            const message = `queue "${request.queue}" has ${waiting} waiting requests, the most allowed`;
            return createFailure("queue-full", message, "notRun", this.estimateRetryAfter(request, team, now));
        }
        return this.checkDeadline(request, team, now);
    }

    /** While a queue is full, its requests share one refusal, because refusals come in masses then. */
    private ensureQueueFullRefusal(request: RouterRequest, team: TeamRow, now: number): SharedRefusal {
        if (team.queueFullRefusal === undefined || now - team.queueFullRefusal.at >= refusalReuseMs) {
            const message = `team "${request.team}" has ${team.waiting} waiting requests, the most allowed`;
            const failure = createFailure("queue-full", message, "notRun", this.estimateRetryAfter(request, team, now));
            team.queueFullRefusal = { failure, result: Promise.resolve(Err(failure)), at: now };
        }
        return team.queueFullRefusal;
    }

    private checkDeadline(request: RouterRequest, team: TeamRow, now: number): RequestFailure | undefined {
        const remainingMs = request.deadline - now;
        if (remainingMs <= 0) {
            return createFailure("deadline-exceeded", "the deadline had passed when the request arrived", "notRun");
        }
        const meanMs = this.serviceTimes.estimateMean(request.queue, now);
        const waitMs = this.queues.estimateWait(team, request.queue, request.deadline, now);
        const deviationMs = waitMs === 0 ? 0 : this.serviceTimes.estimateDeviation(request.queue, now);
        const neededMs = waitMs * waitMarginFactor + meanMs + serviceTimeDeviations * deviationMs;
        if (neededMs <= remainingMs) {
            return undefined;
        }
        const message = `the deadline is in ${Math.ceil(remainingMs)} ms, but queue "${request.queue}" needs about ${
            Math.ceil(neededMs)
        } ms`;
        return createFailure("deadline-unreachable", message, "notRun", Math.ceil(waitMs));
    }

    private estimateRetryAfter(request: RouterRequest, team: TeamRow, now: number): number {
        return Math.max(1, Math.ceil(this.queues.estimateWait(team, request.queue, request.deadline, now)));
    }
}
