/**
 * Watches the calm for jobs that stand: nothing of the job runs, though one of its tasks could, there is room for it twice
 * over on executors that the advice service grants, and under half of the capacity is in use.
 */
import { FleetRoom, hasRoomTwice } from "./fleet-room.js";
import type { FleetExecutor, GrantPolicy, StepRoom } from "./fleet-room.js";
import type { RecordedJob, RecordedRun, RunRecord } from "./run-record.js";
import { countFailures } from "./workload.js";

/** How long a job may stand, ms. */
export const maxStandingMs = 3_000;
const sampleIntervalMs = 250;

/** The executors and record of a watch. */
export interface StandingWatchOptions {
    readonly record: RunRecord;
    readonly executors: readonly FleetExecutor[];
    readonly policy: GrantPolicy;
    /** Failed runs after which a task is not started again. */
    readonly maxAttempts: number;
}

/** A job that stands or stood. */
interface Standing {
    readonly job: RecordedJob;
    readonly step: string;
    readonly room: StepRoom;
    readonly runCount: number;
    readonly since: number;
    until: number;
}

/** Samples the record until it is closed. */
export class StandingWatch {
    private readonly present = new Map<string, Standing>();
    private readonly ended: Standing[] = [];
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: StandingWatchOptions) {}

    /** Begins after a delay, ms. */
    start(delayMs: number): void {
        this.timer = setTimeout(() => {
            this.timer = setInterval(() => this.sample(), sampleIntervalMs);
        }, delayMs);
    }

    close(): void {
        clearInterval(this.timer);
    }

    /** The longest time that a job stood, ms. */
    get longestMs(): number {
        return Math.max(0, ...this.listAll().map(({ since, until }) => until - since));
    }

    /** Returns a text for each job that stood longer than it may. */
    listBreaks(): string[] {
        return this.listAll().filter(({ since, until }) => until - since >= maxStandingMs).map(row => {
            const { job, step, room, runCount, since, until } = row;
            return `${step} of ${job.queue} could run, and nothing of its job ran from ${formatTime(since)} to ${
                formatTime(until)
            } (${room.places} places on ${room.executors} executors; the step wants ${room.wanted} at once; ${runCount} runs so far)`;
        });
    }

    /** Takes one sample. */
    sample(): void {
        const { record, executors, policy } = this.options;
        const fleet = new FleetRoom(executors, policy);
        const runs = collectByJob(record.runs);
        const isHalfUsed = fleet.isHalfUsed;
        for (const job of record.jobs.values()) {
            const found = isHalfUsed || !isOpen(job)
                ? undefined
                : this.findStanding(job, runs.get(job.id) ?? [], fleet);
            const known = this.present.get(job.id);
            if (found === undefined) {
                if (known !== undefined) {
                    this.present.delete(job.id);
                    this.ended.push(known);
                }
            }
            else if (known === undefined) {
                this.present.set(job.id, found);
            }
            else {
                known.until = record.now;
            }
        }
    }

    private listAll(): Standing[] {
        return [...this.ended, ...this.present.values()];
    }

    private findStanding(job: RecordedJob, runs: readonly RecordedRun[], fleet: FleetRoom): Standing | undefined {
        if (runs.some(run => run.endedAt === undefined)) {
            return undefined;
        }
        const done = new Set(runs.filter(run => run.end === "done").map(run => run.task));
        const isDone = (number: number) =>
            Array.from({ length: job.steps[number]!.count }, (_, index) => `${job.id}.0.${number}.${index}`)
                .every(task => done.has(task));
        for (const [number, step] of job.steps.entries()) {
            const key = `${job.id}.0.${number}`;
            if (
                isDone(number) || !step.after.every(isDone)
                || countFailures(job, number, runs) >= this.options.maxAttempts
            ) {
                continue;
            }
            const room = fleet.countRoom(key, step);
            if (hasRoomTwice(room)) {
                const { now } = this.options.record;
                return { job, step: key, room, runCount: runs.length, since: now, until: now };
            }
        }
        return undefined;
    }
}

function isOpen({ acceptedAt, cancelSentAt, states }: RecordedJob): boolean {
    const state = states.at(-1)?.state ?? "";
    return acceptedAt !== undefined && cancelSentAt === undefined
        && !["succeeded", "failed", "cancelled"].includes(state);
}

function collectByJob(runs: readonly RecordedRun[]): Map<string, RecordedRun[]> {
    const groups = new Map<string, RecordedRun[]>();
    for (const run of runs) {
        const group = groups.get(run.job) ?? [];
        group.push(run);
        groups.set(run.job, group);
    }
    return groups;
}

function formatTime(ms: number): string {
    return `${(ms / 1_000).toFixed(3)} s`;
}
