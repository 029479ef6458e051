/** Room of the executors that the advice service grants. */
import type { JobStep } from "./types.js";

/** An executor as the checks see it. */
export interface FleetExecutor {
    readonly id: string;
    /** Number of the present life; `undefined` while it is down. */
    readonly life: number | undefined;
    readonly room: { readonly cpu: number; readonly memoryMb: number; };
    /** Thousandths of a core. */
    readonly cpuCapacity: number;
}

/** Says which executors may run a step. */
export interface GrantPolicy {
    allows(step: string, executor: string): boolean;
}

/** How many tasks of a step have room. */
export interface StepRoom {
    readonly places: number;
    /** Executors that are granted and up. */
    readonly executors: number;
    /** Tasks that must start together. */
    readonly wanted: number;
}

/** The executors of a run. */
export class FleetRoom {
    constructor(private readonly executors: readonly FleetExecutor[], private readonly policy: GrantPolicy) {}

    /** Whether half of the capacity or more is in use. */
    get isHalfUsed(): boolean {
        const free = this.executors.reduce((sum, { room, cpuCapacity }) => sum + room.cpu / cpuCapacity, 0);
        return free <= this.executors.length / 2;
    }

    countRoom(key: string, { cpu, memoryMb, count, isGang }: JobStep): StepRoom {
        const granted = this.executors.filter(({ id, life }) => life !== undefined && this.policy.allows(key, id));
        const places = granted.map(({ room }) =>
            Math.max(0, Math.min(Math.floor(room.cpu / cpu), Math.floor(room.memoryMb / memoryMb)))
        );
        return {
            places: places.reduce((sum, part) => sum + part, 0),
            executors: granted.length,
            wanted: isGang === true ? count : 1,
        };
    }
}

/** Whether there is room for a step twice over. */
export function hasRoomTwice({ places, wanted }: StepRoom): boolean {
    return places >= 2 * wanted;
}
