/** The part of the rule LOST about planned work: a stopping host answers each request that it has read. */
import type { RunRecord } from "./run-record.js";

/** Bounds that the platform states for planned work, ms. */
export interface PlannedWorkBounds {
    /** Time without an unplanned disruption before a request. */
    readonly contactMs: number;
    /** Time from the SIGTERM of a host in which its process has to end. */
    readonly graceMs: number;
    /** Time after the last byte of a request in which a connection may end without an answer. */
    readonly lossSlackMs: number;
}

/** Time after the grace time that still counts as planned work, ms. */
const afterGraceMs = 1_000;

/** Returns a text for each request whose connection ended without a whole answer around a planned stop of its host. */
export function findLostCalls(record: RunRecord, { contactMs, graceMs, lossSlackMs }: PlannedWorkBounds): string[] {
    const calls = [
        ...record.keptCalls.filter(call => !call.isAnswered).map(({ method, job, ...call }) => ({
            ...call,
            what: `${method} ${job}`,
        })),
        ...record.unanswered.filter(call => !call.isTimedOut).map(({ host, sentAt, tookMs, what }) => ({
            host,
            sentAt,
            endedAt: sentAt + tookMs,
            what,
        })),
    ];
    return calls.flatMap(({ host, sentAt, endedAt, what }) => {
        const stop = record.plannedStops.findLast(row => row.host === host && row.at <= endedAt);
        const isCounted = stop !== undefined
            && endedAt <= stop.at + graceMs + afterGraceMs
            && endedAt - sentAt > lossSlackMs
            && !record.hasUnplannedDisruption(sentAt - contactMs, endedAt);
        return isCounted
            ? [
                `${what} sent to ${host} ${Math.round(sentAt - stop.at)} ms after its SIGTERM: `
                + `the connection ended without an answer ${Math.round(endedAt - sentAt)} ms later`,
            ]
            : [];
    });
}
