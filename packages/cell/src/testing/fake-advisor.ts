/**
 * An in-memory advisor service for tests. Like the platform's, it works on one call of each calling host at a time, in
 * the order of arrival, lets a bounded number wait and refuses further ones, and goes on with a call whose caller has
 * given up. Its faults, for one host or all: it is silent, refuses, or is slower than declared.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { AdviceGrant, AdviceRules, StepKey } from "@waxwingroute/workflow";
import { Advisor } from "../advisor.js";

/** `silent`: calls are neither worked on nor answered. `refusing`: calls are refused without work. */
export type AdvisorMode = "up" | "silent" | "refusing";

/** The clock, the cost of a call and the answers of a fake advisor service. */
export interface FakeAdviceServiceOptions {
    readonly clock: Clock;
    /** Returns the cost of a call about a step. */
    readonly getRules: (step: StepKey) => Pick<AdviceRules, "callMs" | "perExecutorMs">;
    /** Returns whether the step may run on the executor; the answer has to be the same each time. */
    readonly isGranted: (step: StepKey, executor: ExecutorId) => boolean;
    /** Returns whether each request about the step is rejected, as one about an unknown step is. Default: none. */
    readonly isRejected?: (step: StepKey) => boolean;
    /** Most calls of one host that wait for the one in work. Default 32. */
    readonly maxWaiting?: number;
    /** Time from the caller to the service, and back, ms. Default 5. */
    readonly latencyMs?: number;
}

/** What the service has counted. */
export interface FakeAdvisorCounts {
    /** Calls that were worked on to their end, those whose caller had given up included. */
    worked: number;
    /** Work on these calls, ms. */
    workedMs: number;
    /** Of these, calls whose caller had given up, and the work on them, ms. */
    abandoned: number;
    abandonedMs: number;
    /** Calls refused because too many waited, in the mode `refusing`, or because their step is rejected. */
    refused: number;
}

interface Call {
    readonly workMs: number;
    isAbandoned: boolean;
    readonly finish: () => void;
}

/** The service; each host calls it through its own advisor, see `getAdvisor`. */
export class FakeAdviceService {
    readonly counts: FakeAdvisorCounts = { worked: 0, workedMs: 0, abandoned: 0, abandonedMs: 0, refused: 0 };
    private readonly advisors = new Map<string, FakeAdvisor>();

    constructor(readonly options: FakeAdviceServiceOptions) {}

    /** Returns the advisor of a calling host. Its queue at the service stays when the cell gets another owner. */
    getAdvisor(host: string): FakeAdvisor {
        const advisor = this.advisors.get(host) ?? new FakeAdvisor(this);
        this.advisors.set(host, advisor);
        return advisor;
    }

    /** Sets the mode and the slowness for all hosts that have called or will call through known advisors. */
    setFault(mode: AdvisorMode, slowness = 1): void {
        for (const advisor of this.advisors.values()) {
            advisor.mode = mode;
            advisor.slowness = slowness;
        }
    }
}

/** One calling host and its queue at the service. */
export class FakeAdvisor extends Advisor {
    mode: AdvisorMode = "up";
    /** Factor on the declared work of calls that start from now on. */
    slowness = 1;
    private readonly waiting: Call[] = [];
    private current: Call | undefined;

    constructor(private readonly service: FakeAdviceService) {
        super();
    }

    /** Number of calls that wait or are worked on, also those whose caller has given up. */
    get queueLength(): number {
        return this.waiting.length + (this.current === undefined ? 0 : 1);
    }

    /** Work left of the calls that wait or are worked on, the one in work counted as a whole, ms. */
    get queuedMs(): number {
        const queued = this.current === undefined ? this.waiting : [this.current, ...this.waiting];
        return queued.reduce((sum, { workMs }) => sum + workMs * this.slowness, 0);
    }

    override ask(
        step: StepKey,
        executors: readonly ExecutorId[],
        timeoutMs: number,
    ): Promise<Result<readonly AdviceGrant[], Failure>> {
        const { clock, getRules, isGranted, isRejected = () => false, latencyMs = 5 } = this.service.options;
        const { callMs, perExecutorMs } = getRules(step);
        return new Promise(resolve => {
            const call: Call = {
                workMs: callMs + perExecutorMs * executors.length,
                isAbandoned: false,
                finish: () => {
                    const grants = executors.filter(executor => isGranted(step, executor)).map(executor => ({
                        executor,
                        ticket: `${step}/${executor}@${clock.getNow()}`,
                    }));
                    clock.schedule(latencyMs, () => settle(Ok(grants)));
                },
            };
            const timer = clock.schedule(timeoutMs, () => {
                call.isAbandoned = true;
                settle(Err(createFailure("advisor-unanswered", `no answer within ${timeoutMs} ms`, "mayHaveRun")));
            });
            const settle = (answer: Result<readonly AdviceGrant[], Failure>) => {
                timer.cancel();
                resolve(answer);
            };
            const refuse = (code: "advisor-refused" | "advisor-rejected", status: number) => {
                this.service.counts.refused += 1;
                const failure = createFailure(code, `the advisor replied with status ${status}`, "notRun");
                clock.schedule(latencyMs, () => settle(Err(failure)));
            };
            clock.schedule(latencyMs, () => {
                if (isRejected(step)) {
                    refuse("advisor-rejected", 400);
                    return;
                }
                this.receive(call, () => refuse("advisor-refused", 429));
            });
        });
    }

    private receive(call: Call, refuse: () => void): void {
        if (this.mode === "silent") {
            return;
        }
        if (this.mode === "refusing" || this.waiting.length >= (this.service.options.maxWaiting ?? 32)) {
            refuse();
            return;
        }
        this.waiting.push(call);
        this.startNext();
    }

    private startNext(): void {
        const call = this.current === undefined ? this.waiting.shift() : undefined;
        if (call === undefined) {
            return;
        }
        this.current = call;
        const workMs = call.workMs * this.slowness;
        this.service.options.clock.schedule(workMs, () => {
            const { counts } = this.service;
            counts.worked += 1;
            counts.workedMs += workMs;
            counts.abandoned += call.isAbandoned ? 1 : 0;
            counts.abandonedMs += call.isAbandoned ? workMs : 0;
            this.current = undefined;
            call.finish();
            this.startNext();
        });
    }
}
