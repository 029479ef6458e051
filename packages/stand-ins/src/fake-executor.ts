/**
 * An executor as an in-process fake.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { ExecutorAddress, ExecutorAnswer, ExecutorReport, ExecutorRequest } from "@waxwingroute/platform";
import { Executor } from "@waxwingroute/platform";
import { match, P } from "ts-pattern";
import type { ExecutorStateOptions } from "./executor-state.js";
import { ExecutorState } from "./executor-state.js";
import { FaultGate } from "./fault-gate.js";
import type { FakeOptions } from "./gated-call.js";
import { runGated } from "./gated-call.js";

const codes = { unreachable: "executor-unreachable", timedOut: "executor-lost" };

/** Options of `FakeExecutor`. */
export interface FakeExecutorOptions extends ExecutorStateOptions, FakeOptions {
    /** Fault gate to use. Default: a new one. */
    readonly gate?: FaultGate;
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
    readonly gate: FaultGate;
    readonly state: ExecutorState;

    constructor(
        private readonly options: FakeExecutorOptions,
        private readonly source?: string,
        shared?: { readonly gate: FaultGate; readonly state: ExecutorState; },
    ) {
        super();
        this.gate = shared?.gate ?? options.gate ?? new FaultGate(options.clock);
        this.state = shared?.state ?? new ExecutorState(options);
    }

    get address(): ExecutorAddress {
        return this.options.address;
    }

    /** Returns access to the same executor from a source that can be cut off. */
    forSource(source: string): FakeExecutor {
        return new FakeExecutor(this.options, source, this);
    }

    /** Ends the executor with all its requests. */
    kill(): void {
        this.gate.setDown(true);
        this.state.reset();
    }

    /** Brings a killed executor back. */
    restart(): void {
        this.gate.setDown(false);
    }

    execute(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>> {
        return runGated(this.options.clock, this.gate, codes, {
            operation: "execute",
            source: this.source,
            isWrite: true,
            timeoutMs: request.timeoutMs,
            run: () => this.run(request),
        });
    }

    list(): Promise<Result<ExecutorReport, Failure>> {
        return runGated(this.options.clock, this.gate, codes, {
            operation: "list",
            source: this.source,
            isWrite: false,
            timeoutMs: this.options.timeoutMs ?? 1_000,
            run: () => this.state.list(),
        });
    }

    private async run(request: ExecutorRequest): Promise<Result<ExecutorAnswer, Failure>> {
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
