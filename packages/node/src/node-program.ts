/**
 * The program of a host that runs without separate control machines: entry and scheduler in one process.
 *
 * On SIGTERM the host releases the cell at once and reports itself as not ready, so that the load balancer sends no new
 * connections. Callers with open connections are served until they disconnect or the grace period is nearly over. A
 * SIGTERM during the start ends the process in the same way. On SIGHUP the host reads its settings again.
 */
import { SystemClock } from "@waxwingroute/core";
import { settingsFileVariable } from "@waxwingroute/platform-adapter";
import type { PlatformSettings } from "@waxwingroute/platform-adapter";
import {
    createLogger,
    EventLog,
    installGracefulShutdown,
    PrometheusMetrics,
    Supervisor,
} from "@waxwingroute/telemetry";
import type { Logger, ProcessSignals } from "@waxwingroute/telemetry";
import { NodeHost } from "./node-host.js";
import { SettingsReloader } from "./settings-reloader.js";
import type { SettingsSource } from "./settings-source.js";
import { FileSettingsSource, readFirstSettings } from "./settings-source.js";

/**
 * Starts the program, or with `--check` only validates its settings. Exits with status 2 if they are invalid, and with 0
 * if a signal stops it before they could be read.
 */
export async function runNode(signals: ProcessSignals): Promise<void> {
    const source = new FileSettingsSource(process.env[settingsFileVariable]);
    const settings = await readFirstSettings({
        source,
        clock: new SystemClock(),
        isCancelled: () => signals.has("stop"),
        timeoutMs: process.argv.includes("--check") ? 0 : undefined,
    });
    if (!settings.ok) {
        process.stderr.write(`waxwing-node: ${settings.val.message}\n`);
        process.exitCode = signals.has("stop") ? 0 : 2;
        return;
    }
    if (process.argv.includes("--check")) {
        process.stdout.write("waxwing-node: the settings are valid\n");
        return;
    }
    const { host, zone } = settings.val;
    const logger = await createLogger({ program: "waxwing-node", host, zone });
    installCrashHandlers(logger);
    await startNode({ signals, source, settings: settings.val, logger });
}

/** Logs each unhandled error with its stack and ends the process, since its state is unknown after such an error. */
function installCrashHandlers(logger: Logger): void {
    const logAndExit = (kind: string, error: unknown) => {
        const stack = error instanceof Error ? error.stack : String(error);
        logger.write("error", "unhandled error ends the process", { kind, stack });
        logger.flush();
        process.exit(1);
    };
    process.on("uncaughtException", error => logAndExit("exception", error));
    process.on("unhandledRejection", reason => logAndExit("rejection", reason));
}

interface NodeStart {
    readonly signals: ProcessSignals;
    readonly source: SettingsSource;
    readonly settings: PlatformSettings;
    readonly logger: Logger;
}

async function startNode({ signals, source, settings, logger }: NodeStart): Promise<void> {
    const clock = new SystemClock();
    const metrics = new PrometheusMetrics("waxwing");
    const eventLog = new EventLog({ writer: logger, metrics, getNow: () => clock.getNow() });
    const supervisor = new Supervisor({ logger: eventLog, clock });
    const host = new NodeHost({ settings, clock, logger: eventLog, metrics, supervisor });
    const shutdown = installGracefulShutdown({
        signals,
        logger,
        getTimeoutMs: () => host.shutdownTimeoutMs,
        steps: host.listShutdownSteps(),
    });
    const reloader = new SettingsReloader({
        source,
        initial: settings,
        targets: host.listSettingsTargets(),
        clock,
        logger: eventLog,
        supervisor,
    });
    reloader.start();
    signals.handle("reload", () => reloader.requestReload());
    signals.handle(
        "unused",
        signal => eventLog.write("info", "signal ignored", { signal, reason: "it has no meaning" }),
    );
    const unboundPorts = await host.start();
    if (unboundPorts.length > 0) {
        shutdown.fail(`ports cannot be bound: ${unboundPorts.join(", ")}`);
    }
}
