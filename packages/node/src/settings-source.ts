/**
 * Where a host reads its settings.
 */
import type { Clock, Failure, Result } from "@waxwingroute/core";
import { incompleteSettings, loadPlatformSettings, unreadableSettings } from "@waxwingroute/platform-adapter";
import type { PlatformSettings } from "@waxwingroute/platform-adapter";
import { statSync } from "node:fs";

/** A source of settings that may change while the host runs. */
export abstract class SettingsSource {
    private readVersion: string | undefined;

    /** Version before the last read, so that a change during or after that read can be told; `undefined` before the first. */
    get lastReadVersion(): string | undefined {
        return this.readVersion;
    }

    /** Reads and validates the settings. */
    read(): Result<PlatformSettings, Failure> {
        this.readVersion = this.getVersion();
        return this.readSettings();
    }

    protected abstract readSettings(): Result<PlatformSettings, Failure>;
    /** Returns a value that differs after each change, without reading the settings; `undefined` if it is not known. */
    abstract getVersion(): string | undefined;
}

/** Reads the settings from a file. */
export class FileSettingsSource extends SettingsSource {
    constructor(private readonly file: string | undefined) {
        super();
    }

    protected override readSettings(): Result<PlatformSettings, Failure> {
        return loadPlatformSettings(this.file);
    }

    override getVersion(): string | undefined {
        const entry = this.file === undefined
            ? undefined
            : statSync(this.file, { bigint: true, throwIfNoEntry: false });
        return entry === undefined ? undefined : `${entry.dev}:${entry.ino}:${entry.size}:${entry.mtimeNs}`;
    }
}

/** Options of `readFirstSettings`. */
export interface FirstSettingsOptions {
    readonly source: SettingsSource;
    readonly clock: Clock;
    /** Whether to give up, for example because the process is to stop. */
    readonly isCancelled: () => boolean;
    /**
     * Longest time in which the file may be missing or half written, ms. Default 3,000, the time in which the platform
     * expects changes to be in effect.
     */
    readonly timeoutMs?: number;
    /** Pause between two attempts, ms. Default 50. */
    readonly retryIntervalMs?: number;
}

/**
 * Reads the settings at a start. A file that is missing or half written is read again, because the platform writes it
 * while the process starts; settings that are complete and wrong fail at once.
 */
export async function readFirstSettings(options: FirstSettingsOptions): Promise<Result<PlatformSettings, Failure>> {
    const { clock, isCancelled, retryIntervalMs = 50, source, timeoutMs = 3_000 } = options;
    const endsAt = clock.getNow() + timeoutMs;
    for (;;) {
        const settings = source.read();
        const canChange = !settings.ok && [unreadableSettings, incompleteSettings].includes(settings.val.code);
        if (!canChange || isCancelled() || clock.getNow() >= endsAt) {
            return settings;
        }
        await clock.wait(retryIntervalMs);
    }
}
