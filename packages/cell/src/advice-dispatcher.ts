/**
 * Distributes requests to the advisor over the hosts of the cell. The advisor processes the calls of one host one after
 * another, so a host is given another call only when little of its outstanding work is left.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { AdviceGrant, AdviceRequest, AdviceRules, AdviceSendResult, StepKey } from "@waxwingroute/workflow";
import type { Advisor } from "./advisor.js";

/** A host of the cell through which the advisor is asked. */
export interface AdviceHost {
    readonly name: string;
    readonly advisor: Advisor;
}

/** The clock and log of a dispatcher, and the receiver of the answers. */
export interface AdviceDispatcherOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Called with the result of each request to the advisor. */
    readonly onAnswer: (
        step: StepKey,
        executors: readonly ExecutorId[],
        grants: Result<readonly AdviceGrant[], Failure>,
    ) => void;
}

/** A host with this much unanswered work is given no further call, ms. About one round trip between regions. */
const maxBacklogMs = 90;
/** Calls with more work than this are long: some hosts are kept free of them, for short calls. In ms. */
const longCallMs = 50;
/** Time for which a host gets no call after a failed one, ms. */
const backoffMs = 2_000;
/** Weight of the newest call in the moving average of a host's overhead. */
const overheadWeight = 0.2;
/** Added to the expected work of the advisor to get the time-out of a call, ms. */
const answerMarginMs = 1_000;

interface HostRow {
    host: AdviceHost;
    /** Expected work of the advisor for calls without an answer yet, ms. */
    backlogMs: number;
    /** Number of long calls without an answer yet. */
    longCalls: number;
    /** Duration of a call beyond the expected work of the advisor, as an exponential moving average, ms. */
    overheadMs: number;
    /** No call is sent before this time, because the last one failed. */
    backoffUntil: number;
}

/** Chooses a host for each request to the advisor and tracks the outstanding work of each host. */
export class AdviceDispatcher {
    private readonly rows = new Map<string, HostRow>();

    constructor(private readonly options: AdviceDispatcherOptions) {}

    addHost(host: AdviceHost): void {
        this.rows.set(host.name, { host, backlogMs: 0, longCalls: 0, overheadMs: 0, backoffUntil: 0 });
    }

    /** Removes a host, unless another one was added under its name since. */
    removeHost(host: AdviceHost): void {
        if (this.rows.get(host.name)?.host === host) {
            this.rows.delete(host.name);
        }
    }

    /**
     * Sends a request to the advisor if a host is free for it. Returns `noHost` if none is free at all, and
     * `postponed` if only short calls and those of overdue steps may be sent now.
     */
    send(request: AdviceRequest, rules: AdviceRules): AdviceSendResult {
        const workMs = rules.callMs + rules.perExecutorMs * request.executors.length;
        const isLong = workMs > longCallMs;
        const free = this.listFreeHosts();
        if (free.length === 0) {
            return "noHost";
        }
        if (isLong && !request.isOverdue && !this.allowsLongCall()) {
            return "postponed";
        }
        const row = isLong ? pickForLongCall(free) : pickForShortCall(free);
        this.options.supervisor.start("advice", { step: request.step }, () => this.ask(row, request, workMs));
        return "sent";
    }

    /**
     * Returns whether one more long call leaves enough hosts free of long calls: a quarter of them, rounded down, and
     * at least one. A single host may always be given long calls.
     */
    private allowsLongCall(): boolean {
        const withoutLong = [...this.rows.values()].filter(row => row.longCalls === 0).length;
        return this.rows.size === 1 || withoutLong > Math.max(1, Math.floor(this.rows.size / 4));
    }

    private listFreeHosts(): HostRow[] {
        const now = this.options.clock.getNow();
        return [...this.rows.values()].filter(row => row.backlogMs < maxBacklogMs && row.backoffUntil <= now);
    }

    private async ask(row: HostRow, request: AdviceRequest, workMs: number): Promise<void> {
        const { clock, logger, onAnswer, supervisor } = this.options;
        const { step, executors } = request;
        const sentAt = clock.getNow();
        const longCallCount = workMs > longCallMs ? 1 : 0;
        const queuedMs = row.backlogMs;
        row.backlogMs += workMs;
        row.longCalls += longCallCount;
        const answer = await supervisor.call(
            "advice",
            { step },
            () => row.host.advisor.ask(step, executors, row.backlogMs + answerMarginMs),
        );
        row.backlogMs -= workMs;
        row.longCalls -= longCallCount;
        const overheadMs = Math.max(0, clock.getNow() - sentAt - queuedMs - workMs);
        row.overheadMs += overheadWeight * (overheadMs - row.overheadMs);
        if (!answer.ok) {
            row.backoffUntil = clock.getNow() + backoffMs;
        }
        logger.write("info", "advice", {
            step,
            caller: row.host.name,
            named: executors.length,
            granted: answer.ok ? answer.val.length : undefined,
            code: answer.ok ? undefined : answer.val.code,
            tookMs: Math.round(clock.getNow() - sentAt),
        });
        onAnswer(step, executors, answer);
    }
}

/** Returns the host with the earliest expected answer. */
function pickForShortCall(free: readonly HostRow[]): HostRow {
    return free.reduce((best, row) => row.backlogMs + row.overheadMs < best.backlogMs + best.overheadMs ? row : best);
}

/**
 * Returns the host with the largest overhead among those with the fewest long calls, so that hosts near the advisor
 * stay free for short calls.
 */
function pickForLongCall(free: readonly HostRow[]): HostRow {
    return free.reduce((best, row) => {
        if (row.longCalls !== best.longCalls) {
            return row.longCalls < best.longCalls ? row : best;
        }
        return row.overheadMs > best.overheadMs ? row : best;
    });
}
