/**
 * Creates the rows of queues and of the active queues of a team. Both contain heap entries that refer back to them.
 */
import { IndexedHeap } from "./indexed-heap.js";
import { isJobBefore, isQueueBefore } from "./queue-order.js";
import type { ActiveQueues, JobQueue, JobRow, TaskShape, TeamRow } from "./rows.js";
import type { JobKind, Priority } from "./types.js";

/** Creates the active queues of a team for one shape, without any queue yet. */
export function createActiveQueues(team: TeamRow, shape: TaskShape): ActiveQueues {
    const queues: Omit<ActiveQueues, "entry" | "urgentEntry"> = {
        team,
        shape,
        urgent: new IndexedHeap(isQueueBefore),
        normal: new IndexedHeap(isQueueBefore),
    };
    const activeQueues = queues as ActiveQueues;
    return Object.assign(queues, {
        entry: { queues: activeQueues, share: team.weightedShare, heapIndex: -1 },
        urgentEntry: { queues: activeQueues, share: team.urgentWeightedShare, heapIndex: -1 },
    });
}

/** Creates a queue without jobs. */
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
