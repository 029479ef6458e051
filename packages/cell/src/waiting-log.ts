/**
 * Says why tasks that could start do not: samples the scheduler at intervals, logs the steps that wait, and counts them by
 * reason for the gauges.
 */
import type { Clock } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { WaitingSample, WaitingStep, WorkflowScheduler } from "@waxwingroute/workflow";
import { waitingReasons } from "@waxwingroute/workflow";

/** The scheduler, clock and log of a `WaitingLog`. */
export interface WaitingLogOptions {
    readonly scheduler: WorkflowScheduler;
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Called with each sample, once a second. */
    readonly onSample: (sample: WaitingSample) => void;
}

/** Interval between samples, ms. */
const sampleIntervalMs = 1_000;

/** Logs and counts the waiting steps of an owner. */
export class WaitingLog {
    private isClosed = false;
    private latest: WaitingSample | undefined;

    constructor(private readonly options: WaitingLogOptions) {}

    /** Number of waiting steps by the name of the gauge; all are 0 before the first sample. */
    get gauges(): Readonly<Record<string, number>> {
        return createWaitingGauges(this.latest);
    }

    /** Samples the scheduler until `close`. */
    async run(): Promise<void> {
        while (!this.isClosed) {
            await this.options.clock.wait(sampleIntervalMs);
            if (!this.isClosed) {
                this.sample();
            }
        }
    }

    close(): void {
        this.isClosed = true;
    }

    private sample(): void {
        const { clock, scheduler } = this.options;
        this.latest = scheduler.sampleWaitingSteps(clock.getNow());
        this.latest.news.forEach(step => this.writeStep(step));
        this.options.onSample(this.latest);
    }

    private writeStep({ step, task, waitingTasks, cause, sinceMs, reasonSinceMs, adviceDueMs }: WaitingStep): void {
        const { reason, executors, freeSlots, newSlots, adviceInFlightMs, adviceAgeMs, awaitedRun, taken } = cause;
        const counts = Object.entries(executors).filter(([, count]) => count > 0);
        this.options.logger.write("info", "step waits", {
            step,
            task,
            reason,
            waitingTasks,
            sinceMs: Math.round(sinceMs),
            reasonSinceMs: Math.round(reasonSinceMs),
            freeSlots,
            newSlots: newSlots > 0 ? newSlots : undefined,
            sinceTickMs: roundAge(cause.sinceTickMs),
            takenBy: taken?.step,
            takenAgeMs: roundAge(taken?.ageMs),
            reservedFor: cause.reservedFor,
            awaitedExecutor: awaitedRun?.executor,
            awaitedState: awaitedRun?.state,
            awaitedAgeMs: roundAge(awaitedRun?.ageMs),
            executors: counts.map(([name, count]) => `${name}:${count}`).join(","),
            adviceInFlightMs: roundAge(adviceInFlightMs),
            adviceAgeMs: roundAge(adviceAgeMs),
            adviceDueMs: reason === "adviceNotAsked" || reason === "ticketExpired" ? roundAge(adviceDueMs) : undefined,
        });
    }
}

/** Returns a gauge for each reason, so that one whose reason no longer holds is set to 0. */
export function createWaitingGauges(sample: WaitingSample | undefined): Readonly<Record<string, number>> {
    const gauges: Record<string, number> = { waiting_steps_not_examined: sample?.notExamined ?? 0 };
    for (const reason of waitingReasons) {
        const name = reason.replaceAll(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
        gauges[`waiting_steps_${name}`] = sample?.counts.get(reason) ?? 0;
    }
    return gauges;
}

function roundAge(ageMs: number | undefined): number | undefined {
    return ageMs === undefined ? undefined : Math.round(ageMs);
}
