/**
 * The order in which jobs, queues, and the lanes of all teams are served.
 */
import type { JobQueue, JobRow, ReservationCandidate, TeamEntry } from "./rows.js";
import type { Objective } from "./types.js";

/** The order of lanes of one size. */
export interface TeamOrder {
    readonly isBefore: (first: TeamEntry, second: TeamEntry) => boolean;
    /** The order of lanes with urgent queues. */
    readonly isUrgentBefore: (first: TeamEntry, second: TeamEntry) => boolean;
}

/** Returns the order for an objective. */
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

/** Teams within their share come first, by the latest start time of their work; others follow by the share of the item. */
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

function isTeamBeforeByShare(first: TeamEntry, second: TeamEntry): boolean {
    return first.share < second.share
        || first.share === second.share && isQueueBeforeByPriority(getFirstQueue(first), getFirstQueue(second));
}

function isTeamBeforeByUrgentShare(first: TeamEntry, second: TeamEntry): boolean {
    const team = first.queues.team;
    const other = second.queues.team;
    return team.isUrgentFirst === other.isUrgentFirst ? isTeamBeforeByShare(first, second) : team.isUrgentFirst;
}

function getFirstQueue(item: TeamEntry): JobQueue {
    return (item.queues.urgent.getFirst() ?? item.queues.normal.getFirst()) as JobQueue;
}

function isQueueBeforeByPriority(first: JobQueue, second: JobQueue): boolean {
    return first.priority === second.priority ? isQueueBefore(first, second) : first.priority === "urgent";
}
