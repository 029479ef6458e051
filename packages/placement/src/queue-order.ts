/**
 * The order in which jobs, queues, and the lanes of all teams are served.
 */
import type { JobQueue, JobRow, LaneItem, QueueCandidate } from "./rows.js";
import type { Objective } from "./types.js";

/** The order of lanes of one size. */
export interface LaneOrder {
    readonly isBefore: (first: LaneItem, second: LaneItem) => boolean;
    /** The order of lanes with urgent queues. */
    readonly isUrgentBefore: (first: LaneItem, second: LaneItem) => boolean;
}

/** Returns the order for an objective. */
export function createLaneOrder(objective: Objective): LaneOrder {
    return objective === "waiting"
        ? { isBefore: isWaitingBefore, isUrgentBefore: isWaitingBefore }
        : { isBefore: isShareBefore, isUrgentBefore: isUrgentShareBefore };
}

/** Returns whether one job of a queue comes before another. */
export function isJobBefore(first: JobRow, second: JobRow): boolean {
    return first.orderKey < second.orderKey
        || first.orderKey === second.orderKey && first.sequence < second.sequence;
}

/** Returns whether the first job of one queue comes before that of another. */
export function isQueueBefore(first: JobQueue, second: JobQueue): boolean {
    const job = first.jobs.getFirst();
    const other = second.jobs.getFirst();
    return job !== undefined && (other === undefined || isJobBefore(job, other));
}

/** Returns whether one queue gets a reservation before another. */
export function isReservedBefore(first: QueueCandidate, second: QueueCandidate): boolean {
    return isPriorQueue(first.queue, second.queue);
}

/** Teams within their share come first, by the latest start time of their work; others follow by the share of the item. */
function isWaitingBefore(first: LaneItem, second: LaneItem): boolean {
    const team = first.lane.team;
    const other = second.lane.team;
    if (team.isOverShare !== other.isOverShare) {
        return !team.isOverShare;
    }
    return team.isOverShare
        ? isShareBefore(first, second)
        : isPriorQueue(getFirstQueue(first), getFirstQueue(second));
}

function isShareBefore(first: LaneItem, second: LaneItem): boolean {
    return first.share < second.share
        || first.share === second.share && isPriorQueue(getFirstQueue(first), getFirstQueue(second));
}

function isUrgentShareBefore(first: LaneItem, second: LaneItem): boolean {
    const team = first.lane.team;
    const other = second.lane.team;
    return team.isUrgentFirst === other.isUrgentFirst ? isShareBefore(first, second) : team.isUrgentFirst;
}

function getFirstQueue(item: LaneItem): JobQueue {
    return (item.lane.urgent.getFirst() ?? item.lane.normal.getFirst()) as JobQueue;
}

function isPriorQueue(first: JobQueue, second: JobQueue): boolean {
    return first.priority === second.priority ? isQueueBefore(first, second) : first.priority === "urgent";
}
