/**
 * Carries out the maintenance waves of the operators: empties one executor after another, has its machine serviced, and says
 * when a wave is done.
 *
 * Which machines of a wave have begun is stored, so that the next owner does not empty them again. An order without an answer is
 * repeated, which has no effect if it was carried out, and until then its machine counts as one of those that are away.
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

export interface MaintenanceDriverOptions {
    readonly store: LeaseStore;
    readonly codec: PlatformCodec;
    readonly machines: MachineManager;
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly holder: string;
    readonly getFencingToken: () => number;
    /** Returns whether this host certainly owns the cell now. */
    readonly isOwnerCertain: () => boolean;
    /** Least time between orders of two owners to one machine, ms. */
    readonly ownerChangeMs: number;
    /** Counts the runs that are charged to an executor. */
    readonly countRuns: (executor: ExecutorId) => number;
    /** Sets by when an executor should run nothing; `undefined`: it can take work again. */
    readonly planEvacuation: (executor: ExecutorId, emptyBy: number | undefined) => void;
    /** Stores a value of the owner and calls back once it is stored. */
    readonly storeValue: (write: StoreWrite, revision: number | undefined, onStored: () => void) => void;
    readonly onFenced: (reason: string) => void;
}

/** Time between looks at the machines while a wave is open, ms. */
const tickMs = 500;
/** Time between looks for new waves, ms. */
const waveReadMs = 2_000;
/** Part of a machine's share of the wave's time in which its executor is emptied. */
const emptyingShare = 0.5;

interface WaveRow {
    readonly wave: MaintenanceWave;
    readonly startedAt: number;
    /** Machines whose service has begun, and when that was confirmed; those of earlier owners long ago. */
    readonly begunAt: Map<MachineId, number>;
    /** Machines that the platform does not service for this wave. */
    readonly rejected: Set<MachineId>;
    /** Machines whose order has no answer yet. */
    readonly inFlight: Set<MachineId>;
    /** Machines whose executors are being emptied. */
    readonly emptying: Map<MachineId, ExecutorId>;
    isSucceeded: boolean;
}

export class MaintenanceDriver {
    private readonly rows = new Map<number, WaveRow>();
    private readonly malformed = new Set<string>();
    private readonly openedAt: number;
    private isClosed = false;

    constructor(private readonly options: MaintenanceDriverOptions) {
        this.openedAt = options.clock.getNow();
    }

    /** Runs until `close`. */
    async run(): Promise<void> {
        let readAt = -Infinity;
        while (!this.isClosed) {
            const now = this.options.clock.getNow();
            if (now - readAt >= waveReadMs) {
                readAt = now;
                await this.readWaves();
            }
            const open = [...this.rows.values()].filter(row => !row.isSucceeded);
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
        const [waves, states, serviced] = await Promise.all([
            listAll(store, codec.waveRequestPrefix),
            listAll(store, codec.waveStatePrefix),
            listAll(store, waveProgressPrefix),
        ]);
        if (!waves.ok || !states.ok || !serviced.ok || this.isClosed) {
            return;
        }
        for (const item of waves.val.items) {
            const decoded = codec.decodeWave(item);
            if (!decoded.ok) {
                if (!this.malformed.has(item.key)) {
                    this.malformed.add(item.key);
                    logger.write("warn", "maintenance wave skipped", { key: item.key, reason: decoded.val.message });
                }
                continue;
            }
            const { wave } = decoded.val;
            if (this.rows.has(wave)) {
                continue;
            }
            const state = states.val.items.find(candidate => candidate.key === codec.toWaveStateKey(wave));
            const stored = serviced.val.items.find(candidate => candidate.key === toWaveProgressKey(wave));
            const begun = stored === undefined ? Ok([]) : decodeWaveProgress(stored.value);
            if (!begun.ok) {
                logger.write("error", "machines of a wave cannot be read; all are serviced again", {
                    wave,
                    reason: begun.val.message,
                });
            }
            const row: WaveRow = {
                wave: decoded.val,
                startedAt: clock.getNow(),
                begunAt: new Map(begun.ok ? begun.val.map(machine => [machine, -Infinity]) : []),
                rejected: new Set(),
                inFlight: new Set(),
                emptying: new Map(),
                isSucceeded: state !== undefined && codec.decodeWaveState(state) === "succeeded",
            };
            this.rows.set(wave, row);
            logger.write("info", "maintenance wave seen", {
                wave,
                machines: decoded.val.machines.length,
                maxAtOnce: decoded.val.maxAtOnce,
                begun: row.begunAt.size,
                isSucceeded: row.isSucceeded,
            });
            if (!row.isSucceeded) {
                this.storeState(row, "running", state?.revision ?? 0);
                this.options.storeValue(toWrite(row), stored?.revision ?? 0, () => undefined);
            }
        }
    }

    private async advanceWaves(open: readonly WaveRow[]): Promise<void> {
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

    private advanceWave(row: WaveRow, machines: ReadonlyMap<MachineId, Machine>, listedAt: number): void {
        const { wave } = row;
        const getState = (machine: MachineId) => machines.get(machine)?.state;
        const isBusy = (machine: MachineId) =>
            getState(machine) === "servicing" || row.inFlight.has(machine)
            || (row.begunAt.get(machine) ?? -Infinity) >= listedAt;
        const isServiced = (machine: MachineId) =>
            row.begunAt.has(machine) && getState(machine) === "up" && !isBusy(machine);
        const remaining = wave.machines.filter(machine =>
            machines.has(machine) && !row.rejected.has(machine) && !isServiced(machine)
        );
        if (remaining.length === 0) {
            row.isSucceeded = true;
            this.storeState(row, "succeeded", undefined);
            return;
        }
        const busy = wave.machines.filter(isBusy);
        const waiting = remaining.filter(machine => !busy.includes(machine) && getState(machine) === "up");
        this.forgetReplaced(row, machines);
        this.planNext(row, waiting, wave.maxAtOnce - busy.length, machines, remaining.length);
        for (const machine of waiting) {
            const executor = row.emptying.get(machine);
            if (executor !== undefined && this.options.countRuns(executor) === 0 && this.canOrder()) {
                void this.sendOrder(row, machine, executor);
            }
        }
    }

    /** An executor that was replaced, for example after a crash, is not the one to empty any more. */
    private forgetReplaced(row: WaveRow, machines: ReadonlyMap<MachineId, Machine>): void {
        for (const [machine, executor] of row.emptying) {
            if (machines.get(machine)?.executor !== executor && !row.inFlight.has(machine)) {
                row.emptying.delete(machine);
                this.options.planEvacuation(executor, undefined);
            }
        }
    }

    /** Begins to empty as many executors as may be away, those with the fewest runs first. */
    private planNext(
        row: WaveRow,
        waiting: readonly MachineId[],
        free: number,
        machines: ReadonlyMap<MachineId, Machine>,
        remaining: number,
    ): void {
        const { clock, countRuns, planEvacuation: planEmpty } = this.options;
        const load = (machine: MachineId) => {
            const executor = machines.get(machine)?.executor;
            return executor === undefined ? 0 : countRuns(executor);
        };
        const chosen = waiting.filter(machine => row.emptying.has(machine));
        const next = waiting.filter(machine => !chosen.includes(machine)).sort((a, b) => load(a) - load(b));
        const rounds = Math.ceil(remaining / Math.max(1, row.wave.maxAtOnce));
        const leftMs = Math.max(0, row.startedAt + row.wave.durationMs - clock.getNow());
        for (const machine of next.slice(0, Math.max(0, free - chosen.length))) {
            const executor = machines.get(machine)?.executor;
            if (executor !== undefined) {
                row.emptying.set(machine, executor);
                planEmpty(executor, clock.getNow() + leftMs / rounds * emptyingShare);
            }
        }
    }

    private canOrder(): boolean {
        const { clock, isOwnerCertain, ownerChangeMs } = this.options;
        return isOwnerCertain() && clock.getNow() - this.openedAt > ownerChangeMs;
    }

    private async sendOrder(row: WaveRow, machine: MachineId, executor: ExecutorId): Promise<void> {
        const { clock, getFencingToken, holder, logger, machines, onFenced, planEvacuation: planEmpty, storeValue } =
            this.options;
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
            storeValue(toWrite(row), undefined, () => undefined);
        }
        row.emptying.delete(machine);
        planEmpty(executor, undefined);
    }

    private storeState(row: WaveRow, state: "running" | "succeeded", revision: number | undefined): void {
        const { codec, logger, storeValue } = this.options;
        const { wave } = row.wave;
        const write = { key: codec.toWaveStateKey(wave), value: codec.encodeWaveState(state) };
        storeValue(write, revision, () => logger.write("info", "maintenance wave", { wave, state }));
    }
}

function toWrite(row: WaveRow): StoreWrite {
    return { key: toWaveProgressKey(row.wave.wave), value: encodeWaveProgress([...row.begunAt.keys()]) };
}
