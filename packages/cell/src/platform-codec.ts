/** What the platform's writers put into the store; the adapter knows their keys and formats. */
import type { Failure, Result } from "@waxwingroute/core";
import type { CellConfiguration } from "./configuration.js";
import type { MaintenanceWave, WaveState } from "./machine-manager.js";
import type { StoreItem } from "./store.js";
import type { ExecutorEntry } from "./task-executor.js";

export abstract class PlatformCodec {
    abstract readonly configurationKey: string;
    abstract readonly executorPrefix: string;
    /** Fails if the text is not a configuration. */
    abstract decodeConfiguration(text: string): Result<CellConfiguration, Failure>;
    /** Fails if the entry names no executor that can be used. */
    abstract decodeExecutor(item: StoreItem): Result<ExecutorEntry, Failure>;
    /** Prefix of the operators' maintenance waves. */
    abstract readonly waveRequestPrefix: string;
    /** Prefix of what the cell says of them. */
    abstract readonly waveStatePrefix: string;
    abstract decodeWave(item: StoreItem): Result<MaintenanceWave, Failure>;
    abstract toWaveStateKey(wave: number): string;
    abstract encodeWaveState(state: WaveState): string;
    /** `undefined` if the text is no state. */
    abstract decodeWaveState(item: StoreItem): WaveState | undefined;
}
