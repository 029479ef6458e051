/**
 * Creates the rows of queues and lanes. Both contain items that refer back to them.
 */
import { IndexedHeap } from "./indexed-heap.js";
import { isJobBefore, isQueueBefore } from "./queue-order.js";
import type { ActiveQueues, JobQueue, JobRow, TaskShape, TeamRow } from "./rows.js";
import type { JobKind, Priority } from "./types.js";

/** Creates the queues of a team for one size. */
export function createActiveQueues(team: TeamRow, shape: TaskShape): ActiveQueues {
    const queues: Omit<ActiveQueues, "entry" | "urgentEntry"> = {
        team,
        shape,
        urgent: new IndexedHeap(isQueueBefore),
        normal: new IndexedHeap(isQueueBefore),
    };
    const complete = queues as ActiveQueues;
    return Object.assign(queues, {
        entry: { queues: complete, share: team.weightedShare, heapIndex: -1 },
        urgentEntry: { queues: complete, share: team.urgentWeightedShare, heapIndex: -1 },
    });
}

/** Creates an empty queue. */
export function createQueue(team: TeamRow, priority: Priority, kind: JobKind, shape: TaskShape, key: string): JobQueue {
    const queue: Omit<JobQueue, "candidate"> = {
        team,
        kind,
        priority,
        shape,
        jobs: new IndexedHeap<JobRow>(isJobBefore),
        state: "empty",
        retryAt: 0,
        preemptRetryAt: 0,
        heapIndex: -1,
        key,
    };
    return Object.assign(queue, {
        candidate: { queue: queue as JobQueue, retryAt: 0, heapIndex: -1 },
    });
}
