/**
 * The request router of a shard owner.
 *
 * It keeps track of the executors' slots, the waiting requests and the used request keys. All state is in memory: a new
 * owner creates a new router, refuses the keys of earlier epochs, and lists the executors to learn what they still run.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { AttemptId, ExecutorId, RequestKey, TeamId } from "@waxwingroute/core";
import { hash } from "node:crypto";
import { Admission } from "./admission.js";
import { Dispatcher } from "./dispatcher.js";
import { ExecutorLister } from "./executor-lister.js";
import { ExecutorPool } from "./executor-pool.js";
import { ExecutorReports } from "./executor-reports.js";
import { encodeKeyPrefix, encodeRequestKey } from "./request-key.js";
import { RequestTable } from "./request-table.js";
import { ServiceTimes } from "./service-times.js";
import { TeamQueues } from "./team-queues.js";
import type { TeamRow } from "./team-queues.js";
import { resolveRouterOptions } from "./types.js";
import type {
    RequestFailure,
    RequestResult,
    RequestRouterOptions,
    ResolvedRouterOptions,
    RouterCounters,
    RouterExecutor,
    RouterRequest,
    RouterTeam,
} from "./types.js";

/**
 * Routes the requests of one shard.
 *
 * @example
 * ```ts
 * const router = new RequestRouter({ clock, random, shard, epoch, canSend: () => owner.canPlace() });
 * router.updateTeam({ team, weight: 1, slots: 40 });
 * router.updateExecutor({ executor, access, slots: 8, connections: 64, queues: [], isDraining: false });
 * const timer = setInterval(() => router.tick(clock.getNow()), 20);
 * const deadline = clock.getNow() + 5000;
 * const result = await router.execute({ team, queue, isIdempotent: false, deadline, body, contentType });
 * ```
 */
export class RequestRouter {
    private readonly options: ResolvedRouterOptions;
    private readonly counters: RouterCounters = {
        requests: 0,
        answered: 0,
        failed: 0,
        refused: 0,
        retries: 0,
        duplicates: 0,
        lateAnswers: 0,
        mismatchedAnswers: 0,
        cancelled: 0,
        withheldSends: 0,
        ejections: 0,
    };
    private readonly pool: ExecutorPool;
    private readonly reports: ExecutorReports;
    private readonly queues: TeamQueues;
    private readonly requests: RequestTable;
    private readonly admission: Admission;
    private readonly dispatcher: Dispatcher;
    private readonly lister: ExecutorLister;
    private nextSequence = 1;
    private stopDeadline: number | undefined;
    private readonly stopResolvers: (() => void)[] = [];

    constructor(options: RequestRouterOptions) {
        this.options = resolveRouterOptions(options);
        const attemptPrefix = `${encodeKeyPrefix(options.shard, options.epoch)}${options.random.getHex(8)}.`;
        const serviceTimes = new ServiceTimes();
        this.pool = new ExecutorPool(this.options);
        this.reports = new ExecutorReports(this.pool, attemptPrefix);
        this.queues = new TeamQueues(this.pool, serviceTimes);
        this.requests = new RequestTable(this.options, this.counters, pending => this.queues.removeRequest(pending));
        this.admission = new Admission(this.options, this.requests, this.queues, serviceTimes);
        this.lister = new ExecutorLister(this.options, this.pool, this.reports);
        this.dispatcher = new Dispatcher(
            this.options,
            attemptPrefix,
            this.requests,
            this.queues,
            this.pool,
            serviceTimes,
            this.counters,
        );
    }

    /** Issues the key for a later request. */
    issueKey(): RequestKey {
        const { shard, epoch, random } = this.options;
        return encodeRequestKey({ shard, epoch, sequence: this.nextSequence++, random: random.getHex(16) });
    }

    /**
     * Runs a request on an executor and returns the complete answer. A request with a used key gets the first result of
     * that key. Failure codes by verdict:
     *
     * - `notRun`: `stopping`, `unknown-team`, `bad-request-key`, `queue-full`, `bodies-full`, `deadline-unreachable`
     * - `mayHaveRun`: `wrong-shard`, `request-key-expired`, `request-key-unknown`, `request-key-conflict`,
     *   `owner-replaced`
     * - `ran`: `answer-evicted`
     * - any verdict: `deadline-exceeded`, `cancelled`, `stopping`, and the failures of `Executor.execute`
     */
    execute(request: RouterRequest): Promise<RequestResult> {
        const now = this.options.clock.getNow();
        this.counters.requests++;
        const { requestKey } = request;
        const usedKey = requestKey === undefined ? undefined : this.requests.find(requestKey);
        if (requestKey !== undefined && usedKey !== undefined) {
            return this.joinUsedKey(request, requestKey, now);
        }
        if (this.stopDeadline !== undefined) {
            return this.refuse(request, createFailure("stopping", "the owner of the shard is stopping", "notRun"), now);
        }
        const team = this.queues.getTeam(request.team);
        if (team === undefined) {
            const message =
                `team "${request.team}" is not yet known in shard "${this.options.shard}": retry, or check its name`;
            return this.refuse(request, createFailure("unknown-team", message, "notRun"), now);
        }
        return this.accept(request, team, now);
    }

    /** Adds or updates an executor. Nothing is sent to a new one before its first listing or `adoptAttempts`. */
    updateExecutor(executor: RouterExecutor): void {
        this.pool.update(executor);
        this.dispatcher.dispatch(this.options.clock.getNow());
    }

    /** Removes an executor: nothing more is sent to it, and the attempts that it runs still end in the usual way. */
    removeExecutor(executor: ExecutorId): void {
        this.pool.remove(executor);
    }

    /**
     * Adopts the attempts that an executor was running when this owner took over. Each occupies a slot until a listing
     * of the executor no longer contains it.
     */
    adoptAttempts(executor: ExecutorId, attempts: readonly AttemptId[]): void {
        const now = this.options.clock.getNow();
        this.reports.adoptAttempts(executor, attempts, now);
        this.dispatcher.dispatch(now);
    }

    /** Adds or updates a team. */
    updateTeam(team: RouterTeam): void {
        this.queues.updateTeam(team);
        this.dispatcher.dispatch(this.options.clock.getNow());
    }

    /** Removes a team and fails its waiting requests. */
    removeTeam(team: TeamId): void {
        const now = this.options.clock.getNow();
        for (const pending of this.queues.removeTeam(team)) {
            const message = `team "${team}" was removed from shard "${this.options.shard}"`;
            this.dispatcher.fail(pending, createFailure("unknown-team", message, pending.verdict), now);
        }
    }

    /**
     * Ends expired requests, frees expired slots, ejects outliers, lists the executors that are due, sends waiting
     * requests and completes a stop. Call it every 10 to 50 ms.
     */
    tick(now: number): void {
        this.dispatcher.expireRequests(now);
        this.requests.expireWaiters(now);
        this.requests.evict(now);
        this.pool.expire(now);
        for (const row of this.pool.startEjections(now)) {
            this.counters.ejections++;
            this.options.onDecision({ kind: "ejected", at: now, executor: row.definition.executor });
        }
        this.lister.poll(now, () => this.dispatcher.dispatch(this.options.clock.getNow()));
        this.dispatcher.dispatch(now);
        this.finishStop(now);
    }

    /**
     * Refuses new requests and resolves when the accepted ones have ended. After `waitMs` milliseconds (default 5,000)
     * the rest fail: running requests with `mayHaveRun`, waiting ones with `notRun` unless an earlier attempt may have
     * run. The caller must keep calling `tick` until the promise resolves.
     */
    stop(waitMs = 5000): Promise<void> {
        this.stopDeadline ??= this.options.clock.getNow() + waitMs;
        return new Promise(resolve => {
            this.stopResolvers.push(resolve);
            this.finishStop(this.options.clock.getNow());
        });
    }

    /** Returns how many slots a team uses and how many of its requests wait. */
    getTeamUsage(team: TeamId): { readonly running: number; readonly waiting: number; } {
        return { running: this.pool.countUsedSlots(team), waiting: this.queues.getTeam(team)?.waiting ?? 0 };
    }

    /** Returns the totals, and the current numbers of waiting and running requests. */
    getCounters(): RouterCounters & { readonly waiting: number; readonly running: number; } {
        return { ...this.counters, waiting: this.queues.waiting, running: this.requests.running.size };
    }

    private accept(request: RouterRequest, team: TeamRow, now: number): Promise<RequestResult> {
        team.retryBudget.recordRequest(now);
        let sequence = this.nextSequence;
        if (request.requestKey !== undefined) {
            const checked = this.admission.checkKey(request.requestKey, this.nextSequence);
            if ("code" in checked) {
                return this.refuse(request, checked, now);
            }
            sequence = checked.sequence;
        }
        const queueFullRefusal = this.admission.findQueueFullRefusal(request, team, now);
        if (queueFullRefusal !== undefined) {
            return this.refuse(request, queueFullRefusal.failure, now, queueFullRefusal.result);
        }
        const refusal = this.admission.checkCapacity(request, team, now);
        if (refusal !== undefined) {
            return this.refuse(request, refusal, now);
        }
        const key = request.requestKey ?? this.issueKey();
        const pending = this.requests.create(request, key, sequence, computeFingerprint(request), now);
        this.queues.enqueue(team, pending);
        const result = this.requests.join(pending, request);
        this.dispatcher.dispatch(now);
        return result;
    }

    private joinUsedKey(request: RouterRequest, requestKey: RequestKey, now: number): Promise<RequestResult> {
        const usedKey = this.requests.find(requestKey)!;
        const { team, queue } = request;
        if (usedKey.team !== team || usedKey.fingerprint !== computeFingerprint(request)) {
            const message = `request key "${requestKey}" was already used for a different request`;
            return this.refuse(request, createFailure("request-key-conflict", message, "mayHaveRun"), now);
        }
        this.counters.duplicates++;
        this.options.onDecision({ kind: "duplicate", at: now, requestKey, team, queue });
        return usedKey.result === undefined
            ? this.requests.join(usedKey.work!, request)
            : Promise.resolve(usedKey.result);
    }

    /** Records a refusal and returns it. A request without a key gets `sharedResult`, if there is one. */
    private refuse(
        request: RouterRequest,
        failure: RequestFailure,
        now: number,
        sharedResult?: Promise<RequestResult>,
    ): Promise<RequestResult> {
        this.counters.refused++;
        const { requestKey, team, queue } = request;
        const { code, verdict } = failure;
        this.options.onDecision({ kind: "refused", at: now, requestKey, team, queue, code, verdict, elapsedMs: 0 });
        if (requestKey !== undefined) {
            return Promise.resolve(Err({ ...failure, requestKey }));
        }
        return sharedResult ?? Promise.resolve(Err(failure));
    }

    private finishStop(now: number): void {
        if (this.stopDeadline === undefined) {
            return;
        }
        if (now >= this.stopDeadline) {
            const message = "the owner of the shard stopped before the request ended";
            for (const pending of this.queues.listWaiting()) {
                this.queues.removeRequest(pending);
                this.dispatcher.fail(pending, createFailure("stopping", message, pending.verdict), now);
            }
            for (const pending of [...this.requests.running]) {
                this.dispatcher.fail(pending, createFailure("stopping", message, "mayHaveRun"), now);
            }
        }
        if (this.queues.waiting === 0 && this.requests.running.size === 0) {
            this.stopResolvers.splice(0).forEach(resolve => resolve());
        }
    }
}

/** Identifies the content of a request, so that one key is not used for two different requests. */
function computeFingerprint({ queue, isIdempotent, contentType, body }: RouterRequest): string {
    return `${queue} ${isIdempotent} ${contentType} ${hash("sha256", body, "base64")}`;
}
