/** Decides which connections of a server stay open when there are more than its share. */
import type { Clock } from "@waxwingroute/core";

/** Settings of a `ConnectionTable`. */
export interface ConnectionTableOptions<Connection> {
    /** Maximum number of open connections. */
    readonly maxConnections: number;
    readonly clock: Clock;
    /** Closes a connection at once. */
    readonly close: (connection: Connection) => void;
    /**
     * Time for which a connection without a request is kept when others want to connect, ms. Default 1,000: the first or
     * the next request of a caller that works is on its way.
     */
    readonly minIdleMs?: number;
}

interface ConnectionRow {
    requests: number;
    idleSince: number;
}

const defaultMinIdleMs = 1_000;

/**
 * Bounds the connections of a server. When the bound is reached, the connection that had no request for the longest
 * time is closed for a new one. If every connection has a request or had one lately, the new one is refused: its caller
 * can use another host at once, while the others have invested in this one. A connection with a request is never closed.
 *
 * @example
 * ```ts
 * const table = new ConnectionTable<Socket>({ maxConnections: 500, clock, close: socket => socket.destroy() });
 * server.on("connection", socket => table.add(socket) || socket.destroy());
 * ```
 */
export class ConnectionTable<Connection> {
    private readonly rows = new Map<Connection, ConnectionRow>();
    /** Connections without a request, the longest idle first. */
    private readonly idle = new Set<Connection>();
    private evictedCount = 0;
    private refusedCount = 0;

    constructor(private readonly options: ConnectionTableOptions<Connection>) {}

    get size(): number {
        return this.rows.size;
    }

    get maxConnections(): number {
        return this.options.maxConnections;
    }

    /** Number of connections that were closed for new ones. */
    get evicted(): number {
        return this.evictedCount;
    }

    /** Number of connections that were not accepted. */
    get refused(): number {
        return this.refusedCount;
    }

    /** Whether the next connection would be refused. */
    get isExhausted(): boolean {
        return this.rows.size >= this.options.maxConnections && this.findEvictable() === undefined;
    }

    /** Adds a new connection, or returns `false` if it must be closed. */
    add(connection: Connection): boolean {
        if (this.rows.size >= this.options.maxConnections) {
            const evictable = this.findEvictable();
            if (evictable === undefined) {
                this.refusedCount += 1;
                return false;
            }
            this.remove(evictable);
            this.evictedCount += 1;
            this.options.close(evictable);
        }
        this.rows.set(connection, { requests: 0, idleSince: this.options.clock.getNow() });
        this.idle.add(connection);
        return true;
    }

    /** Records that a request has arrived. */
    recordRequest(connection: Connection): void {
        const row = this.rows.get(connection);
        if (row !== undefined) {
            row.requests += 1;
            this.idle.delete(connection);
        }
    }

    /** Records that a request has got its reply, or will get none. */
    recordReply(connection: Connection): void {
        const row = this.rows.get(connection);
        if (row !== undefined && row.requests > 0) {
            row.requests -= 1;
            if (row.requests === 0) {
                row.idleSince = this.options.clock.getNow();
                this.idle.add(connection);
            }
        }
    }

    /** Removes a connection that has closed. */
    remove(connection: Connection): void {
        this.rows.delete(connection);
        this.idle.delete(connection);
    }

    private findEvictable(): Connection | undefined {
        const [connection] = this.idle;
        if (connection === undefined) {
            return undefined;
        }
        const idleMs = this.options.clock.getNow() - (this.rows.get(connection)?.idleSince ?? 0);
        return idleMs >= (this.options.minIdleMs ?? defaultMinIdleMs) ? connection : undefined;
    }
}
