/**
 * Starts waiting work: urgent queues first, then teams in the order of the objective.
 */
import type { PlacementPolicy } from "./policies.js";
import { createPolicies } from "./policies.js";
import type { JobQueue, JobRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { fitsGrant } from "./team-shares.js";
import type { JobKind } from "./types.js";

/** Delay before a search that was not complete, or that concerns a gang, is repeated, in milliseconds. */
const retryDelayMs = 200;

/** Places the first job of the team that is next, until nothing can be placed or the budget ends. */
export class PlacementSystem {
    private readonly state: PlacementState;
    private readonly policies: Readonly<Record<JobKind, PlacementPolicy>>;

    constructor(state: PlacementState) {
        this.state = state;
        this.policies = createPolicies(state);
    }

    run(): void {
        this.runPass(true);
        this.runPass(false);
    }

    /** Places the next queues, in the first pass only urgent ones. */
    private runPass(isUrgentOnly: boolean): void {
        const { queues } = this.state;
        while (!this.state.isBudgetExhausted) {
            const queue = queues.findNext(isUrgentOnly);
            if (queue === undefined) {
                return;
            }
            this.placeFirstJob(queue);
        }
    }

    private placeFirstJob(queue: JobQueue): void {
        const { queues, now } = this.state;
        const job = queue.jobs.getFirst() as JobRow;
        const policy = this.policies[queue.kind];
        if (!fitsGrant(queue.team, queue.shape, policy.countStartedTogether(job))) {
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
