/**
 * Decides which step gets the next call to the advisor. The advisor's time is scarce, so two classes of steps share it:
 * those that have waited for a call for too long, in the order in which their waits began, and the others by urgency.
 * While both have steps, each gets half of the expected work. So urgency counts under overload, and the wait of every
 * step is bounded, however much urgent work there is.
 */
import type { QueueId } from "@waxwingroute/core";
import type { StepRow } from "./rows.js";

/** Time that a step waits for a call by urgency alone, ms; a few times the longest usual call. */
const maxRankedWaitMs = 2_000;
/**
 * Largest difference between the work of the classes that is remembered, ms. A class whose calls could not be sent
 * would otherwise exclude the other one later, for as long.
 */
const maxBalanceMs = 1_000;

/** A step that is considered for a call. */
export interface ConsideredStep {
    readonly step: StepRow;
    /** Whether the step has waited for longer than urgency alone may let it wait. */
    readonly isOverdue: boolean;
}

/** How much more expected work overdue steps got than the others while both waited. It lasts for many rounds. */
export interface AdviceBalance {
    /** From `-maxBalanceMs` to `maxBalanceMs`. */
    aheadMs: number;
}

/** The order of the calls of one round. */
export class AdviceOrder {
    private readonly overdue: StepRow[];
    private readonly others: StepRow[];
    private readonly postponed = { overdue: new Set<QueueId>(), others: new Set<QueueId>() };

    /** `due` holds the steps that may need a call, the most urgent first. */
    constructor(now: number, due: readonly StepRow[], private readonly balance: AdviceBalance) {
        const isOverdue = ({ advice }: StepRow) => now - advice.dueSince! >= maxRankedWaitMs;
        this.overdue = due.filter(isOverdue).sort((first, second) => first.advice.dueSince! - second.advice.dueSince!);
        this.others = due.filter(step => !isOverdue(step));
        if (this.overdue.length === 0 || this.others.length === 0) {
            balance.aheadMs = 0;
        }
        this.overdue.reverse();
        this.others.reverse();
    }

    /** Returns the next step; `undefined`: all were considered. */
    takeNext(): ConsideredStep | undefined {
        for (;;) {
            const isOverdue = this.others.length === 0 || this.overdue.length > 0 && this.balance.aheadMs <= 0;
            const step = (isOverdue ? this.overdue : this.others).pop();
            if (step === undefined || !this.getPostponed(isOverdue).has(getQueue(step))) {
                return step && { step, isOverdue };
            }
        }
    }

    /** Records that a call for the step was sent. */
    recordSent({ isOverdue }: ConsideredStep, workMs: number): void {
        const { balance } = this;
        balance.aheadMs += isOverdue ? workMs : -workMs;
        balance.aheadMs = Math.min(maxBalanceMs, Math.max(-maxBalanceMs, balance.aheadMs));
    }

    /** Records that no host takes such a call now. The calls of a queue cost about the same, so it is left out. */
    recordPostponed({ isOverdue, step }: ConsideredStep): void {
        this.getPostponed(isOverdue).add(getQueue(step));
    }

    private getPostponed(isOverdue: boolean): Set<QueueId> {
        return isOverdue ? this.postponed.overdue : this.postponed.others;
    }
}

function getQueue({ occurrence }: StepRow): QueueId {
    return occurrence.job.submission.queue;
}
