/** The machines behind the executors, and the operations on them that end everything that they run. */
import type { ExecutorId, Failure, Id, Result } from "@waxwingroute/core";

export type MachineId = Id<"machine">;

/** `servicing`: in upkeep. `moving`: on its way to another pool. */
export type MachineState = "up" | "moving" | "servicing" | "down";

export interface Machine {
    readonly machine: MachineId;
    readonly state: MachineState;
    /** The executor that runs on it; `undefined` if none does. */
    readonly executor: ExecutorId | undefined;
}

/** Machines that operators want serviced, at most `maxAtOnce` of them at the same time. */
export interface MaintenanceWave {
    readonly wave: number;
    readonly machines: readonly MachineId[];
    readonly durationMs: number;
    readonly maxAtOnce: number;
}

export type WaveState = "running" | "succeeded";

export interface MachineOrder {
    readonly machine: MachineId;
    readonly wave: number;
    /** Name of the host that owns the cell. */
    readonly holder: string;
    readonly fencingToken: number;
}

/** Codes of failures that the owner tells apart; all others mean that the order can be sent again. */
export const machineFailures = {
    /** The machine has seen a higher fencing token. */
    fenced: "machine-fenced",
    /** The machine does not belong to the wave, or does not exist. */
    rejected: "machine-rejected",
    unavailable: "machines-unavailable",
    unanswered: "machines-unanswered",
} as const;

export abstract class MachineManager {
    /** Lists all machines. */
    abstract list(): Promise<Result<readonly Machine[], Failure>>;
    /** Services a machine for a wave; succeeds without effect if that was done before. */
    abstract performMaintenance(order: MachineOrder): Promise<Result<void, Failure>>;
}
