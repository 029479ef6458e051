/**
 * An executor for tests. It runs each request that it accepts, even without a free slot, and records each run.
 */
import type { AttemptId, Clock, ExecutorId, Failure, RequestKey, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import { Executor } from "@waxwingroute/platform";
import type { ExecutorAnswer, ExecutorReport, ExecutorRequest } from "@waxwingroute/platform";

/** How the fake executor handles one request. */
export interface FakeExecutorBehaviour {
    /** Milliseconds for which the request runs. */
    readonly durationMs: number;
    /**
     * `answer`: runs and answers. `error`: runs and answers with status 500. `refuse`: does not run. `lose`: runs, but
     * the connection ends after half of the time. `silent`: runs, and the call never ends. `confuse`: runs and answers
     * with the id and body of another attempt.
     */
    readonly kind: "answer" | "error" | "refuse" | "lose" | "silent" | "confuse";
}

/** An executor without a process or a network. Its requests take virtual time on the given clock. */
export class FakeExecutor extends Executor {
    readonly running = new Set<AttemptId>();
    /** Each request that started to run. */
    readonly runs: ExecutorRequest[] = [];
    /** Highest number of requests that ran at the same time. */
    maxRunning = 0;
    isDraining = false;
    isReachable = true;
    /** Returns how a request is handled. */
    chooseBehaviour: (request: ExecutorRequest) => FakeExecutorBehaviour;

    constructor(readonly executor: ExecutorId, readonly slots: number, private readonly clock: Clock, durationMs = 10) {
        super();
        this.chooseBehaviour = () => ({ durationMs, kind: "answer" });
    }

    async execute(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>> {
        if (!this.isReachable) {
            return Err(createFailure("executor-unreachable", `executor "${this.executor}" is unreachable`, "notRun"));
        }
        const { durationMs, kind } = this.chooseBehaviour(request);
        if (kind === "refuse") {
            return Err(createFailure("executor-refused", `executor "${this.executor}" refused the request`, "notRun"));
        }
        this.start(request, durationMs);
        if (kind === "silent") {
            return new Promise(() => undefined);
        }
        await this.clock.wait(Math.min(request.timeoutMs, kind === "lose" ? durationMs / 2 : durationMs));
        if (kind === "lose" || durationMs > request.timeoutMs) {
            return Err(createFailure("executor-lost", `executor "${this.executor}" gave no answer`, "mayHaveRun"));
        }
        if (kind === "confuse") {
            const attempt = toId<AttemptId>("another");
            return Ok({ attempt, status: 200, contentType: "text/plain", body: Buffer.from("another answer") });
        }
        const status = kind === "error" ? 500 : 200;
        return Ok({ attempt: request.attempt, status, contentType: "text/plain", body: request.body });
    }

    async list(): Promise<Result<ExecutorReport, Failure>> {
        if (!this.isReachable) {
            return Err(createFailure("executor-unreachable", `executor "${this.executor}" is unreachable`, "notRun"));
        }
        const { executor, slots, isDraining } = this;
        return Ok({ executor, slots, isDraining, running: [...this.running] });
    }

    /** Returns how often the request with a key ran. */
    countRuns(key: RequestKey): number {
        return this.runs.filter(run => run.requestKey === key).length;
    }

    private start(request: ExecutorRequest, durationMs: number): void {
        this.runs.push(request);
        this.running.add(request.attempt);
        this.maxRunning = Math.max(this.maxRunning, this.running.size);
        this.clock.schedule(durationMs, () => this.running.delete(request.attempt));
    }
}
