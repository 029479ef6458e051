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
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
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
    readonly supervisor: Supervisor;
    /** Name of this host, sent with each order. */
    readonly holder: string;
    readonly getFencingToken: () => number;
    /** Returns whether this host certainly owns the cell at the moment. */
    readonly isLeaseValid: () => boolean;
    /**
     * Shortest time between the orders of two successive owners to the same machine, ms. The program sets it to the
     * setting `machineLeaseMs`.
     */
    readonly ownerChangeMs: number;
    /** Returns the number of runs that are charged to an executor. */
    readonly countRuns: (executor: ExecutorId) => number;
    /** Sets the time by which an executor should run nothing; `undefined` lets it take work again. */
    readonly planEvacuation: (executor: ExecutorId, emptyBy: number | undefined) => void;
    /** Writes a value to the store as the owner and calls `onStored` once the write is committed. */
    readonly storeValue: (write: StoreWrite, revision: number | undefined, onStored: () => void) => void;
    readonly onFenced: (reason: string) => void;
}

/** Interval between steps, ms. Each lists the machines if a wave is open. */
const tickMs = 500;
/** Shortest interval between reads of the waves, ms. */
const waveReadMs = 2_000;
/** Part of the time of each round of machines that is given to evacuating their executors; the rest is for service. */
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
            const open = [...this.waves.values()].filter(progress => !progress.isSucceeded);
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
            const progress: WaveProgress = {
                wave: decoded.val,
                startedAt: clock.getNow(),
                begunAt: new Map(begun.ok ? begun.val.map(machine => [machine, -Infinity]) : []),
                rejected: new Set(),
                inFlight: new Set(),
                evacuating: new Map(),
                isSucceeded: state !== undefined && codec.decodeWaveState(state) === "succeeded",
            };
            this.waves.set(wave, progress);
            logger.write("info", "maintenance wave seen", {
                wave,
                machines: decoded.val.machines.length,
                maxAtOnce: decoded.val.maxAtOnce,
                begun: progress.begunAt.size,
                isSucceeded: progress.isSucceeded,
            });
            if (!progress.isSucceeded) {
                this.storeState(progress, "running", state?.revision ?? 0);
                this.options.storeValue(toProgressWrite(progress), begunItem?.revision ?? 0, () => undefined);
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
        for (const progress of open) {
            this.advanceWave(progress, machines, listedAt);
        }
    }

    private advanceWave(progress: WaveProgress, machines: ReadonlyMap<MachineId, Machine>, listedAt: number): void {
        const { wave } = progress;
        const getState = (machine: MachineId) => machines.get(machine)?.state;
        // A listing that was requested before the maintenance was confirmed may still show the machine as up.
        const isAway = (machine: MachineId) =>
            getState(machine) === "servicing" || progress.inFlight.has(machine)
            || (progress.begunAt.get(machine) ?? -Infinity) >= listedAt;
        const isServiced = (machine: MachineId) =>
            progress.begunAt.has(machine) && getState(machine) === "up" && !isAway(machine);
        const remaining = wave.machines.filter(machine =>
            machines.has(machine) && !progress.rejected.has(machine) && !isServiced(machine)
        );
        if (remaining.length === 0) {
            progress.isSucceeded = true;
            this.storeState(progress, "succeeded", undefined);
            return;
        }
        const away = wave.machines.filter(isAway);
        const waiting = remaining.filter(machine => !away.includes(machine) && getState(machine) === "up");
        this.forgetReplacedExecutors(progress, machines);
        this.planEvacuations(progress, waiting, wave.maxAtOnce - away.length, machines, remaining.length);
        // Counted again: a machine that was down while it was being evacuated is not counted with those that are.
        let freeCount = wave.maxAtOnce - away.length;
        for (const machine of waiting) {
            const executor = progress.evacuating.get(machine);
            const isEmpty = executor !== undefined && this.options.countRuns(executor) === 0;
            if (isEmpty && freeCount > 0 && this.canOrder()) {
                freeCount -= 1;
                this.options.supervisor.start(
                    "machine order",
                    { machine },
                    () => this.sendOrder(progress, machine, executor),
                );
            }
        }
    }

    /** Ends the evacuation of executors that no longer run on their machines, for example after a crash. */
    private forgetReplacedExecutors(progress: WaveProgress, machines: ReadonlyMap<MachineId, Machine>): void {
        for (const [machine, executor] of progress.evacuating) {
            if (machines.get(machine)?.executor !== executor && !progress.inFlight.has(machine)) {
                progress.evacuating.delete(machine);
                this.options.planEvacuation(executor, undefined);
            }
        }
    }

    /**
     * Starts evacuating executors, those with the fewest runs first. Together with those being evacuated already, at
     * most `freeCount` are.
     */
    private planEvacuations(
        progress: WaveProgress,
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
        const evacuatingMachines = waiting.filter(machine => progress.evacuating.has(machine));
        const candidates = waiting.filter(machine => !evacuatingMachines.includes(machine)).sort((a, b) =>
            countMachineRuns(a) - countMachineRuns(b)
        );
        const rounds = Math.ceil(remainingCount / Math.max(1, progress.wave.maxAtOnce));
        const remainingMs = Math.max(0, progress.startedAt + progress.wave.durationMs - clock.getNow());
        for (const machine of candidates.slice(0, Math.max(0, freeCount - evacuatingMachines.length))) {
            const executor = machines.get(machine)?.executor;
            if (executor !== undefined) {
                progress.evacuating.set(machine, executor);
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
    private async sendOrder(progress: WaveProgress, machine: MachineId, executor: ExecutorId): Promise<void> {
        const { clock, getFencingToken, holder, logger, machines, onFenced, planEvacuation, storeValue, supervisor } =
            this.options;
        const { wave } = progress.wave;
        progress.inFlight.add(machine);
        const order = { machine, wave, holder, fencingToken: getFencingToken() };
        const result = await supervisor.call("machine order", { machine }, () => machines.performMaintenance(order));
        progress.inFlight.delete(machine);
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
            onFenced(`machine ${machine} has seen a later fencing token`);
        }
        else if (!result.ok && result.val.code === machineFailures.rejected) {
            progress.rejected.add(machine);
        }
        else if (!result.ok) {
            return;
        }
        else {
            progress.begunAt.set(machine, clock.getNow());
            storeValue(toProgressWrite(progress), undefined, () => undefined);
        }
        progress.evacuating.delete(machine);
        planEvacuation(executor, undefined);
    }

    private storeState(progress: WaveProgress, state: "running" | "succeeded", revision: number | undefined): void {
        const { codec, logger, storeValue } = this.options;
        const { wave } = progress.wave;
        const write = { key: codec.toWaveStateKey(wave), value: codec.encodeWaveState(state) };
        storeValue(write, revision, () => logger.write("info", "maintenance wave", { wave, state }));
    }
}

function toProgressWrite(progress: WaveProgress): StoreWrite {
    return { key: toWaveProgressKey(progress.wave.wave), value: encodeWaveProgress([...progress.begunAt.keys()]) };
}
