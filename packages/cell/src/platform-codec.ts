/** Keys and formats of the entries in the store that the cell shares with the platform and its operators. */
import type { Failure, Result } from "@waxwingroute/core";
import type { CellConfiguration } from "./configuration.js";
import type { MaintenanceWave, WaveState } from "./machine-manager.js";
import type { StoreItem } from "./store.js";
import type { ExecutorEntry } from "./task-executor.js";

/** Maps the platform's store entries to the types of this package. The platform's adapter implements it. */
export abstract class PlatformCodec {
    abstract readonly configurationKey: string;
    abstract readonly executorPrefix: string;
    /** Fails if the text is not a configuration. */
    abstract decodeConfiguration(text: string): Result<CellConfiguration, Failure>;
    /** Fails if the entry does not describe a usable executor. */
    abstract decodeExecutor(item: StoreItem): Result<ExecutorEntry, Failure>;
    /** Prefix of the maintenance waves that operators request. */
    abstract readonly waveRequestPrefix: string;
    /** Prefix of the states of these waves, which the cell writes. */
    abstract readonly waveStatePrefix: string;
    abstract decodeWave(item: StoreItem): Result<MaintenanceWave, Failure>;
    abstract toWaveStateKey(wave: number): string;
    abstract encodeWaveState(state: WaveState): string;
    /** Returns `undefined` if the value is not a state. */
    abstract decodeWaveState(item: StoreItem): WaveState | undefined;
}
