/**
 * The waiting jobs of one team for one queue, earliest deadline first.
 */
import type { QueueId } from "@waxwingroute/core";
import type { Job } from "./job.js";

/** A sorted array: the bound on waiting jobs keeps it short, and the position of a job gives the work ahead of it. */
export class Lane {
    /** Latest deadline first, so that the earliest is taken from the end without moving the others. */
    private readonly jobs: Job[] = [];

    constructor(readonly queue: QueueId) {}

    get size(): number {
        return this.jobs.length;
    }

    /** Returns the job that is `position` places behind the first. */
    get(position: number): Job | undefined {
        return this.jobs[this.jobs.length - 1 - position];
    }

    /** Returns the number of jobs that go before a new job with this deadline. */
    countAhead(deadline: number): number {
        return this.jobs.length - this.findIndex(deadline);
    }

    insert(job: Job): void {
        this.jobs.splice(this.findIndex(job.deadline), 0, job);
    }

    /** Removes a job and returns whether it was there. */
    remove(job: Job): boolean {
        if (this.jobs[this.jobs.length - 1] === job) {
            this.jobs.pop();
            return true;
        }
        const index = this.jobs.indexOf(job);
        if (index >= 0) {
            this.jobs.splice(index, 1);
        }
        return index >= 0;
    }

    /** Returns the first index whose deadline is at most `deadline`; equal deadlines keep their order of arrival. */
    private findIndex(deadline: number): number {
        let low = 0;
        let high = this.jobs.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.jobs[middle]!.deadline > deadline) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
