/**
 * An in-memory machine service for tests, with one machine for each fake executor and maintenance of a fixed duration.
 * It records a violation when too many machines are away at once or the fencing tokens of orders decrease.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Machine, MachineId, MachineOrder } from "../machine-manager.js";
import { machineFailures, MachineManager } from "../machine-manager.js";
import type { FakeExecutor } from "./fake-executor.js";

/** Latency of a call in each direction, ms. */
const latencyMs = 5;

/** The clock, the limit that is checked, and the duration of maintenance. */
export interface FakeMachineManagerOptions {
    readonly clock: Clock;
    /** Most machines that may be away at the same time. */
    readonly maxAtOnce: number;
    readonly serviceMs: number;
}

/** Services machines by killing their executors until the maintenance is over. */
export class FakeMachineManager extends MachineManager {
    readonly violations: string[] = [];
    readonly serviced = new Set<MachineId>();
    /** Number of runs that maintenance has ended. */
    endedRuns = 0;
    /** Machines that are down, and not for maintenance. */
    readonly down = new Set<MachineId>();
    /** Orders are carried out but get no answer. */
    losesAnswers = false;
    private executors: readonly FakeExecutor[] = [];
    private readonly serviceEndsAt = new Map<MachineId, number>();
    private highestToken = 0;

    constructor(private readonly options: FakeMachineManagerOptions) {
        super();
    }

    connect(executors: readonly FakeExecutor[]): void {
        this.executors = executors;
    }

    /** Starts the executors of machines whose maintenance is over. */
    advance(): void {
        for (const [machine, at] of this.serviceEndsAt) {
            if (at <= this.options.clock.getNow()) {
                this.serviceEndsAt.delete(machine);
                this.findExecutor(machine)?.start();
            }
        }
    }

    override async list(): Promise<Result<readonly Machine[], Failure>> {
        await this.options.clock.wait(latencyMs);
        this.advance();
        return Ok(this.executors.map((executor): Machine => {
            const machine = toMachineId(executor);
            const isAway = this.serviceEndsAt.has(machine);
            return {
                machine,
                state: isAway ? "servicing" : this.down.has(machine) ? "down" : "up",
                executor: isAway ? undefined : executor.options.executor,
            };
        }));
    }

    override async performMaintenance(order: MachineOrder): Promise<Result<void, Failure>> {
        await this.options.clock.wait(latencyMs);
        this.advance();
        if (order.fencingToken < this.highestToken) {
            this.violations.push(
                `${order.machine}: order with fencing token ${order.fencingToken} after one with ${this.highestToken}`,
            );
        }
        this.highestToken = Math.max(this.highestToken, order.fencingToken);
        const executor = this.findExecutor(order.machine);
        if (executor !== undefined && !this.serviced.has(order.machine)) {
            if (this.serviceEndsAt.size >= this.options.maxAtOnce) {
                this.violations.push(`${order.machine}: ${this.serviceEndsAt.size} machines are away already`);
            }
            this.serviced.add(order.machine);
            this.serviceEndsAt.set(order.machine, this.options.clock.getNow() + this.options.serviceMs);
            this.endedRuns += executor.runningCount;
            executor.kill(true);
        }
        await this.options.clock.wait(latencyMs);
        return this.losesAnswers
            ? Err(
                createFailure(machineFailures.unanswered, "the machine service has not answered in time", "mayHaveRun"),
            )
            : Ok(undefined);
    }

    private findExecutor(machine: MachineId): FakeExecutor | undefined {
        return this.executors.find(executor => toMachineId(executor) === machine);
    }
}

/** Returns the id of the machine on which an executor runs. */
export function toMachineId(executor: FakeExecutor): MachineId {
    return toId<MachineId>(`machine-${executor.options.executor}`);
}
