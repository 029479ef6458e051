/** How long steps waited until the advice service was first asked about them. */
import { findQueue } from "./queues.js";
import type { RecordedJob, RunRecord } from "./run-record.js";

/** Calls with less time between them belong to one span in which hosts call the service, ms. */
const maxCallGapMs = 500;

/** One step of a job that was accepted. */
export interface FirstCallWait {
    readonly step: string;
    readonly queue: string;
    /** When the step could run, ms since the begin: at the acceptance, or once the steps before it were done. */
    readonly readyAt: number;
    readonly waitMs: number;
    /** The part of the wait in which hosts called the service, that is about other steps, ms. */
    readonly passedOverMs: number;
    /** Whether the service was asked; otherwise the wait lasted until the end of the run. */
    readonly isAsked: boolean;
}

/** Returns the waits of all steps with advice, longest first. Those of jobs that were cancelled meanwhile are left out. */
export function listFirstCallWaits(record: RunRecord): FirstCallWait[] {
    const doneAt = new Map<string, number>();
    for (const { task, end, endedAt } of record.runs) {
        if (end === "done") {
            doneAt.set(task, Math.min(doneAt.get(task) ?? Infinity, endedAt!));
        }
    }
    const waits: FirstCallWait[] = [];
    for (const job of record.jobs.values()) {
        if (job.acceptedAt === undefined || findQueue(job.queue)?.advice === undefined) {
            continue;
        }
        const isFailed = job.states.at(-1)?.state === "failed";
        for (const number of job.steps.keys()) {
            const step = `${job.id}.0.${number}`;
            const readyAt = computeReadyAt(job, number, doneAt);
            const askedAt = record.firstAdviceCalls.get(step);
            const until = askedAt ?? record.now;
            const isLeftOut = readyAt === Infinity || until > (job.cancelSentAt ?? Infinity)
                || askedAt === undefined && isFailed;
            if (!isLeftOut) {
                waits.push({
                    step,
                    queue: job.queue,
                    readyAt,
                    waitMs: Math.max(0, until - readyAt),
                    passedOverMs: computeCallingMs(record.adviceCallTimes, readyAt, until),
                    isAsked: askedAt !== undefined,
                });
            }
        }
    }
    return waits.sort((first, second) => second.waitMs - first.waitMs);
}

/** Returns when a step could run; `Infinity` if it could not. */
function computeReadyAt(job: RecordedJob, number: number, doneAt: ReadonlyMap<string, number>): number {
    const ends = job.steps[number]!.after.flatMap(earlier =>
        Array.from(
            { length: job.steps[earlier]!.count },
            (_, index) => doneAt.get(`${job.id}.0.${earlier}.${index}`) ?? Infinity,
        )
    );
    return Math.max(job.acceptedAt!, ...ends);
}

/** Returns how much of a span hosts called the service. `times` is in order. */
function computeCallingMs(times: readonly number[], from: number, until: number): number {
    const inside = times.filter(time => time >= from && time <= until);
    return inside.reduce((sum, time, index) => {
        const gapMs = time - (inside[index - 1] ?? time);
        return gapMs <= maxCallGapMs ? sum + gapMs : sum;
    }, 0);
}
