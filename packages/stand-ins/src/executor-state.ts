/**
 * The requests of one executor stand-in. It starts requests even beyond its slots, and records what a
 * correct scheduler never sends.
 */
import type { AttemptId, Clock, Failure, QueueId, Result } from "@waxwingroute/core";
import { Ok } from "@waxwingroute/core";
import type { ExecutorAddress, ExecutorAnswer, ExecutorReport, ExecutorRequest } from "@waxwingroute/platform";
import { match } from "ts-pattern";
import type { Records } from "./records.js";

/**
 * How an executor handles requests:
 * - `echo`: answers the body, a line feed, the attempt id and a line feed.
 * - `fail`: answers status 500.
 * - `refuse`: reports that it did not start the request.
 * - `hang`: runs until the behaviour changes.
 * - `cut`: runs the request and sends part of the answer.
 * - `twice`: sends the answer twice.
 * - `late`: answers 200 ms after the caller's timeout.
 */
export type ExecutorMode = "echo" | "fail" | "refuse" | "hang" | "cut" | "twice" | "late";

/** How an executor handles requests, and how long each runs. */
export interface ExecutorBehaviour {
    readonly mode: ExecutorMode;
    /** Milliseconds for which a request runs. */
    readonly delayMs: number;
}

/** How a request ended. `lost` means that the executor was killed while it ran. */
export type ExecutorOutcome =
    | { readonly kind: "answer" | "cut" | "twice"; readonly answer: ExecutorAnswer; }
    | { readonly kind: "refused" | "lost"; };

/** Options of an executor stand-in. */
export interface ExecutorStateOptions {
    readonly clock: Clock;
    readonly records: Records;
    readonly address: ExecutorAddress;
}

/** Milliseconds after the caller's timeout at which a late answer is sent. */
const lateAnswerDelayMs = 200;

/** Number of bytes at the start of each request body that are recorded. */
const bodyStartBytes = 64;

/** The state of one executor. */
export class ExecutorState {
    isDraining = false;
    private behaviour: ExecutorBehaviour = { mode: "echo", delayMs: 0 };
    private readonly behaviourByQueue = new Map<QueueId, ExecutorBehaviour>();
    private readonly running = new Map<symbol, AttemptId>();
    private hangingRequests: (() => void)[] = [];
    private generation = 0;

    constructor(private readonly options: ExecutorStateOptions) {}

    /** Sets the behaviour for a queue, or for all queues without their own, and releases hanging requests. */
    setBehaviour(behaviour: ExecutorBehaviour, queue?: QueueId): void {
        if (queue === undefined) {
            this.behaviour = behaviour;
        }
        else {
            this.behaviourByQueue.set(queue, behaviour);
        }
        this.releaseHangingRequests();
    }

    /** Runs one request. */
    async execute(request: ExecutorRequest): Promise<ExecutorOutcome> {
        const { records, address, clock } = this.options;
        const behaviour = this.behaviourByQueue.get(request.queue) ?? this.behaviour;
        if (behaviour.mode === "refuse") {
            return { kind: "refused" };
        }
        const { attempt, requestKey, queue, team } = request;
        const { executor } = address;
        const bodyStart = Buffer.from(request.body.subarray(0, bodyStartBytes)).toString("latin1");
        const runDetails = { executor, requestKey, attempt, queue, team, bodyStart };
        const run = records.recordRequestStart(runDetails, request.isIdempotent);
        const runId = Symbol(attempt);
        const { generation } = this;
        this.running.set(runId, attempt);
        this.recordOverload("slots", address.slots, this.running.size);
        await this.waitForEnd(behaviour, request);
        run.endedAt = clock.getNow();
        this.running.delete(runId);
        return generation === this.generation ? createOutcome(behaviour.mode, request) : { kind: "lost" };
    }

    list(): Result<ExecutorReport, Failure> {
        return Ok({
            executor: this.options.address.executor,
            slots: this.options.address.slots,
            isDraining: this.isDraining,
            running: [...this.running.values()],
        });
    }

    /** Records an overload if `count` open connections are too many. */
    recordConnections(count: number): void {
        this.recordOverload("connections", this.options.address.connections, count);
    }

    /** Drops all requests, as in a power failure. */
    reset(): void {
        this.generation++;
        this.running.clear();
        this.releaseHangingRequests();
    }

    private async waitForEnd(behaviour: ExecutorBehaviour, request: ExecutorRequest): Promise<void> {
        if (behaviour.mode === "hang") {
            await new Promise<void>(resolve => {
                this.hangingRequests.push(resolve);
            });
        }
        const delayMs = behaviour.mode === "late" ? request.timeoutMs + lateAnswerDelayMs : behaviour.delayMs;
        if (delayMs > 0) {
            await this.options.clock.wait(delayMs);
        }
    }

    private releaseHangingRequests(): void {
        const released = this.hangingRequests;
        this.hangingRequests = [];
        for (const resolve of released) {
            resolve();
        }
    }

    private recordOverload(kind: "slots" | "connections", bound: number, count: number): void {
        const { records, address, clock } = this.options;
        if (count > bound) {
            records.overloads.push({ executor: address.executor, kind, bound, count, at: clock.getNow() });
        }
    }
}

function createOutcome(mode: ExecutorMode, request: ExecutorRequest): ExecutorOutcome {
    const { attempt, contentType } = request;
    const echo: ExecutorAnswer = { attempt, status: 200, contentType, body: createEcho(request) };
    return match(mode)
        .returnType<ExecutorOutcome>()
        .with("fail", () => ({ kind: "answer", answer: { ...echo, status: 500 } }))
        .with("cut", () => ({ kind: "cut", answer: echo }))
        .with("twice", () => ({ kind: "twice", answer: echo }))
        .with("refuse", () => ({ kind: "refused" }))
        .with("echo", "hang", "late", () => ({ kind: "answer", answer: echo }))
        .exhaustive();
}

/** Returns the body of the answer to a request: its body, a line feed, the attempt id and a line feed. */
function createEcho(request: ExecutorRequest): Uint8Array {
    return Buffer.concat([request.body, Buffer.from(`\n${request.attempt}\n`)]);
}

/** Returns whether `answer` is the whole echo of the request body `body`. */
export function isWholeEcho(body: Uint8Array, answer: Uint8Array): boolean {
    const start = Buffer.from(answer.subarray(0, body.length));
    const rest = Buffer.from(answer.subarray(body.length)).toString("utf8");
    return start.equals(body) && /^\n[^\n]+\n$/.test(rest);
}
