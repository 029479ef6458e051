/**
 * The order in which jobs, queues and teams are served.
 */
import type { JobQueue, JobRow, ReservationCandidate, TeamEntry } from "./rows.js";
import type { Objective } from "./types.js";

/** The order of the teams that have active queues for one shape. */
export interface TeamOrder {
    readonly isBefore: (first: TeamEntry, second: TeamEntry) => boolean;
    /** The order of the teams that have active urgent queues. */
    readonly isUrgentBefore: (first: TeamEntry, second: TeamEntry) => boolean;
}

/** Returns the order of teams for an objective. */
export function createTeamOrder(objective: Objective): TeamOrder {
    return objective === "waiting"
        ? { isBefore: isTeamBeforeForWaiting, isUrgentBefore: isTeamBeforeForWaiting }
        : { isBefore: isTeamBeforeByShare, isUrgentBefore: isTeamBeforeByUrgentShare };
}

/** Returns whether one job of a queue comes before another. */
export function isJobBefore(first: JobRow, second: JobRow): boolean {
    return first.latestStart < second.latestStart
        || first.latestStart === second.latestStart && first.sequence < second.sequence;
}

/** Returns whether the first job of one queue comes before that of another. */
export function isQueueBefore(first: JobQueue, second: JobQueue): boolean {
    const job = first.jobs.getFirst();
    const other = second.jobs.getFirst();
    return job !== undefined && (other === undefined || isJobBefore(job, other));
}

/** Returns whether one queue gets a reservation before another. */
export function isCandidateBefore(first: ReservationCandidate, second: ReservationCandidate): boolean {
    return isQueueBeforeByPriority(first.queue, second.queue);
}

/**
 * Compares teams for the objective `waiting`: teams within their share come first, by the latest start time of their
 * work; the others follow by their share.
 */
function isTeamBeforeForWaiting(first: TeamEntry, second: TeamEntry): boolean {
    const team = first.queues.team;
    const other = second.queues.team;
    if (team.isOverShare !== other.isOverShare) {
        return !team.isOverShare;
    }
    return team.isOverShare
        ? isTeamBeforeByShare(first, second)
        : isQueueBeforeByPriority(getFirstQueue(first), getFirstQueue(second));
}

/** Compares teams by their share, and by the latest start time of their work where shares are equal. */
function isTeamBeforeByShare(first: TeamEntry, second: TeamEntry): boolean {
    return first.share < second.share
        || first.share === second.share && isQueueBeforeByPriority(getFirstQueue(first), getFirstQueue(second));
}

/** Compares teams with urgent work: those whose urgent work is within their share come first. */
function isTeamBeforeByUrgentShare(first: TeamEntry, second: TeamEntry): boolean {
    const team = first.queues.team;
    const other = second.queues.team;
    return team.isUrgentFirst === other.isUrgentFirst ? isTeamBeforeByShare(first, second) : team.isUrgentFirst;
}

function getFirstQueue(entry: TeamEntry): JobQueue {
    return (entry.queues.urgent.getFirst() ?? entry.queues.normal.getFirst()) as JobQueue;
}

/** Compares queues by priority, and by their first jobs where priorities are equal. */
function isQueueBeforeByPriority(first: JobQueue, second: JobQueue): boolean {
    return first.priority === second.priority ? isQueueBefore(first, second) : first.priority === "urgent";
}
