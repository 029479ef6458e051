/** Logs, metrics, health endpoints and graceful shutdown for all programs. */
export { EventLog } from "./event-log.js";
export type { EventLogOptions } from "./event-log.js";
export { installGracefulShutdown } from "./graceful-shutdown.js";
export type { GracefulShutdownOptions, ShutdownStep } from "./graceful-shutdown.js";
export { HealthServer } from "./health-server.js";
export type { HealthServerOptions } from "./health-server.js";
export { createLogger, Logger } from "./logger.js";
export type { LogFields, LoggerOptions, LogLevel, LogWriter } from "./logger.js";
export { ProcessSignals } from "./process-signals.js";
export type { SignalListener, SignalPurpose, SignalSource } from "./process-signals.js";
export { PrometheusMetrics } from "./prometheus-metrics.js";
export { StatsdMetrics } from "./statsd-metrics.js";
export type { StatsdMetricsOptions } from "./statsd-metrics.js";
export { Supervisor } from "./supervisor.js";
export type { SupervisedLoop, SupervisorOptions } from "./supervisor.js";
