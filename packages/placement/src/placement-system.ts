/**
 * Starts waiting work: urgent queues first, then teams in the order of the objective.
 */
import { IndexedHeap } from "./indexed-heap.js";
import type { PlacementPolicy } from "./policies.js";
import { createPolicies } from "./policies.js";
import { findNextQueue } from "./queues.js";
import type { JobQueue, JobRow, TeamRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { fitsGrant } from "./team-shares.js";
import type { JobKind } from "./types.js";

/** Delay before a search that was not complete, or that concerns a gang, is repeated, in milliseconds. */
const retryDelayMs = 200;

/** Places the first job of the team that is next, until nothing can be placed or the budget ends. */
export class PlacementSystem {
    private readonly state: PlacementState;
    private readonly policies: Readonly<Record<JobKind, PlacementPolicy>>;
    private readonly order = new IndexedHeap<TeamRow>(isTeamBefore);

    constructor(state: PlacementState) {
        this.state = state;
        this.policies = createPolicies(state);
    }

    run(): void {
        this.runPass(team => this.selectUrgent(team));
        this.runPass(team => findNextQueue(team, false));
    }

    /** Returns the number of tasks of a job that start together. */
    countTogether(job: JobRow): number {
        return this.policies[job.kind].countTogether(job);
    }

    private selectUrgent(team: TeamRow): JobQueue | undefined {
        // For fairness, urgency does not lift a team above its share while others wait.
        return this.state.options.objective === "fairness" && this.state.shares.isOverShare(team)
            ? undefined
            : findNextQueue(team, true);
    }

    private runPass(select: (team: TeamRow) => JobQueue | undefined): void {
        const { queues, shares } = this.state;
        if (queues.openShapes.size === 0) {
            return;
        }
        for (const team of this.state.teams.values()) {
            const queue = team.lanes.size === 0 ? undefined : select(team);
            if (queue !== undefined) {
                shares.updateOrder(team, queue);
                this.order.push(team);
            }
        }
        for (let team = this.order.getFirst(); team !== undefined; team = this.order.getFirst()) {
            const queue = this.state.isBudgetExhausted ? undefined : select(team);
            if (queue === undefined) {
                this.order.remove(team);
                continue;
            }
            this.placeFirst(queue);
            const next = select(team);
            if (next !== undefined) {
                shares.updateOrder(team, next);
                this.order.update(team);
            }
        }
    }

    private placeFirst(queue: JobQueue): void {
        const { queues, now } = this.state;
        const job = queue.jobs.getFirst() as JobRow;
        const policy = this.policies[queue.kind];
        if (!fitsGrant(queue.team, queue.shape, policy.countTogether(job))) {
            queues.setState(queue, "grant");
            return;
        }
        const outcome = policy.placeNext(job);
        if (outcome === "full") {
            queues.closeShape(queue.shape);
        }
        else if (outcome === "unclear" && queue.kind === "gang") {
            queues.pause(queue, now + retryDelayMs);
        }
        else if (outcome === "unclear") {
            queues.closeShape(queue.shape, now + retryDelayMs);
        }
    }
}

function isTeamBefore(first: TeamRow, second: TeamRow): boolean {
    return first.rank < second.rank || first.rank === second.rank && first.orderKey < second.orderKey;
}
