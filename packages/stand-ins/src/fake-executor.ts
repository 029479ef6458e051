/**
 * An in-process fake of an executor.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { ExecutorAddress, ExecutorAnswer, ExecutorReport, ExecutorRequest } from "@waxwingroute/platform";
import { Executor } from "@waxwingroute/platform";
import { match, P } from "ts-pattern";
import type { ExecutorStateOptions } from "./executor-state.js";
import { ExecutorState } from "./executor-state.js";
import type { FakeOptions } from "./fake-call.js";
import { runFakeCall } from "./fake-call.js";
import { FaultInjector } from "./fault-injector.js";

const codes = { unreachable: "executor-unreachable", timedOut: "executor-lost" };

/** Options of `FakeExecutor`. */
export interface FakeExecutorOptions extends ExecutorStateOptions, FakeOptions {
    /** Fault injector to use. Default: a new one. */
    readonly faults?: FaultInjector;
}

/**
 * An executor in memory.
 *
 * @example
 * ```ts
 * const executor = new FakeExecutor({ clock, records: new Records(clock), address });
 * executor.state.setBehaviour({ mode: "hang", delayMs: 0 });
 * ```
 */
export class FakeExecutor extends Executor {
    readonly faults: FaultInjector;
    readonly state: ExecutorState;

    constructor(
        private readonly options: FakeExecutorOptions,
        private readonly source?: string,
        shared?: { readonly faults: FaultInjector; readonly state: ExecutorState; },
    ) {
        super();
        this.faults = shared?.faults ?? options.faults ?? new FaultInjector(options.clock);
        this.state = shared?.state ?? new ExecutorState(options);
    }

    get address(): ExecutorAddress {
        return this.options.address;
    }

    /** Returns a client of the same executor whose calls come from `source`, which can be cut off. */
    forSource(source: string): FakeExecutor {
        return new FakeExecutor(this.options, source, this);
    }

    /** Kills the executor and drops its requests. */
    kill(): void {
        this.faults.setDown(true);
        this.state.reset();
    }

    /** Restarts a killed executor. */
    restart(): void {
        this.faults.setDown(false);
    }

    execute(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>> {
        return runFakeCall(this.options.clock, this.faults, codes, {
            operation: "execute",
            source: this.source,
            isWrite: true,
            timeoutMs: request.timeoutMs,
            run: () => this.runRequest(request),
        });
    }

    list(): Promise<Result<ExecutorReport, Failure>> {
        return runFakeCall(this.options.clock, this.faults, codes, {
            operation: "list",
            source: this.source,
            isWrite: false,
            timeoutMs: this.options.timeoutMs ?? 1_000,
            run: () => this.state.list(),
        });
    }

    private async runRequest(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>> {
        const outcome = await this.state.execute(request);
        return match(outcome)
            .returnType<Result<ExecutorAnswer, Failure>>()
            .with({ kind: P.union("answer", "twice") }, ({ answer }) => Ok(answer))
            .with({ kind: "refused" }, () => {
                const message = `the executor did not start attempt "${request.attempt}"`;
                return Err(createFailure("executor-refused", message, "notRun"));
            })
            .otherwise(() => {
                const message = `the answer to attempt "${request.attempt}" was cut short`;
                return Err(createFailure("executor-lost", message, "mayHaveRun"));
            });
    }
}
