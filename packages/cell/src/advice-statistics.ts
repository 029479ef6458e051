/**
 * Counts the calls to the advisor by outcome and the rounds of requests by how they ended, and measures the share of the
 * hosts' time with a call in flight. The counts rise for as long as the owner lives; `AdviceLog` takes differences.
 */
import type { AdviceSendResult } from "@waxwingroute/workflow";

/**
 * How a call ended. `unanswered`: it may have run, and its answer was lost or came after the time-out. `unreachable`:
 * nothing was sent. `refused`: the advisor takes no call of the host now. `rejected`: it refuses this request, whichever
 * host sends it.
 */
export const adviceOutcomes = ["answered", "unanswered", "refused", "rejected", "unreachable", "failed"] as const;

export type AdviceOutcome = typeof adviceOutcomes[number];

/** Numbers since the start of the owner, and times in ms. */
export interface AdviceCounts {
    sent: number;
    readonly outcomes: Record<AdviceOutcome, number>;
    rounds: number;
    /** Rounds that ended before all steps were served, because no host was free for any call. */
    roundsWithoutHost: number;
    /** Other rounds in which a long call was postponed. */
    roundsPostponed: number;
    /** Time of all hosts together, and the part of it with a call in flight. */
    hostMs: number;
    inUseMs: number;
}

/** Counts for one dispatcher. */
export class AdviceStatistics {
    private readonly counts: AdviceCounts = createCounts();
    private hosts = 0;
    private hostsInUse = 0;

    constructor(private measuredAt: number) {}

    recordSent(): void {
        this.counts.sent += 1;
    }

    recordEnd(outcome: AdviceOutcome): void {
        this.counts.outcomes[outcome] += 1;
    }

    /** Records the results of all requests of one round. */
    recordRound(results: ReadonlySet<AdviceSendResult>): void {
        this.counts.rounds += 1;
        this.counts.roundsWithoutHost += results.has("noHost") ? 1 : 0;
        this.counts.roundsPostponed += results.has("postponed") && !results.has("noHost") ? 1 : 0;
    }

    /** Records how many hosts there are from now on, and how many of them have a call in flight. */
    updateUse(now: number, hosts: number, hostsInUse: number): void {
        const elapsedMs = now - this.measuredAt;
        this.counts.hostMs += elapsedMs * this.hosts;
        this.counts.inUseMs += elapsedMs * this.hostsInUse;
        this.measuredAt = now;
        this.hosts = hosts;
        this.hostsInUse = hostsInUse;
    }

    /** Returns a copy of the counts up to now. */
    getCounts(now: number): Readonly<AdviceCounts> {
        this.updateUse(now, this.hosts, this.hostsInUse);
        return { ...this.counts, outcomes: { ...this.counts.outcomes } };
    }
}

/** Returns counts of 0. */
export function createCounts(): AdviceCounts {
    return {
        sent: 0,
        outcomes: { answered: 0, unanswered: 0, refused: 0, rejected: 0, unreachable: 0, failed: 0 },
        rounds: 0,
        roundsWithoutHost: 0,
        roundsPostponed: 0,
        hostMs: 0,
        inUseMs: 0,
    };
}

/** Returns how a call ended; `code` is that of its failure. */
export function classifyOutcome(code: string | undefined): AdviceOutcome {
    switch (code) {
        case undefined:
            return "answered";
        case "advisor-unanswered":
        case "peer-timeout":
        case "peer-lost":
            return "unanswered";
        case "advisor-refused":
            return "refused";
        case "advisor-rejected":
            return "rejected";
        case "advisor-unreachable":
        case "peer-unreachable":
            return "unreachable";
        default:
            return "failed";
    }
}
