/**
 * Collects task outcomes and commits them to the journal in batches, as ranges of task indexes.
 *
 * Outcomes that cannot be committed because the store is down are kept and tried again; workers keep theirs until the
 * commit.
 */
import type { Clock, JobId } from "@waxwingroute/core";
import type { IndexRange, Journal, JournalOutcome } from "@waxwingroute/journal";

/** Shortest time between two batches, in milliseconds. */
const flushIntervalMs = 100;

interface OutcomeBatch {
    readonly job: JobId;
    readonly outcome: JournalOutcome;
    readonly indexes: Set<number>;
    readonly onCommitted: (() => void)[];
}

/** Outcomes on their way into the journal. */
export class OutcomeBuffer {
    private batches = new Map<string, OutcomeBatch>();
    private lastFlushAt = -Infinity;
    private pendingCommits = 0;

    constructor(private readonly clock: Clock, private readonly getJournal: () => Journal | undefined) {}

    /** Whether outcomes are not committed yet. */
    get hasPending(): boolean {
        return this.batches.size > 0 || this.pendingCommits > 0;
    }

    add(job: JobId, outcome: JournalOutcome, index: number, onCommitted: () => void): void {
        const batch = this.ensureBatch(job, outcome);
        batch.indexes.add(index);
        batch.onCommitted.push(onCommitted);
    }

    /** Sends what has been collected, at most once in 100 ms. */
    flush(): void {
        const journal = this.getJournal();
        const now = this.clock.getNow();
        if (journal === undefined || this.batches.size === 0 || now - this.lastFlushAt < flushIntervalMs) {
            return;
        }
        this.lastFlushAt = now;
        const batches = [...this.batches.values()];
        this.batches = new Map();
        for (const batch of batches) {
            void this.commit(journal, batch);
        }
    }

    private async commit(journal: Journal, batch: OutcomeBatch): Promise<void> {
        this.pendingCommits++;
        const { job, outcome } = batch;
        const result = await journal.append({
            kind: "outcomesRecorded",
            job,
            outcome,
            ranges: toRanges(batch.indexes),
        });
        this.pendingCommits--;
        if (result.ok) {
            batch.onCommitted.forEach(callback => callback());
            return;
        }
        // Recording an outcome twice changes nothing, so a batch that may have been committed is sent again as well.
        const retryBatch = this.ensureBatch(job, outcome);
        batch.indexes.forEach(index => retryBatch.indexes.add(index));
        retryBatch.onCommitted.push(...batch.onCommitted);
    }

    private ensureBatch(job: JobId, outcome: JournalOutcome): OutcomeBatch {
        const key = `${job} ${outcome}`;
        let batch = this.batches.get(key);
        if (batch === undefined) {
            batch = { job, outcome, indexes: new Set(), onCommitted: [] };
            this.batches.set(key, batch);
        }
        return batch;
    }
}

function toRanges(indexes: ReadonlySet<number>): readonly IndexRange[] {
    const ranges: [number, number][] = [];
    for (const index of [...indexes].sort((first, second) => first - second)) {
        const last = ranges.at(-1);
        if (last !== undefined && last[1] === index - 1) {
            last[1] = index;
        }
        else {
            ranges.push([index, index]);
        }
    }
    return ranges;
}
