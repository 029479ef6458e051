/**
 * Applies changes of the settings while the host runs.
 *
 * SIGHUP says that the settings have changed, and they may also change without a signal. The host applies the fields
 * that its parts can change at run time and names the others in the log; these take effect at the next start. Settings
 * that cannot be read or are not valid change nothing.
 */
import type { Clock, Timer } from "@waxwingroute/core";
import type { PlatformSettings } from "@waxwingroute/platform-adapter";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import { isDeepStrictEqual } from "node:util";
import type { SettingsSource } from "./settings-source.js";

/** Name of a field of the settings. */
export type SettingsField = keyof PlatformSettings;

/** A part of the host that can change some of its settings at run time. */
export interface SettingsTarget {
    /** The fields that `apply` applies. */
    readonly fields: readonly SettingsField[];
    /** Applies settings in which one of the fields has changed. */
    apply(settings: PlatformSettings): void;
}

/** Options of a `SettingsReloader`. */
export interface SettingsReloaderOptions {
    readonly source: SettingsSource;
    /** The settings with which the host has started. */
    readonly initial: PlatformSettings;
    readonly targets: readonly SettingsTarget[];
    readonly clock: Clock;
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    /** Interval at which the source is checked for changes without a signal, ms. Default 1,000. */
    readonly checkIntervalMs?: number;
    /** Shortest time between two reads, ms, so that many signals cost callers no time. Default 100. */
    readonly minReadIntervalMs?: number;
}

/**
 * Reads the settings again on request and when the source has changed.
 *
 * @example
 * ```ts
 * const reloader = new SettingsReloader({ source, initial, targets, clock, logger, supervisor });
 * reloader.start();
 * signals.handle("reload", () => reloader.requestReload());
 * ```
 */
export class SettingsReloader {
    private current: PlatformSettings;
    private readVersion: string | undefined;
    private readAt = -Infinity;
    /** Message of the last failure, until a read succeeds. */
    private lastProblem: string | undefined;
    private requestTimer: Timer | undefined;
    private isStopped = false;

    constructor(private readonly options: SettingsReloaderOptions) {
        this.current = options.initial;
        this.readVersion = options.source.lastReadVersion ?? options.source.getVersion();
    }

    /** The settings that were last read and are valid, among them fields that take effect at the next start. */
    get settings(): PlatformSettings {
        return this.current;
    }

    /** Checks the source for changes from now on. */
    start(): void {
        const { checkIntervalMs = 1_000, clock, supervisor } = this.options;
        supervisor.startLoop({
            operation: "settings check",
            isStopped: () => this.isStopped,
            run: async () => {
                while (!this.isStopped) {
                    await clock.wait(checkIntervalMs);
                    this.check();
                }
            },
        });
    }

    stop(): void {
        this.isStopped = true;
        this.requestTimer?.cancel();
    }

    /** Reads the settings soon. Requests within `minReadIntervalMs` share one read, which follows the last of them. */
    requestReload(): void {
        const { clock, minReadIntervalMs = 100, supervisor } = this.options;
        if (this.requestTimer !== undefined || this.isStopped) {
            return;
        }
        this.requestTimer = clock.schedule(Math.max(0, this.readAt + minReadIntervalMs - clock.getNow()), () => {
            this.requestTimer = undefined;
            supervisor.run("settings reload", {}, () => this.readAgain(true));
        });
    }

    private check(): void {
        // A half-written file may be completed within the resolution of its time of change.
        if (this.lastProblem !== undefined || this.options.source.getVersion() !== this.readVersion) {
            this.readAgain(false);
        }
    }

    private readAgain(isRequested: boolean): void {
        const { clock, logger, source } = this.options;
        this.readAt = clock.getNow();
        const read = source.read();
        this.readVersion = source.lastReadVersion;
        if (!read.ok) {
            const { code, message } = read.val;
            if (isRequested || message !== this.lastProblem) {
                logger.write("warn", "settings not reloaded", { code, reason: message });
            }
            this.lastProblem = message;
            return;
        }
        this.lastProblem = undefined;
        const previous = this.current;
        this.current = read.val;
        const changed = (Object.keys({ ...previous, ...read.val }) as SettingsField[])
            .filter(field => !isDeepStrictEqual(previous[field], read.val[field]));
        if (changed.length > 0) {
            this.apply(changed);
        }
        else if (isRequested) {
            logger.write("info", "settings reloaded", { outcome: "unchanged" });
        }
    }

    private apply(changed: readonly SettingsField[]): void {
        const { initial, logger, supervisor, targets } = this.options;
        const applied = new Set<SettingsField>();
        for (const target of targets) {
            const fields = target.fields.filter(field => changed.includes(field));
            if (fields.length > 0 && supervisor.run("settings change", {}, () => target.apply(this.current))) {
                fields.forEach(field => applied.add(field));
            }
        }
        const isPending = (field: SettingsField) =>
            !applied.has(field) && !isDeepStrictEqual(initial[field], this.current[field]);
        logger.write("info", "settings reloaded", {
            outcome: "changed",
            applied: [...applied].join(" "),
            atNextStart: changed.filter(isPending).join(" "),
        });
    }
}
