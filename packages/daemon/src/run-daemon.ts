/**
 * Start-up of a program: arguments, settings, logs, metrics, health endpoints and graceful shutdown.
 */
import { findHost, listHosts, loadSettings } from "@waxwingroute/settings";
import type { HostLocation, HostSettings, Settings } from "@waxwingroute/settings";
import { createLogger, HealthServer, installGracefulShutdown, StatsdMetrics } from "@waxwingroute/telemetry";
import type { Logger, ProcessSignals, ShutdownStep } from "@waxwingroute/telemetry";
import { defineCommand, runMain } from "citty";

/** Version of all programs. */
export const version = "0.1.0";

/** Exit codes of the programs. */
export const exitCodes = { done: 0, failed: 1, usage: 2 } as const;

/** What a program receives when it starts. */
export interface DaemonContext {
    readonly settings: Settings;
    readonly location: HostLocation;
    readonly logger: Logger;
    readonly metrics: StatsdMetrics;
}

/** A started program: how to shut it down, and its status. */
export interface RunningDaemon {
    /** Steps of a graceful shutdown, in order. */
    readonly shutdownSteps: readonly ShutdownStep[];
    /** Lists the reasons why the program cannot serve now; empty if it can. */
    listProblems(): readonly string[];
    /** Returns fields that the program adds to its `/statusz`. */
    describeStatus?(): Readonly<Record<string, unknown>>;
}

/** Describes a program to `runDaemon`. */
export interface DaemonOptions {
    /** Name of the program, for example `waxwing-entry`. */
    readonly program: string;
    readonly description: string;
    /** Name of the program's health port in the settings. */
    readonly healthPort: keyof HostSettings["ports"];
    /** Starts the program. If it throws, the error is logged and the process exits with `exitCodes.failed`. */
    start(context: DaemonContext): Promise<RunningDaemon>;
}

/**
 * Parses the command line, loads the settings and runs a program until a signal stops it. A signal that comes during the
 * start stops the program when it has started.
 */
export function runDaemon(options: DaemonOptions, signals: ProcessSignals): void {
    const command = defineCommand({
        meta: { name: options.program, version, description: options.description },
        args: {
            settings: {
                type: "string",
                required: true,
                description: "path of the settings file (JSON)",
                valueHint: "file",
            },
            host: {
                type: "string",
                required: true,
                description: "name of this entry host in the settings",
                valueHint: "name",
            },
            check: { type: "boolean", default: false, description: "check the settings and exit" },
        },
        run: async ({ args }) => {
            const { settings, location } = readSettings(args.settings, args.host);
            if (args.check) {
                process.stdout.write(`${args.settings}: settings are valid for host "${location.host}"\n`);
                process.exit(exitCodes.done);
            }
            await startDaemon(options, signals, settings, location);
        },
    });
    void runMain(command);
}

function readSettings(path: string, host: string): { readonly settings: Settings; readonly location: HostLocation; } {
    const loaded = loadSettings(path);
    if (loaded.err) {
        process.stderr.write(`${loaded.val.message}\n`);
        process.exit(exitCodes.usage);
    }
    const location = findHost(loaded.val, host);
    if (location === undefined) {
        const knownHosts = listHosts(loaded.val).map(other => other.host).join(", ");
        process.stderr.write(`${path}: no host is named "${host}"; use one of ${knownHosts}\n`);
        process.exit(exitCodes.usage);
    }
    return { settings: loaded.val, location };
}

async function startDaemon(
    options: DaemonOptions,
    signals: ProcessSignals,
    settings: Settings,
    location: HostLocation,
): Promise<void> {
    const { program } = options;
    const logger = await createLogger({
        program,
        host: location.host,
        zone: location.zone,
        level: settings.logs.level,
    });
    const metrics = new StatsdMetrics({ target: settings.metrics, host: location.host, zone: location.zone });
    let daemon: RunningDaemon;
    try {
        daemon = await options.start({ settings, location, logger, metrics });
        const health = new HealthServer({
            address: location.settings.address,
            port: location.settings.ports[options.healthPort],
            program,
            version,
            listProblems: () => daemon.listProblems(),
            describeStatus: () => daemon.describeStatus?.() ?? {},
        });
        await health.listen();
        const closingSteps: ShutdownStep[] = [
            { name: "health endpoints", run: () => health.close() },
            { name: "metrics", run: () => metrics.close() },
        ];
        installGracefulShutdown({
            signals,
            logger,
            getTimeoutMs: () => settings.shutdown.boundMs,
            steps: [...daemon.shutdownSteps, ...closingSteps],
        });
    }
    catch (error) {
        logger.write("error", "program cannot start", { error: String(error) });
        logger.flush();
        process.stderr.write(`${program}: ${String(error)}\n`);
        process.exit(exitCodes.failed);
    }
    const ignore = (signal: string, reason: string) => logger.write("info", "signal ignored", { signal, reason });
    signals.handle("reload", signal => ignore(signal, "changed settings take effect at the next start"));
    signals.handle("unused", signal => ignore(signal, "it has no meaning"));
    process.on("unhandledRejection", reason => {
        logger.write("error", "unhandled rejection", {
            error: reason instanceof Error ? reason.stack : String(reason),
        });
    });
    logger.write("info", "program started", { version, pid: process.pid });
}
