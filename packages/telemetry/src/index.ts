/** Logs, metrics, health endpoints and graceful shutdown for the programs. */
export { EventLog } from "./event-log.js";
export type { EventLogOptions } from "./event-log.js";
export { installGracefulShutdown } from "./graceful-shutdown.js";
export type { GracefulShutdownOptions, ShutdownStep } from "./graceful-shutdown.js";
export { HealthServer } from "./health-server.js";
export type { HealthServerOptions } from "./health-server.js";
export { createLogger, Logger } from "./logger.js";
export type { LogFields, LoggerOptions, LogLevel, LogWriter } from "./logger.js";
export { Metrics } from "./metrics.js";
export type { MetricsOptions } from "./metrics.js";
export { ServedMetrics } from "./served-metrics.js";
