/**
 * The records of a stand-in process as one JSON value, for `GET /records`.
 */
import type { TaskId, TeamId, WorkerId } from "@waxwingroute/core";
import type { Fleet } from "./fleet.js";
import type {
    ExecutorOverload,
    LateStart,
    Overcommit,
    RepeatedRequest,
    RepeatedStart,
    RequestRun,
    TaskInTwoPlaces,
    TaskRun,
} from "./records.js";
import type { StoreCalls, StoreCounts } from "./store-state.js";

/** Everything that a stand-in process recorded. Times in milliseconds of its monotonic clock. */
export interface RecordsReport {
    readonly now: number;
    readonly store: StoreCounts;
    readonly storeCalls: StoreCalls;
    readonly overcommits: readonly Overcommit[];
    readonly tasksInTwoPlaces: readonly TaskInTwoPlaces[];
    readonly repeatedStarts: readonly RepeatedStart[];
    readonly lateStarts: readonly LateStart[];
    readonly repeatedRequests: readonly RepeatedRequest[];
    readonly overloads: readonly ExecutorOverload[];
    /** Running tasks. */
    readonly running: readonly {
        readonly task: TaskId;
        readonly team: TeamId;
        readonly workers: readonly WorkerId[];
    }[];
    readonly taskRunCount: number;
    readonly requestRunCount: number;
    /** The newest 200,000 task runs; empty if the report was requested without runs. */
    readonly taskRuns: readonly TaskRun[];
    /** The newest 200,000 request runs; empty if the report was requested without runs. */
    readonly requestRuns: readonly RequestRun[];
}

/** Collects the records of a fleet; the single runs are left out if `hasRuns` is false. */
export function createRecordsReport(fleet: Fleet, hasRuns = true): RecordsReport {
    const { records, store, clock } = fleet;
    return {
        now: clock.getNow(),
        store: store.state.counts,
        storeCalls: store.state.calls,
        overcommits: records.overcommits,
        tasksInTwoPlaces: records.tasksInTwoPlaces,
        repeatedStarts: records.repeatedStarts,
        lateStarts: records.lateStarts,
        repeatedRequests: records.repeatedRequests,
        overloads: records.overloads,
        running: records.listRunning(),
        taskRunCount: records.taskRunCount,
        requestRunCount: records.requestRunCount,
        taskRuns: hasRuns ? records.taskRuns : [],
        requestRuns: hasRuns ? records.requestRuns : [],
    };
}
