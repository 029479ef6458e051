/** The machines on which executors run, and their maintenance, which ends every run on them. */
import type { ExecutorId, Failure, Id, Result } from "@waxwingroute/core";

export type MachineId = Id<"machine">;

/** `servicing`: in maintenance. `moving`: being moved to another pool. */
export type MachineState = "up" | "moving" | "servicing" | "down";

/** A machine as the platform lists it. */
export interface Machine {
    readonly machine: MachineId;
    readonly state: MachineState;
    /** The executor that runs on it; `undefined` if none does. */
    readonly executor: ExecutorId | undefined;
}

/** An operator's request to service a set of machines, at most `maxAtOnce` of them at the same time. */
export interface MaintenanceWave {
    /** Number of the wave. */
    readonly wave: number;
    readonly machines: readonly MachineId[];
    /** Time within which the whole wave should be done, ms. */
    readonly durationMs: number;
    readonly maxAtOnce: number;
}

export type WaveState = "running" | "succeeded";

/** An order to service one machine for a wave. */
export interface MachineOrder {
    readonly machine: MachineId;
    readonly wave: number;
    /** Name of the host that owns the cell. */
    readonly holder: string;
    readonly fencingToken: number;
}

/**
 * Failure codes of machine calls. After `fenced` and `rejected` an order is not repeated; after any other it can be.
 */
export const machineFailures = {
    /** The machine has seen a higher fencing token. */
    fenced: "machine-fenced",
    /** The machine does not belong to the wave, or does not exist. */
    rejected: "machine-rejected",
    unavailable: "machines-unavailable",
    unanswered: "machines-unanswered",
} as const;

/** Client of the platform's machine service. Adapters implement the calls. */
export abstract class MachineManager {
    abstract list(): Promise<Result<readonly Machine[], Failure>>;
    /**
     * Starts the maintenance of a machine for a wave; succeeds without effect if the machine was serviced for it
     * before.
     */
    abstract performMaintenance(order: MachineOrder): Promise<Result<void, Failure>>;
}
