/**
 * Spreads questions to the advisor over the hosts of the cell. The advisor answers one call at a time for each host, so a
 * host gets another call only when its present ones are nearly answered.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { AdviceDecision, AdviceGrant, AdviceRules, StepKey } from "@waxwingroute/workflow";
import type { Advisor } from "./advisor.js";

/** A host that can ask the advisor. */
export interface AdviceCaller {
    readonly name: string;
    readonly advisor: Advisor;
}

export interface AdviceDispatcherOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly onAnswer: (
        step: StepKey,
        named: readonly ExecutorId[],
        grants: Result<readonly AdviceGrant[], Failure>,
    ) => void;
}

/** Work waiting at one caller beyond which it gets no further call, ms: about the time of one exchange between regions. */
const maxBacklogMs = 90;
/** Calls that take longer than this leave some callers free for short ones, ms. */
const longCallMs = 50;
/** Time for an answer beyond the work of the advisor, ms. */
const answerMs = 1_000;

interface CallerRow {
    caller: AdviceCaller;
    /** Work that was sent and not answered yet, ms. */
    backlogMs: number;
    longCalls: number;
}

export class AdviceDispatcher {
    private readonly rows = new Map<string, CallerRow>();

    constructor(private readonly options: AdviceDispatcherOptions) {}

    addCaller(caller: AdviceCaller): void {
        this.rows.set(caller.name, { caller, backlogMs: 0, longCalls: 0 });
    }

    removeCaller(name: string): void {
        this.rows.delete(name);
    }

    /** Returns how many questions can be sent now. */
    countFree(): number {
        return [...this.rows.values()].filter(row => row.backlogMs < maxBacklogMs).length;
    }

    /** Sends a question; returns whether a caller was free for it. */
    send(decision: AdviceDecision, rules: AdviceRules): boolean {
        const workMs = rules.callMs + rules.perExecutorMs * decision.executors.length;
        const row = this.pickCaller(workMs > longCallMs);
        if (row === undefined) {
            return false;
        }
        void this.ask(row, decision, workMs);
        return true;
    }

    private pickCaller(isLong: boolean): CallerRow | undefined {
        const free = [...this.rows.values()].filter(row => row.backlogMs < maxBacklogMs);
        const withoutLong = [...this.rows.values()].filter(row => row.longCalls === 0);
        const reserved = Math.max(1, Math.floor(this.rows.size / 4));
        if (isLong && this.rows.size > 1 && withoutLong.length <= reserved) {
            return undefined;
        }
        return free.sort((first, second) => first.backlogMs - second.backlogMs)[0];
    }

    private async ask(row: CallerRow, decision: AdviceDecision, workMs: number): Promise<void> {
        const { clock, logger, onAnswer } = this.options;
        const { step, executors } = decision;
        const sentAt = clock.getNow();
        const long = workMs > longCallMs ? 1 : 0;
        row.backlogMs += workMs;
        row.longCalls += long;
        const answer = await row.caller.advisor.ask(step, executors, row.backlogMs + answerMs);
        row.backlogMs -= workMs;
        row.longCalls -= long;
        logger.write("info", "advice", {
            step,
            caller: row.caller.name,
            named: executors.length,
            granted: answer.ok ? answer.val.length : undefined,
            code: answer.ok ? undefined : answer.val.code,
            tookMs: Math.round(clock.getNow() - sentAt),
        });
        onAnswer(step, executors, answer);
    }
}
