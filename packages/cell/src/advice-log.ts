/**
 * Says why steps wait for the advisor: logs the calls, the rounds of requests and the state of each host, once a second
 * while steps wait for it, and provides the same as gauges.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { WaitingReason, WaitingSample } from "@waxwingroute/workflow";
import type { AdviceDispatcher, AdviceHostState } from "./advice-dispatcher.js";
import type { AdviceCounts } from "./advice-statistics.js";
import { adviceOutcomes, createCounts } from "./advice-statistics.js";

/** The dispatcher, clock and log of an `AdviceLog`. */
export interface AdviceLogOptions {
    readonly dispatcher: AdviceDispatcher;
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Whether the owner may send orders; while it may not, no requests are sent either. */
    readonly canOrder: () => boolean;
}

const adviceReasons: readonly WaitingReason[] = ["adviceInFlight", "adviceNotAsked", "ticketExpired"];
/** Hosts in one log line at most; the others are counted. */
const maxLoggedHosts = 24;

/** Logs the state of the calls to the advisor. */
export class AdviceLog {
    private logged: Readonly<AdviceCounts> = createCounts();
    private sample: WaitingSample | undefined;
    private hadWaits = false;

    constructor(private readonly options: AdviceLogOptions) {}

    /** The gauges by name. */
    get gauges(): Readonly<Record<string, number>> {
        const { canOrder, clock, dispatcher } = this.options;
        return createAdviceGauges({
            counts: dispatcher.statistics.getCounts(clock.getNow()),
            hosts: dispatcher.listHostStates(),
            sample: this.sample,
            canOrder: canOrder(),
        });
    }

    /** Accepts the sample of the waiting steps, once a second, and writes a line while or after steps wait for advice. */
    record(sample: WaitingSample): void {
        const { canOrder, clock, dispatcher, logger } = this.options;
        const counts = dispatcher.statistics.getCounts(clock.getNow());
        const hasWaits = adviceReasons.some(reason => (sample.counts.get(reason) ?? 0) > 0);
        if (hasWaits || this.hadWaits) {
            const { logged } = this;
            const outcomes = adviceOutcomes.map(
                outcome => [outcome, counts.outcomes[outcome] - logged.outcomes[outcome]],
            );
            logger.write("info", "advice calls", {
                overdueSteps: sample.adviceOverdue.steps,
                longestDueMs: Math.round(sample.adviceOverdue.longestMs),
                canOrder: canOrder(),
                rounds: counts.rounds - logged.rounds,
                roundsWithoutHost: counts.roundsWithoutHost - logged.roundsWithoutHost,
                roundsPostponed: counts.roundsPostponed - logged.roundsPostponed,
                sent: counts.sent - logged.sent,
                ...Object.fromEntries(outcomes) as Record<string, number>,
                usePercent: computePercent(counts.inUseMs - logged.inUseMs, counts.hostMs - logged.hostMs),
                ...formatHosts(dispatcher.listHostStates()),
            });
        }
        this.logged = counts;
        this.sample = sample;
        this.hadWaits = hasWaits;
    }
}

/** What the gauges are computed from. */
interface GaugeInputs {
    readonly counts: Readonly<AdviceCounts>;
    readonly hosts: readonly AdviceHostState[];
    readonly sample: WaitingSample | undefined;
    readonly canOrder: boolean;
}

/** Returns the gauges; without inputs, as on a host that does not own the cell, all are 0. */
export function createAdviceGauges(inputs: GaugeInputs | undefined): Readonly<Record<string, number>> {
    const { canOrder = true, counts = createCounts(), hosts = [], sample } = inputs ?? {};
    const gauges: Record<string, number> = {
        advice_hosts: hosts.length,
        advice_hosts_in_use: hosts.filter(({ calls }) => calls > 0).length,
        advice_hosts_in_backoff: hosts.filter(({ backoffMs }) => backoffMs > 0).length,
        advice_outstanding_ms: Math.round(hosts.reduce((total, { outstandingMs }) => total + outstandingMs, 0)),
        advice_oldest_call_ms: Math.round(Math.max(0, ...hosts.map(({ oldestCallMs }) => oldestCallMs ?? 0))),
        advice_in_use_ms: Math.round(counts.inUseMs),
        advice_host_ms: Math.round(counts.hostMs),
        advice_rounds: counts.rounds,
        advice_rounds_without_host: counts.roundsWithoutHost,
        advice_rounds_postponed: counts.roundsPostponed,
        advice_calls_sent: counts.sent,
        advice_overdue_steps: sample?.adviceOverdue.steps ?? 0,
        advice_longest_due_ms: Math.round(sample?.adviceOverdue.longestMs ?? 0),
        orders_suspended: canOrder ? 0 : 1,
    };
    adviceOutcomes.forEach(outcome => {
        gauges[`advice_calls_${outcome}`] = counts.outcomes[outcome];
    });
    return gauges;
}

/** Describes the hosts with calls, failures or a backoff, and counts those that are idle or exceed the limit. */
function formatHosts(hosts: readonly AdviceHostState[]): Readonly<Record<string, string | number>> {
    const active = hosts.filter(({ backoffMs, calls, failuresInRow, outstandingMs }) =>
        calls > 0 || backoffMs > 0 || failuresInRow > 0 || outstandingMs > 0
    );
    const shown = active.slice(0, maxLoggedHosts).map(host =>
        [
            host.name,
            `work:${Math.round(host.outstandingMs)}`,
            `calls:${host.calls}`,
            `long:${host.longCalls}`,
            `oldest:${Math.round(host.oldestCallMs ?? 0)}`,
            `backoff:${Math.round(host.backoffMs)}`,
            `overhead:${Math.round(host.overheadMs)}`,
            `slowdown:${host.slowdown.toFixed(1)}`,
            `failures:${host.failuresInRow}`,
        ].join(",")
    );
    return {
        hosts: shown.join(" "),
        idleHosts: hosts.length - active.length,
        omittedHosts: active.length - shown.length,
    };
}

function computePercent(part: number, whole: number): number {
    return whole === 0 ? 0 : Math.round(100 * part / whole);
}
