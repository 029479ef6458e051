/**
 * Carries out the operators' maintenance waves: moves the runs off executors, orders maintenance of their machines, and
 * stores when a wave has succeeded.
 *
 * The machines whose maintenance has begun are stored, so that the next owner does not evacuate their executors again.
 * An order without an answer is repeated; a repeated order has no effect if the first was carried out. While an order
 * is unanswered, its machine counts as away.
 */
import type { Clock, ExecutorId } from "@waxwingroute/core";
import { Ok } from "@waxwingroute/core";
import type { LogWriter } from "@waxwingroute/telemetry";
import type { Machine, MachineId, MachineManager, MaintenanceWave } from "./machine-manager.js";
import { machineFailures } from "./machine-manager.js";
import type { PlatformCodec } from "./platform-codec.js";
import { decodeWaveProgress, encodeWaveProgress, toWaveProgressKey, waveProgressPrefix } from "./store-keys.js";
import type { LeaseStore, StoreWrite } from "./store.js";
import { listAll } from "./store.js";

/** The connections, limits and callbacks of a maintenance driver. */
export interface MaintenanceDriverOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly machines: MachineManager;
    readonly clock: Clock;
    readonly logger: LogWriter;
    /** Name of this host, sent with each order. */
    readonly holder: string;
    readonly getFencingToken: () => number;
    /** Returns whether this host certainly owns the cell at the moment. */
    readonly isLeaseValid: () => boolean;
    /** Shortest time that must pass between the orders of two owners to the same machine, ms. */
    readonly ownerChangeMs: number;
    /** Returns the number of runs that are charged to an executor. */
    readonly countRuns: (executor: ExecutorId) => number;
    /** Sets the time by which an executor should run nothing; `undefined` lets it take work again. */
    readonly planEvacuation: (executor: ExecutorId, evacuateBy: number | undefined) => void;
    /** Writes a value to the store as the owner and calls `onStored` once the write is committed. */
    readonly storeValue: (write: StoreWrite, revision: number | undefined, onStored: () => void) => void;
    readonly onFenced: (reason: string) => void;
}

/** Interval between steps, ms. Each lists the machines if a wave is open. */
const tickMs = 500;
/** Shortest interval between reads of the waves, ms. */
const waveReadMs = 2_000;
/** Part of the time available for each round of machines that is given to evacuating their executors. */
const evacuationShare = 0.5;

interface WaveProgress {
    readonly wave: MaintenanceWave;
    readonly startedAt: number;
    /** Machines whose maintenance has begun, and when this was confirmed; `-Infinity` for those of an earlier owner. */
    readonly begunAt: Map<MachineId, number>;
    /** Machines that the platform refuses to service for this wave. */
    readonly rejected: Set<MachineId>;
    /** Machines to which an order has been sent and not answered yet. */
    readonly inFlight: Set<MachineId>;
    /** Machines whose executors are being evacuated. */
    readonly evacuating: Map<MachineId, ExecutorId>;
    isSucceeded: boolean;
}

/** Advances all maintenance waves of the cell while this host owns it. */
export class MaintenanceDriver {
    private readonly waves = new Map<number, WaveProgress>();
    private readonly malformedKeys = new Set<string>();
    private readonly openedAt: number;
    private isClosed = false;

    constructor(private readonly options: MaintenanceDriverOptions) {
        this.openedAt = options.clock.getNow();
    }

    /** Reads and advances the waves until `close` is called. */
    async run(): Promise<void> {
        let readAt = -Infinity;
        while (!this.isClosed) {
            const now = this.options.clock.getNow();
            if (now - readAt >= waveReadMs) {
                readAt = now;
                await this.readWaves();
            }
            const open = [...this.waves.values()].filter(row => !row.isSucceeded);
            if (open.length > 0) {
                await this.advanceWaves(open);
            }
            await this.options.clock.wait(tickMs);
        }
    }

    close(): void {
        this.isClosed = true;
    }

    private async readWaves(): Promise<void> {
        const { clock, codec, logger, store } = this.options;
        const [waves, states, begunLists] = await Promise.all([
            listAll(store, codec.waveRequestPrefix),
            listAll(store, codec.waveStatePrefix),
            listAll(store, waveProgressPrefix),
        ]);
        if (!waves.ok || !states.ok || !begunLists.ok || this.isClosed) {
            return;
        }
        for (const item of waves.val.items) {
            const decoded = codec.decodeWave(item);
            if (!decoded.ok) {
                if (!this.malformedKeys.has(item.key)) {
                    this.malformedKeys.add(item.key);
                    logger.write("warn", "maintenance wave skipped", { key: item.key, reason: decoded.val.message });
                }
                continue;
            }
            const { wave } = decoded.val;
            if (this.waves.has(wave)) {
                continue;
            }
            const state = states.val.items.find(candidate => candidate.key === codec.toWaveStateKey(wave));
            const begunItem = begunLists.val.items.find(candidate => candidate.key === toWaveProgressKey(wave));
            const begun = begunItem === undefined ? Ok([]) : decodeWaveProgress(begunItem.value);
            if (!begun.ok) {
                logger.write("error", "machines of a wave cannot be read; all are serviced again", {
                    wave,
                    reason: begun.val.message,
                });
            }
            const row: WaveProgress = {
                wave: decoded.val,
                startedAt: clock.getNow(),
                begunAt: new Map(begun.ok ? begun.val.map(machine => [machine, -Infinity]) : []),
                rejected: new Set(),
                inFlight: new Set(),
                evacuating: new Map(),
                isSucceeded: state !== undefined && codec.decodeWaveState(state) === "succeeded",
            };
            this.waves.set(wave, row);
            logger.write("info", "maintenance wave seen", {
                wave,
                machines: decoded.val.machines.length,
                maxAtOnce: decoded.val.maxAtOnce,
                begun: row.begunAt.size,
                isSucceeded: row.isSucceeded,
            });
            if (!row.isSucceeded) {
                this.storeState(row, "running", state?.revision ?? 0);
                this.options.storeValue(toProgressWrite(row), begunItem?.revision ?? 0, () => undefined);
            }
        }
    }

    private async advanceWaves(open: readonly WaveProgress[]): Promise<void> {
        const listedAt = this.options.clock.getNow();
        const listed = await this.options.machines.list();
        if (!listed.ok) {
            this.options.logger.write("warn", "machines cannot be listed", {
                code: listed.val.code,
                reason: listed.val.message,
            });
            return;
        }
        const machines = new Map(listed.val.map(machine => [machine.machine, machine]));
        for (const row of open) {
            this.advanceWave(row, machines, listedAt);
        }
    }

    private advanceWave(row: WaveProgress, machines: ReadonlyMap<MachineId, Machine>, listedAt: number): void {
        const { wave } = row;
        const getState = (machine: MachineId) => machines.get(machine)?.state;
        const isAway = (machine: MachineId) =>
            getState(machine) === "servicing" || row.inFlight.has(machine)
            || (row.begunAt.get(machine) ?? -Infinity) >= listedAt;
        const isServiced = (machine: MachineId) =>
            row.begunAt.has(machine) && getState(machine) === "up" && !isAway(machine);
        const remaining = wave.machines.filter(machine =>
            machines.has(machine) && !row.rejected.has(machine) && !isServiced(machine)
        );
        if (remaining.length === 0) {
            row.isSucceeded = true;
            this.storeState(row, "succeeded", undefined);
            return;
        }
        const away = wave.machines.filter(isAway);
        const waiting = remaining.filter(machine => !away.includes(machine) && getState(machine) === "up");
        this.forgetReplacedExecutors(row, machines);
        this.planEvacuations(row, waiting, wave.maxAtOnce - away.length, machines, remaining.length);
        for (const machine of waiting) {
            const executor = row.evacuating.get(machine);
            if (executor !== undefined && this.options.countRuns(executor) === 0 && this.canOrder()) {
                void this.sendOrder(row, machine, executor);
            }
        }
    }

    /** Ends the evacuation of executors that no longer run on their machines, for example after a crash. */
    private forgetReplacedExecutors(row: WaveProgress, machines: ReadonlyMap<MachineId, Machine>): void {
        for (const [machine, executor] of row.evacuating) {
            if (machines.get(machine)?.executor !== executor && !row.inFlight.has(machine)) {
                row.evacuating.delete(machine);
                this.options.planEvacuation(executor, undefined);
            }
        }
    }

    /**
     * Starts evacuating executors, those with the fewest runs first. Together with those being evacuated already, at
     * most `freeCount` are.
     */
    private planEvacuations(
        row: WaveProgress,
        waiting: readonly MachineId[],
        freeCount: number,
        machines: ReadonlyMap<MachineId, Machine>,
        remainingCount: number,
    ): void {
        const { clock, countRuns, planEvacuation } = this.options;
        const countMachineRuns = (machine: MachineId) => {
            const executor = machines.get(machine)?.executor;
            return executor === undefined ? 0 : countRuns(executor);
        };
        const evacuatingMachines = waiting.filter(machine => row.evacuating.has(machine));
        const candidates = waiting.filter(machine => !evacuatingMachines.includes(machine)).sort((a, b) =>
            countMachineRuns(a) - countMachineRuns(b)
        );
        const rounds = Math.ceil(remainingCount / Math.max(1, row.wave.maxAtOnce));
        const remainingMs = Math.max(0, row.startedAt + row.wave.durationMs - clock.getNow());
        for (const machine of candidates.slice(0, Math.max(0, freeCount - evacuatingMachines.length))) {
            const executor = machines.get(machine)?.executor;
            if (executor !== undefined) {
                row.evacuating.set(machine, executor);
                planEvacuation(executor, clock.getNow() + remainingMs / rounds * evacuationShare);
            }
        }
    }

    /** Returns whether this owner may send orders now. The previous one may have sent orders until it was replaced. */
    private canOrder(): boolean {
        const { clock, isLeaseValid, ownerChangeMs } = this.options;
        return isLeaseValid() && clock.getNow() - this.openedAt > ownerChangeMs;
    }

    /** Orders the maintenance of a machine whose executor is evacuated. */
    private async sendOrder(row: WaveProgress, machine: MachineId, executor: ExecutorId): Promise<void> {
        const { clock, getFencingToken, holder, logger, machines, onFenced, planEvacuation, storeValue } = this.options;
        const { wave } = row.wave;
        row.inFlight.add(machine);
        const result = await machines.performMaintenance({ machine, wave, holder, fencingToken: getFencingToken() });
        row.inFlight.delete(machine);
        logger.write("info", "machine ordered into maintenance", {
            wave,
            machine,
            outcome: result.ok ? "accepted" : result.val.code,
            verdict: result.ok ? undefined : result.val.verdict,
        });
        if (this.isClosed) {
            return;
        }
        if (!result.ok && result.val.code === machineFailures.fenced) {
            onFenced(`machine ${machine} has seen a later owner`);
        }
        else if (!result.ok && result.val.code === machineFailures.rejected) {
            row.rejected.add(machine);
        }
        else if (!result.ok) {
            return;
        }
        else {
            row.begunAt.set(machine, clock.getNow());
            storeValue(toProgressWrite(row), undefined, () => undefined);
        }
        row.evacuating.delete(machine);
        planEvacuation(executor, undefined);
    }

    private storeState(row: WaveProgress, state: "running" | "succeeded", revision: number | undefined): void {
        const { codec, logger, storeValue } = this.options;
        const { wave } = row.wave;
        const write = { key: codec.toWaveStateKey(wave), value: codec.encodeWaveState(state) };
        storeValue(write, revision, () => logger.write("info", "maintenance wave", { wave, state }));
    }
}

function toProgressWrite(row: WaveProgress): StoreWrite {
    return { key: toWaveProgressKey(row.wave.wave), value: encodeWaveProgress([...row.begunAt.keys()]) };
}
