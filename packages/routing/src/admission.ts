/**
 * Admission control: decides whether a request is accepted. A refusal must stay far cheaper than a served request, so
 * the cheap checks come first and nothing is allocated for the request before it has passed the last one.
 */
import { createFailure, Err } from "@waxwingroute/core";
import { match } from "ts-pattern";
import { encodeKeyPrefix, parseRequestKey } from "./request-key.js";
import type { RequestKeyParts } from "./request-key.js";
import type { RequestTable } from "./request-table.js";
import type { ServiceTimes } from "./service-times.js";
import type { SharedRefusal, TeamQueues, TeamRow } from "./team-queues.js";
import type { RequestFailure, ResolvedRouterOptions, RouterRequest } from "./types.js";

// Waiting times vary around their estimate; the margin keeps accepted requests from expiring in the queue.
const waitMarginFactor = 1.2;
// Mean deviations added to the mean service time. An accepted request that times out occupies a slot for longer than an
// answered one: with 1 instead of 3, a load of twice the capacity gave 112 instead of 150 answers/s in time
// (exponential service times).
const serviceTimeDeviations = 3;

// Within this time the retry delay of an earlier refusal is recent enough for the next caller.
const refusalReuseMs = 50;

/** Checks the request key, the limits and the deadline of a new request. */
export class Admission {
    constructor(
        private readonly options: ResolvedRouterOptions,
        private readonly requests: RequestTable,
        private readonly queues: TeamQueues,
        private readonly serviceTimes: ServiceTimes,
    ) {}

    /**
     * Returns the parts of a key that is not in the table of used keys, or why the key cannot be used. `nextSequence`
     * is the lowest sequence number that has not been issued.
     */
    checkKey(key: string, nextSequence: number): RequestFailure | RequestKeyParts {
        const parts = parseRequestKey(key);
        if (parts === undefined) {
            return createFailure(
                "bad-request-key",
                "the request key does not have the format of an issued key",
                "notRun",
            );
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
        const createRefusal = (code: string, reason: string) =>
            createFailure(code, `request key "${key}" ${reason}`, "mayHaveRun");
        return match(keyState)
            .with("otherShard", () => createRefusal("wrong-shard", `belongs to another shard, not to ${ownPrefix}`))
            .with(
                "olderEpoch",
                () => createRefusal("request-key-expired", `was issued in an epoch before ${ownPrefix}`),
            )
            .with("newerEpoch", () => createRefusal("owner-replaced", `was issued in an epoch after ${ownPrefix}`))
            .with("forgotten", () => createRefusal("request-key-expired", "is too old to tell whether it was used"))
            .with("notIssued", () => createRefusal("request-key-unknown", `has not been issued in ${ownPrefix}`))
            .with("unused", () => parts)
            .exhaustive();
    }

    /** Returns the refusal for a team that already has the maximum number of waiting requests, or `undefined`. */
    findQueueFullRefusal(request: RouterRequest, team: TeamRow, now: number): SharedRefusal | undefined {
        return team.waiting < this.options.maxWaitingPerTeam
            ? undefined
            : this.ensureQueueFullRefusal(request, team, now);
    }

    /** Returns why a request cannot be accepted now, or `undefined` if it can. */
    checkCapacity(request: RouterRequest, team: TeamRow, now: number): RequestFailure | undefined {
        if (this.requests.bodyBytes + request.body.byteLength > this.options.maxBodyBytes) {
            const message = `the bodies of all requests in progress would exceed ${this.options.maxBodyBytes} bytes`;
            return createFailure("bodies-full", message, "notRun", this.estimateRetryAfter(request, team, now));
        }
        const waiting = team.deadlineQueues.get(request.queue)?.size ?? 0;
        const limit = Math.max(1, this.options.findQueueLimit(request.queue) ?? Infinity);
        if (waiting >= limit) {
            const message = `queue "${request.queue}" has ${waiting} waiting requests of the team, its limit`;
            return createFailure("queue-full", message, "notRun", this.estimateRetryAfter(request, team, now));
        }
        return this.checkDeadline(request, team, now);
    }

    /** While a team is at its limit, its requests share one refusal, because many of them are refused then. */
    private ensureQueueFullRefusal(request: RouterRequest, team: TeamRow, now: number): SharedRefusal {
        if (team.queueFullRefusal === undefined || now - team.queueFullRefusal.at >= refusalReuseMs) {
            const message = `team "${request.team}" has ${team.waiting} waiting requests, its limit`;
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
        const message = `the deadline is in ${
            Math.ceil(remainingMs)
        } ms, but a request in queue "${request.queue}" needs about ${Math.ceil(neededMs)} ms`;
        return createFailure("deadline-unreachable", message, "notRun", Math.ceil(waitMs));
    }

    private estimateRetryAfter(request: RouterRequest, team: TeamRow, now: number): number {
        return Math.max(1, Math.ceil(this.queues.estimateWait(team, request.queue, request.deadline, now)));
    }
}
