/**
 * Drives a placer with generated work in virtual time. Tasks run for a given time; nothing else of a cluster is modelled.
 */
import type { JobId, TaskId } from "@waxwingroute/core";
import { parseTaskId } from "@waxwingroute/core";
import type { JobSubmission } from "@waxwingroute/placement";
import type { Placer } from "./placers.js";

/** A job and when it arrives. */
export interface Arrival {
    readonly at: number;
    readonly submission: JobSubmission;
    /** Run time of one task, which the placer does not know. */
    readonly runMs: number;
}

/** What happened to one task for the first time. */
export interface FirstStart {
    readonly arrival: Arrival;
    readonly waitMs: number;
    /** `false` if the task still waited at the end; `waitMs` is then a lower bound. */
    readonly hasStarted: boolean;
}

interface RunningTask {
    readonly task: TaskId;
    readonly cpuMillis: number;
    endAt: number;
    outcome: "succeeded" | "preempted";
}

const tickMs = 100;
/** Time that a worker takes to save the state of a task. */
const checkpointMs = 1000;

/** Runs the arrivals, in order of time, until `endAt`. */
export class VirtualDrive {
    now = 0;
    readonly firstStarts: FirstStart[] = [];
    preemptionCount = 0;
    /** Processor time of tasks, in thousandths of a core times milliseconds. */
    usedCpuMs = 0;
    private runningCpu = 0;
    private readonly placer: Placer;
    private readonly jobs = new Map<JobId, Arrival>();
    private readonly started = new Set<TaskId>();
    private readonly running = new Map<TaskId, RunningTask>();
    private readonly remainingMs = new Map<TaskId, number>();
    /** Ends by tick number. */
    private readonly ends = new Map<number, RunningTask[]>();

    constructor(placer: Placer) {
        this.placer = placer;
    }

    /** Runs; `onTick` is called after each tick. */
    run(arrivals: readonly Arrival[], endAt: number, onTick?: () => void): void {
        let next = 0;
        for (this.now = 0; this.now <= endAt; this.now += tickMs) {
            this.finishDue();
            for (
                let arrival = arrivals[next];
                arrival !== undefined && arrival.at <= this.now;
                arrival = arrivals[next]
            ) {
                this.jobs.set(arrival.submission.job, arrival);
                this.placer.submitJob(this.now, arrival.submission);
                next++;
            }
            this.applyDecisions();
            this.usedCpuMs += this.runningCpu * tickMs;
            onTick?.();
        }
    }

    private finishDue(): void {
        const tick = Math.floor(this.now / tickMs);
        const due = this.ends.get(tick) ?? [];
        this.ends.delete(tick);
        for (const running of due) {
            // A task that was preempted in the meantime is listed again under its new end.
            if (this.running.get(running.task) === running && running.endAt <= this.now) {
                this.running.delete(running.task);
                this.runningCpu -= running.cpuMillis;
                this.placer.recordEnded(this.now, running.task, running.outcome);
            }
        }
    }

    private applyDecisions(): void {
        for (const decision of this.placer.tick(this.now)) {
            if (decision.kind === "start") {
                this.start(decision.task, decision.job);
            }
            else {
                this.preempt(decision.task);
            }
        }
    }

    private start(task: TaskId, job: JobId): void {
        const arrival = this.jobs.get(job) as Arrival;
        if (!this.started.has(task)) {
            this.started.add(task);
            this.firstStarts.push({ arrival, waitMs: this.now - arrival.at, hasStarted: true });
        }
        const runMs = this.remainingMs.get(task) ?? computeRunMs(task, arrival);
        const { cpuMillis } = arrival.submission.resources;
        const running: RunningTask = { task, cpuMillis, endAt: this.now + runMs, outcome: "succeeded" };
        this.runningCpu += cpuMillis;
        this.running.set(task, running);
        this.scheduleEnd(running);
    }

    private preempt(task: TaskId): void {
        const running = this.running.get(task);
        if (running !== undefined && running.endAt > this.now + checkpointMs) {
            this.preemptionCount++;
            this.remainingMs.set(task, running.endAt - this.now - checkpointMs);
            running.endAt = this.now + checkpointMs;
            running.outcome = "preempted";
            this.scheduleEnd(running);
        }
    }

    private scheduleEnd(running: RunningTask): void {
        const tick = Math.max(Math.floor(this.now / tickMs) + 1, Math.ceil(running.endAt / tickMs));
        const list = this.ends.get(tick);
        if (list === undefined) {
            this.ends.set(tick, [running]);
        }
        else {
            list.push(running);
        }
    }

    /** Adds the tasks that never started to `firstStarts`, with their wait until now. */
    recordUnstarted(): void {
        const counts = new Map<JobId, number>();
        for (const task of this.started) {
            const { job } = parseTaskId(task) as { readonly job: JobId; };
            counts.set(job, (counts.get(job) ?? 0) + 1);
        }
        for (const [job, arrival] of this.jobs) {
            for (let count = counts.get(job) ?? 0; count < arrival.submission.taskCount; count++) {
                this.firstStarts.push({ arrival, waitMs: this.now - arrival.at, hasStarted: false });
            }
        }
    }
}

/** Returns the run time of a task: that of its job, up to 20% more or less. */
function computeRunMs(task: TaskId, arrival: Arrival): number {
    const index = parseTaskId(task)?.index ?? 0;
    return arrival.runMs * (0.8 + 0.4 * (index * 0.618 % 1));
}
