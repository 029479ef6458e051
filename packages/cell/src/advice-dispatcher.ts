/**
 * Spreads questions to the advisor over the hosts of the cell. The advisor answers one call at a time for each host, so a
 * host gets another call only when its present ones are nearly answered.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { AdviceGrant, AdviceRequest, AdviceRules, AdviceSendResult, StepKey } from "@waxwingroute/workflow";
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
/** Time for which a caller that did not answer gets no call, ms. */
const avoidMs = 2_000;
/** Weight of a new exchange in the average overhead of a caller. */
const overheadWeight = 0.2;
/** Time for an answer beyond the work of the advisor, ms. */
const answerMs = 1_000;

interface CallerRow {
    caller: AdviceCaller;
    /** Work that was sent and not answered yet, ms. */
    backlogMs: number;
    longCalls: number;
    /** Time of an exchange beyond the work of the advisor, exponentially weighted, ms. */
    overheadMs: number;
    /** Gets no call before this time, because it did not answer. */
    avoidUntil: number;
}

export class AdviceDispatcher {
    private readonly rows = new Map<string, CallerRow>();

    constructor(private readonly options: AdviceDispatcherOptions) {}

    addCaller(caller: AdviceCaller): void {
        this.rows.set(caller.name, { caller, backlogMs: 0, longCalls: 0, overheadMs: 0, avoidUntil: 0 });
    }

    removeCaller(name: string): void {
        this.rows.delete(name);
    }

    /** Sends a question if a caller is free for it. */
    send(decision: AdviceRequest, rules: AdviceRules): AdviceSendResult {
        const workMs = rules.callMs + rules.perExecutorMs * decision.executors.length;
        const isLong = workMs > longCallMs;
        const free = this.listFree();
        if (free.length === 0) {
            return "noCaller";
        }
        if (isLong && !this.allowsLongCall()) {
            return "postponed";
        }
        const row = isLong ? pickForLongCall(free) : pickForShortCall(free);
        void this.ask(row, decision, workMs);
        return "sent";
    }

    /** Returns whether enough callers stay free of long calls. */
    private allowsLongCall(): boolean {
        const withoutLong = [...this.rows.values()].filter(row => row.longCalls === 0).length;
        return this.rows.size === 1 || withoutLong > Math.max(1, Math.floor(this.rows.size / 4));
    }

    private listFree(): CallerRow[] {
        const now = this.options.clock.getNow();
        return [...this.rows.values()].filter(row => row.backlogMs < maxBacklogMs && row.avoidUntil <= now);
    }

    private async ask(row: CallerRow, decision: AdviceRequest, workMs: number): Promise<void> {
        const { clock, logger, onAnswer } = this.options;
        const { step, executors } = decision;
        const sentAt = clock.getNow();
        const long = workMs > longCallMs ? 1 : 0;
        const aheadMs = row.backlogMs;
        row.backlogMs += workMs;
        row.longCalls += long;
        const answer = await row.caller.advisor.ask(step, executors, row.backlogMs + answerMs);
        row.backlogMs -= workMs;
        row.longCalls -= long;
        const overheadMs = Math.max(0, clock.getNow() - sentAt - aheadMs - workMs);
        row.overheadMs += overheadWeight * (overheadMs - row.overheadMs);
        if (!answer.ok) {
            row.avoidUntil = clock.getNow() + avoidMs;
        }
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

/** Returns the caller that is expected to answer first. */
function pickForShortCall(free: readonly CallerRow[]): CallerRow {
    return free.reduce((best, row) => row.backlogMs + row.overheadMs < best.backlogMs + best.overheadMs ? row : best);
}

/** Returns the most distant of the idlest callers, so that near ones stay free for short calls. */
function pickForLongCall(free: readonly CallerRow[]): CallerRow {
    return free.reduce((best, row) => {
        if (row.longCalls !== best.longCalls) {
            return row.longCalls < best.longCalls ? row : best;
        }
        return row.overheadMs > best.overheadMs ? row : best;
    });
}
