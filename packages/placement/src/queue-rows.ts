/**
 * Creates the rows of queues and lanes. Both contain items that refer back to them.
 */
import { IndexedHeap } from "./indexed-heap.js";
import { isJobBefore, isQueueBefore } from "./queue-order.js";
import type { JobQueue, JobRow, Lane, Shape, TeamRow } from "./rows.js";
import type { JobKind, Priority } from "./types.js";

/** Creates the lane of a team for one size. */
export function createLane(team: TeamRow, shape: Shape): Lane {
    const lane: Omit<Lane, "item" | "urgentItem"> = {
        team,
        shape,
        urgent: new IndexedHeap(isQueueBefore),
        normal: new IndexedHeap(isQueueBefore),
    };
    const complete = lane as Lane;
    return Object.assign(lane, {
        item: { lane: complete, share: team.weightedShare, heapIndex: -1 },
        urgentItem: { lane: complete, share: team.urgentWeightedShare, heapIndex: -1 },
    });
}

/** Creates an empty queue. */
export function createQueue(team: TeamRow, priority: Priority, kind: JobKind, shape: Shape, key: string): JobQueue {
    const queue: Omit<JobQueue, "candidate"> = {
        team,
        kind,
        priority,
        shape,
        jobs: new IndexedHeap<JobRow>(isJobBefore),
        state: "empty",
        retryAt: 0,
        preemptAt: 0,
        heapIndex: -1,
        key,
    };
    return Object.assign(queue, {
        candidate: { queue: queue as JobQueue, retryAt: 0, heapIndex: -1 },
    });
}
