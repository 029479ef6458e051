/**
 * Says what the tasks of earlier jobs wait for after a takeover: which executors have not listed their runs, which
 * earlier owners may still send orders, and when the wait ends at the latest.
 */
import type { Clock, ExecutorId } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";

/** What holds tasks back. */
export interface HeldTasks {
    /** Executors that may run tasks by an order of an earlier owner. */
    readonly executors: readonly ExecutorId[];
    /** Epochs of the earlier owners that may still send orders. */
    readonly earlierEpochs: readonly number[];
    /** Time by which the leases of these executors have expired, if they do not answer before. */
    readonly endsAt: number;
}

/** The clock, log and source of a `HeldTasksLog`. */
export interface HeldTasksLogOptions {
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Returns what holds tasks back; `undefined` if none are. */
    readonly describeHeldTasks: () => HeldTasks | undefined;
}

/** Most executors that a log line names. */
const maxNamedExecutors = 5;

/** Logs what holds tasks back, and keeps the gauges of it. */
export class HeldTasksLog {
    private readonly startedAt: number;

    constructor(private readonly options: HeldTasksLogOptions) {
        this.startedAt = options.clock.getNow();
    }

    /** How long tasks have been held back, ms, and by how many executors and earlier owners; 0 if none are. */
    get gauges(): Readonly<Record<string, number>> {
        const { clock, describeHeldTasks } = this.options;
        return createHeldTasksGauges(describeHeldTasks(), clock.getNow() - this.startedAt);
    }

    /** Writes a line if tasks are held back. Called once a second. */
    sample(): void {
        const { clock, describeHeldTasks, logger } = this.options;
        const held = describeHeldTasks();
        if (held !== undefined) {
            logger.write("info", "tasks held back", {
                sinceMs: Math.round(clock.getNow() - this.startedAt),
                executors: held.executors.length,
                executorNames: held.executors.slice(0, maxNamedExecutors).join(","),
                earlierEpochs: held.earlierEpochs.join(","),
                endsInMs: Math.round(held.endsAt - clock.getNow()),
            });
        }
    }
}

/** Returns the gauges; all are 0 if no tasks are held back. */
export function createHeldTasksGauges(held: HeldTasks | undefined, sinceMs: number): Readonly<Record<string, number>> {
    return {
        held_tasks_ms: held === undefined ? 0 : Math.round(sinceMs),
        held_tasks_executors: held?.executors.length ?? 0,
        held_tasks_earlier_owners: held?.earlierEpochs.length ?? 0,
    };
}
