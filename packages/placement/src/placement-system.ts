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
        this.runPass(true);
        this.runPass(false);
    }

    /** Places the queues of the teams in order, in the first pass only urgent ones. */
    private runPass(isUrgentOnly: boolean): void {
        const { openShapes } = this.state.queues;
        if (openShapes.size === 0) {
            return;
        }
        for (const team of this.state.teams.values()) {
            if (isUrgentOnly ? team.urgentCount > 0 : team.lanes.size > 0) {
                this.updateOrder(team, isUrgentOnly);
                this.order.push(team);
            }
        }
        for (let team = this.order.getFirst(); team !== undefined; team = this.order.getFirst()) {
            if (this.state.isBudgetExhausted || openShapes.size === 0) {
                this.order.clear();
                return;
            }
            const queue = this.findNext(team, isUrgentOnly);
            if (queue === undefined) {
                this.order.remove(team);
                continue;
            }
            this.placeFirst(queue);
            this.updateOrder(team, isUrgentOnly);
            this.order.update(team);
        }
    }

    private updateOrder(team: TeamRow, isUrgentOnly: boolean): void {
        const needsQueue = this.state.options.objective === "waiting";
        this.state.shares.updateOrder(team, needsQueue ? this.findNext(team, isUrgentOnly) : undefined, isUrgentOnly);
    }

    private findNext(team: TeamRow, isUrgentOnly: boolean): JobQueue | undefined {
        const { queues, shares } = this.state;
        return isUrgentOnly && !shares.allowsUrgentFirst(team)
            ? undefined
            : findNextQueue(team, queues.openShapes, isUrgentOnly);
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
