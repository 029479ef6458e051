/**
 * Stand-in of the advice service: says which executors may run a step, and gives tickets for them. It handles one call at a
 * time for each calling host, in turn, and goes on with a call when its caller has given up.
 */
import { findQueue } from "./queues.js";
import type { RunRecord } from "./run-record.js";
import type { AdviceReply, AdviceRequest } from "./types.js";
import { getJobOfTask } from "./workload.js";

/** Calls of one host that wait at most, beside the one that is handled. */
const maxWaitingCalls = 32;
/** Executors that may run a step at least, so that each job can be done. */
const minGranted = 2;

/** An executor as the service knows it. */
export interface AdvisedExecutor {
    readonly id: string;
    /** Number of the present life; `undefined` while it is down. */
    readonly life: number | undefined;
}

/** The surroundings of a service. */
export interface AdviceServiceOptions {
    readonly seed: number;
    readonly record: RunRecord;
    /** Returns all executors. */
    readonly listExecutors: () => readonly AdvisedExecutor[];
}

interface Ticket {
    readonly step: string;
    readonly executor: string;
    readonly life: number | undefined;
    readonly validUntil: number;
}

interface WaitingCall {
    readonly request: AdviceRequest;
    readonly getSlowness: () => number;
    readonly onReply: (reply: AdviceReply) => void;
}

/** The calls of one host. */
interface Lane {
    readonly waiting: WaitingCall[];
    isBusy: boolean;
}

/** Decides for all hosts, and checks the tickets for the executors. */
export class AdviceService {
    private readonly lanes = new Map<string, Lane>();
    private readonly tickets = new Map<string, Ticket>();
    private readonly granted = new Map<string, ReadonlySet<string>>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private ticketCount = 0;
    private handledMs = 0;
    private fullCount = 0;
    private callCount = 0;

    constructor(private readonly options: AdviceServiceOptions) {}

    /** Calls that were handled, the time spent on them, and calls that were refused. */
    get totals(): { readonly calls: number; readonly workMs: number; readonly refused: number; } {
        return { calls: this.callCount, workMs: this.handledMs, refused: this.fullCount };
    }

    /** Takes a call. `getSlowness` returns the factor by which the work of this host's calls takes longer. */
    ask(host: string, call: WaitingCall): void {
        const lane = this.lanes.get(host) ?? { waiting: [], isBusy: false };
        this.lanes.set(host, lane);
        if (lane.waiting.length >= maxWaitingCalls) {
            this.fullCount += 1;
            call.onReply({ kind: "full" });
            return;
        }
        lane.waiting.push(call);
        if (!lane.isBusy) {
            this.handleNext(lane);
        }
    }

    /** Returns whether the policy lets an executor run a step; without advice, each may. */
    allows(step: string, executor: string): boolean {
        return this.listGranted(step)?.has(executor) ?? true;
    }

    /** Returns whether a start may go ahead with this ticket, which may be empty. */
    isValid(ticket: string, step: string, { id, life }: AdvisedExecutor): boolean {
        if (this.listGranted(step) === undefined) {
            return true;
        }
        const row = this.tickets.get(ticket);
        return row !== undefined && row.step === step && row.executor === id && row.life === life
            && row.validUntil >= this.options.record.now;
    }

    close(): void {
        this.timers.forEach(timer => clearTimeout(timer));
    }

    private handleNext(lane: Lane): void {
        const call = lane.waiting.shift();
        lane.isBusy = call !== undefined;
        if (call === undefined) {
            return;
        }
        const { request: { step, executors }, getSlowness, onReply } = call;
        const advice = this.findAdvice(step);
        const workMs = advice === undefined
            ? 0
            : (advice.callMs + advice.perExecutorMs * executors.length) * getSlowness();
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.callCount += 1;
            this.handledMs += workMs;
            onReply(advice === undefined ? { kind: "invalid" } : this.grant(step, executors, advice.validMs));
            this.handleNext(lane);
        }, workMs);
        this.timers.add(timer);
    }

    private grant(step: string, named: readonly string[], validMs: number): AdviceReply {
        const granted = this.listGranted(step)!;
        const validUntil = this.options.record.now + validMs;
        const lives = new Map(this.options.listExecutors().map(({ id, life }) => [id, life]));
        const grants = named.filter(executor => granted.has(executor)).map(executor => {
            this.ticketCount += 1;
            const ticket = `t${this.ticketCount}`;
            this.tickets.set(ticket, { step, executor, life: lives.get(executor), validUntil });
            return { executor, ticket };
        });
        return { kind: "grants", grants };
    }

    private findAdvice(step: string) {
        const job = this.options.record.jobs.get(getJobOfTask(step));
        return job === undefined ? undefined : findQueue(job.queue)?.advice;
    }

    /** Returns the executors that may run a step, the same at all times; `undefined` without advice. */
    private listGranted(step: string): ReadonlySet<string> | undefined {
        const known = this.granted.get(step);
        const advice = known === undefined ? this.findAdvice(step) : undefined;
        if (advice === undefined) {
            return known;
        }
        const ids = this.options.listExecutors().map(({ id }) => id);
        const count = Math.max(minGranted, Math.round(advice.grantShare * ids.length));
        const ranked = ids.map(id => ({ id, rank: computeHash(`${this.options.seed} ${step} ${id}`) }))
            .sort((first, second) => first.rank - second.rank);
        const granted = new Set(ranked.slice(0, count).map(({ id }) => id));
        this.granted.set(step, granted);
        return granted;
    }
}

/** FNV-1a with a final mix, so that texts that differ in one character only are far apart. */
function computeHash(text: string): number {
    let hash = 0x811c9dc5;
    for (const character of text) {
        hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
    }
    hash = Math.imul(hash ^ hash >>> 16, 0x7feb352d);
    hash = Math.imul(hash ^ hash >>> 15, 0x846ca68b);
    return (hash ^ hash >>> 16) >>> 0;
}
