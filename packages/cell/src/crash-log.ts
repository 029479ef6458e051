/**
 * Logs what crashes of executors count under which tasks, the probes that are in flight or due, and the jobs that are
 * given up, and counts them for the gauges.
 */
import type { Clock, ExecutorId } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { GivenUpJob, ProbeSample, WorkflowScheduler } from "@waxwingroute/workflow";
import type { LostRun } from "./tracked-run.js";

/** The scheduler, clock and log of a `CrashLog`. */
export interface CrashLogOptions {
    readonly scheduler: WorkflowScheduler;
    readonly clock: Clock;
    readonly logger: LogWriter;
}

interface CrashCounts {
    executors: number;
    crashed: number;
    suspected: number;
    lost: number;
    givenUp: number;
}

/** Logs and counts the crashes that an owner notices. */
export class CrashLog {
    private readonly counts = createCounts();
    private probes: ProbeSample | undefined;

    constructor(private readonly options: CrashLogOptions) {}

    /** The gauges by name; the counts begin with the owner. */
    get gauges(): Readonly<Record<string, number>> {
        return createCrashGauges(this.counts, this.probes);
    }

    /** Logs which runs an executor had when it crashed, the youngest first, and what each counts as. */
    recordCrash(executor: ExecutorId, runs: readonly LostRun[]): void {
        this.counts.executors += 1;
        for (const { outcome } of runs) {
            this.counts[outcome] += 1;
        }
        const youngestFirst = [...runs].sort((first, second) => first.ageMs - second.ageMs);
        this.options.logger.write("info", "executor crashed", {
            executor,
            count: runs.length,
            runs: youngestFirst.map(describeRun).join(", "),
        });
    }

    recordGivenUp({ job, task, crashes, suspicions }: GivenUpJob): void {
        this.counts.givenUp += 1;
        this.options.logger.write("warn", "job given up", { job, task, crashes, suspicions });
    }

    /** Logs the probes, if there are any. Called about once a second. */
    sample(): void {
        const { clock, logger, scheduler } = this.options;
        const sample = scheduler.sampleProbes(clock.getNow());
        this.probes = sample;
        if (sample.inFlight.length + sample.waiting > 0) {
            logger.write("info", "probes", {
                inFlight: sample.inFlight.map(({ task, executor, ageMs }) =>
                    `${task} on ${executor} for ${Math.round(ageMs)}`
                ).join(", "),
                waiting: sample.waiting,
                next: sample.next,
            });
        }
    }
}

/** Returns the gauges; without inputs, as on a host that does not own the cell, all are 0. */
export function createCrashGauges(
    counts: Readonly<CrashCounts> = createCounts(),
    probes?: ProbeSample,
): Readonly<Record<string, number>> {
    return {
        crashed_executors: counts.executors,
        crashed_runs: counts.crashed,
        suspected_runs: counts.suspected,
        runs_lost_in_crashes: counts.lost,
        jobs_given_up_for_crashes: counts.givenUp,
        probes_in_flight: probes?.inFlight.length ?? 0,
        probes_waiting: probes?.waiting ?? 0,
    };
}

function createCounts(): CrashCounts {
    return { executors: 0, crashed: 0, suspected: 0, lost: 0, givenUp: 0 };
}

function describeRun({ task, run, ageMs, isListed, isProbe, outcome }: LostRun): string {
    const kind = `${isProbe ? " probe" : ""}${isListed ? "" : " unlisted"}`;
    return `${task}#${run} ${Math.round(ageMs)} ms${kind} ${outcome}`;
}
