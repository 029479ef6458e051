/**
 * Distributes requests to the advisor over the hosts of the cell. The advisor processes the calls of one host one after
 * another, so a host is given another call only when little of its outstanding work is left.
 */
import type { Clock, ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { AdviceGrant, AdviceRequest, AdviceRules, AdviceSendResult, StepKey } from "@waxwingroute/workflow";
import type { SentCall } from "./advice-account.js";
import { AdviceAccount } from "./advice-account.js";
import type { AdviceOutcome } from "./advice-statistics.js";
import { AdviceStatistics, classifyOutcome } from "./advice-statistics.js";
import type { Advisor } from "./advisor.js";
import { PauseMeter } from "./pause-meter.js";
import { ShortCallLoad } from "./short-call-load.js";

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

/**
 * A host is given no further call while the advisor is expected to work for longer than this, or than the way of a call
 * takes, on those it has, ms. About one round trip between regions, so that the advisor is not idle meanwhile.
 */
const maxBacklogMs = 90;
/** Calls with more work than this are long: some hosts are kept free of them, for short calls. In ms. */
const longCallMs = 50;
/** Time for which a host gets no call after a failed one, ms. */
const backoffMs = 2_000;

interface HostRow {
    readonly host: AdviceHost;
    readonly account: AdviceAccount;
}

/** What the dispatcher holds about a host, for logs and gauges; times in ms. */
export interface AdviceHostState {
    readonly name: string;
    readonly outstandingMs: number;
    readonly calls: number;
    readonly longCalls: number;
    /** Time since the oldest call without an answer was sent; `undefined`: there is none. */
    readonly oldestCallMs: number | undefined;
    /** Time for which the host gets no call. */
    readonly backoffMs: number;
    readonly overheadMs: number;
    /** Factor by which the advisor is slower than declared. */
    readonly slowdown: number;
    readonly failuresInRow: number;
}

/** Chooses a host for each request to the advisor and tracks the outstanding work of each host. */
export class AdviceDispatcher {
    readonly statistics: AdviceStatistics;
    private readonly shortCallLoad: ShortCallLoad;
    private readonly pauses: PauseMeter;
    private readonly rows = new Map<string, HostRow>();
    /** By the name of the host, also of removed hosts as long as the advisor may work on their calls. */
    private readonly accounts = new Map<string, AdviceAccount>();

    constructor(private readonly options: AdviceDispatcherOptions) {
        this.statistics = new AdviceStatistics(options.clock.getNow());
        this.pauses = new PauseMeter({
            clock: options.clock,
            isNeeded: () => [...this.accounts.values()].some(({ calls }) => calls.size > 0),
        });
        this.shortCallLoad = new ShortCallLoad(options.clock.getNow());
    }

    /** Adds a host, or replaces the one of its name. What the advisor holds of earlier calls stays in its account. */
    addHost(host: AdviceHost): void {
        this.pruneAccounts();
        const account = this.accounts.get(host.name) ?? new AdviceAccount();
        account.failuresInRow = 0;
        account.backoffUntil = 0;
        this.accounts.set(host.name, account);
        this.rows.set(host.name, { host, account });
        this.measureUse();
    }

    /** Removes a host, unless another one was added under its name since. */
    removeHost(host: AdviceHost): void {
        if (this.rows.get(host.name)?.host === host) {
            this.rows.delete(host.name);
            this.measureUse();
        }
    }

    /** Returns the state of each host. */
    listHostStates(): AdviceHostState[] {
        const now = this.options.clock.getNow();
        return [...this.rows.values()].map(({ account, host }) => ({
            name: host.name,
            outstandingMs: account.getOutstandingMs(now),
            calls: account.calls.size,
            longCalls: account.longCalls,
            oldestCallMs: findOldestCall(account, now),
            backoffMs: Math.max(0, account.backoffUntil - now),
            overheadMs: account.overheadMs,
            slowdown: account.slowdown,
            failuresInRow: account.failuresInRow,
        }));
    }

    /**
     * Sends a request to the advisor if a host is free for it. Returns `postponed` if only short calls and those of
     * overdue steps may be sent now, and `noHost` if none is free at all, except in a round that looks for short calls.
     */
    send(request: AdviceRequest, rules: AdviceRules): AdviceSendResult {
        const workMs = rules.callMs + rules.perExecutorMs * request.executors.length;
        const isLong = workMs > longCallMs;
        const now = this.options.clock.getNow();
        if (!isLong) {
            this.shortCallLoad.recordRequest(now);
        }
        const free = this.listFreeHosts(now);
        if (free.length === 0) {
            return this.shortCallLoad.recordExhausted(now) ? "postponed" : "noHost";
        }
        const allowed = isLong && !request.isOverdue ? this.selectForLongCalls(free, now) : free;
        if (allowed.length === 0) {
            return "postponed";
        }
        const reliable = selectReliable(allowed);
        const row = isLong ? pickForLongCall(reliable) : pickForShortCall(reliable, now);
        const call = row.account.recordSent(now, workMs, isLong);
        if (!isLong) {
            this.shortCallLoad.recordSent(now, workMs);
        }
        this.options.supervisor.start("advice", { step: request.step }, () => this.ask(row, request, call));
        return "sent";
    }

    /**
     * Returns the free hosts that may be given a long call. While short calls come, as many hosts as they need are kept free
     * of long calls, at most a quarter, rounded down, and at least one. A host whose long call is nearly done may be given
     * another one if enough others are free of them. A single host may always be given long calls.
     */
    private selectForLongCalls(free: readonly HostRow[], now: number): HostRow[] {
        const open = [...this.rows.values()].filter(({ account }) => account.backoffUntil <= now);
        const withoutLong = open.filter(({ account }) => account.longCalls === 0).length;
        const mostKept = open.length === 1 ? 0 : Math.max(1, Math.floor(open.length / 4));
        const kept = this.shortCallLoad.countNeededHosts(now, mostKept);
        return free.filter(({ account }) => withoutLong > kept || withoutLong === kept && account.longCalls > 0);
    }

    private listFreeHosts(now: number): HostRow[] {
        return [...this.rows.values()].filter(({ account }) =>
            account.backoffUntil <= now
            && account.getOutstandingMs(now) < Math.max(maxBacklogMs, account.overheadMs)
            && !account.hasLateCall(now, maxBacklogMs)
        );
    }

    private async ask(row: HostRow, request: AdviceRequest, call: SentCall): Promise<void> {
        const { clock, logger, onAnswer, supervisor } = this.options;
        const { step, executors } = request;
        const { queuedMs, sentAt, timeoutMs, workMs } = call;
        this.pauses.start();
        const pausedBefore = this.pauses.getPausedMs();
        this.statistics.recordSent();
        this.measureUse();
        const answer = await supervisor.call(
            "advice",
            { step },
            () => row.host.advisor.ask(step, executors, timeoutMs),
        );
        const code = answer.ok ? undefined : answer.val.code;
        const outcome = classifyOutcome(code);
        this.statistics.recordEnd(outcome);
        const pausedMs = this.pauses.getPausedMs() - pausedBefore;
        this.recordEnd(row.account, call, outcome, pausedMs);
        this.measureUse();
        logger.write("info", "advice", {
            step,
            caller: row.host.name,
            named: executors.length,
            granted: answer.ok ? answer.val.length : undefined,
            code,
            tookMs: Math.round(clock.getNow() - sentAt),
            workMs: Math.round(workMs),
            queuedMs: Math.round(queuedMs),
            timeoutMs: Math.round(timeoutMs),
            pausedMs: pausedMs === 0 ? undefined : Math.round(pausedMs),
        });
        onAnswer(step, executors, answer);
    }

    private recordEnd(account: AdviceAccount, call: SentCall, outcome: AdviceOutcome, pausedMs: number): void {
        const now = this.options.clock.getNow();
        if (outcome === "answered") {
            account.recordAnswer(now, call, pausedMs === 0);
            return;
        }
        const isMissed = outcome === "unanswered" && pausedMs > 0 && now - call.sentAt - pausedMs < call.timeoutMs;
        if (isMissed) {
            account.recordMissed(call);
            return;
        }
        if (outcome === "rejected") {
            account.recordRejected(now, call);
            return;
        }
        account.backoffUntil = now + backoffMs;
        if (outcome === "refused" || outcome === "unreachable") {
            account.recordNotTaken(now, call);
        }
        else {
            account.recordUnanswered(now, call);
        }
    }

    private pruneAccounts(): void {
        const now = this.options.clock.getNow();
        for (const [name, account] of this.accounts) {
            if (!this.rows.has(name) && account.isSettled(now)) {
                this.accounts.delete(name);
            }
        }
    }

    private measureUse(): void {
        const inUse = [...this.rows.values()].filter(({ account }) => account.calls.size > 0).length;
        this.statistics.updateUse(this.options.clock.getNow(), this.rows.size, inUse);
    }
}

function findOldestCall({ calls }: AdviceAccount, now: number): number | undefined {
    return calls.size === 0 ? undefined : now - Math.min(...[...calls].map(({ sentAt }) => sentAt));
}

/** Returns the hosts with the fewest failures in a row, so that a broken way is tried only when no other host is free. */
function selectReliable(free: readonly HostRow[]): HostRow[] {
    const fewest = Math.min(...free.map(({ account }) => account.failuresInRow));
    return free.filter(({ account }) => account.failuresInRow === fewest);
}

/** Returns the host with the earliest expected answer. */
function pickForShortCall(free: readonly HostRow[], now: number): HostRow {
    const estimateAnswerMs = ({ account }: HostRow) => account.getOutstandingMs(now) + account.overheadMs;
    return free.reduce((best, row) => estimateAnswerMs(row) < estimateAnswerMs(best) ? row : best);
}

/**
 * Returns the host with the largest overhead among those with the fewest long calls, so that hosts near the advisor
 * stay free for short calls.
 */
function pickForLongCall(free: readonly HostRow[]): HostRow {
    return free.reduce((best, row) => {
        if (row.account.longCalls !== best.account.longCalls) {
            return row.account.longCalls < best.account.longCalls ? row : best;
        }
        return row.account.overheadMs > best.account.overheadMs ? row : best;
    });
}
