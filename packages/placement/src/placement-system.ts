/**
 * Starts waiting tasks: those of urgent queues first, then those of the teams in the order of the objective.
 */
import type { PlacementPolicy } from "./policies.js";
import { createPolicies } from "./policies.js";
import type { JobQueue, JobRow } from "./rows.js";
import type { PlacementState } from "./state.js";
import { fitsGrant } from "./team-shares.js";
import type { JobKind } from "./types.js";

/** Delay before a search that was cut short, or a search for a gang, is repeated, in milliseconds. */
const retryDelayMs = 200;

/** Places the first job of the next queue, until no job can be placed or the budget is used up. */
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

    /** Places jobs of all queues or, with `isUrgentOnly`, of urgent queues only. */
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
        if (!fitsGrant(queue.team, queue.shape, policy.countTasksPerStart(job))) {
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
