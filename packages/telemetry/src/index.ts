/** Logs, metrics, health endpoints and graceful shutdown for the programs. */
export {};
