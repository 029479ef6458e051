/** Machines in memory for tests: one under each fake executor, serviced for a fixed time. It judges how many are away at once. */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { Machine, MachineId, MachineOrder } from "../machine-manager.js";
import { machineFailures, MachineManager } from "../machine-manager.js";
import type { FakeExecutor } from "./fake-executor.js";

/** Time of an exchange, ms. */
const latencyMs = 5;

export interface FakeMachineManagerOptions {
    readonly clock: Clock;
    readonly maxAtOnce: number;
    readonly serviceMs: number;
}

export class FakeMachineManager extends MachineManager {
    readonly violations: string[] = [];
    readonly serviced = new Set<MachineId>();
    /** Runs that an order ended. */
    endedRuns = 0;
    /** Orders are carried out and get no answer. */
    losesAnswers = false;
    private executors: readonly FakeExecutor[] = [];
    private readonly backAt = new Map<MachineId, number>();
    private highestToken = 0;

    constructor(private readonly options: FakeMachineManagerOptions) {
        super();
    }

    connect(executors: readonly FakeExecutor[]): void {
        this.executors = executors;
    }

    /** Starts the executors of machines whose service is over. */
    advance(): void {
        for (const [machine, at] of this.backAt) {
            if (at <= this.options.clock.getNow()) {
                this.backAt.delete(machine);
                this.findExecutor(machine)?.start();
            }
        }
    }

    override async list(): Promise<Result<readonly Machine[], Failure>> {
        await this.options.clock.wait(latencyMs);
        this.advance();
        return Ok(this.executors.map((executor): Machine => {
            const machine = toMachineId(executor);
            const isAway = this.backAt.has(machine);
            return {
                machine,
                state: isAway ? "servicing" : "up",
                executor: isAway ? undefined : executor.options.executor,
            };
        }));
    }

    override async performMaintenance(order: MachineOrder): Promise<Result<void, Failure>> {
        await this.options.clock.wait(latencyMs);
        this.advance();
        if (order.fencingToken < this.highestToken) {
            this.violations.push(`${order.machine}: token ${order.fencingToken} after ${this.highestToken}`);
        }
        this.highestToken = Math.max(this.highestToken, order.fencingToken);
        const executor = this.findExecutor(order.machine);
        if (executor !== undefined && !this.serviced.has(order.machine)) {
            if (this.backAt.size >= this.options.maxAtOnce) {
                this.violations.push(`${order.machine}: ${this.backAt.size} machines are away already`);
            }
            this.serviced.add(order.machine);
            this.backAt.set(order.machine, this.options.clock.getNow() + this.options.serviceMs);
            this.endedRuns += executor.runningCount;
            executor.kill(true);
        }
        await this.options.clock.wait(latencyMs);
        return this.losesAnswers
            ? Err(createFailure(machineFailures.unanswered, "no answer", "mayHaveRun"))
            : Ok(undefined);
    }

    private findExecutor(machine: MachineId): FakeExecutor | undefined {
        return this.executors.find(executor => toMachineId(executor) === machine);
    }
}

export function toMachineId(executor: FakeExecutor): MachineId {
    return toId<MachineId>(`machine-${executor.options.executor}`);
}
