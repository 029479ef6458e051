/**
 * Health endpoints of a program.
 *
 * `GET /healthz` replies 200 while the process can handle events. `GET /readyz` replies 200 only if the program can
 * serve, otherwise 503 with the reasons; the load balancer uses it. `GET /statusz` describes the program.
 */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { bindServer } from "./bind-server.js";

/** Settings of a `HealthServer`. */
export interface HealthServerOptions {
    readonly address: string;
    readonly port: number;
    readonly program: string;
    readonly version: string;
    /** Returns the reasons why the program is not ready; empty if it is ready. */
    readonly listProblems: () => readonly string[];
    /** Returns further fields for `GET /statusz`; default none. */
    readonly describeStatus?: () => Readonly<Record<string, unknown>>;
}

/** Serves the health endpoints. */
export class HealthServer {
    private readonly server: Server;

    constructor(private readonly options: HealthServerOptions) {
        this.server = createServer((request, response) => {
            const [status, body] = this.buildReply(request.url ?? "/");
            response.writeHead(status, { "content-type": "application/json" });
            response.end(`${JSON.stringify(body)}\n`);
        });
        this.server.requestTimeout = 5_000;
    }

    listen(): Promise<void> {
        const { address, port } = this.options;
        return bindServer(this.server, { address, port, onError: () => undefined });
    }

    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private buildReply(path: string): readonly [number, unknown] {
        const { program, version } = this.options;
        const problems = this.options.listProblems();
        switch (path) {
            case "/healthz":
                return [200, { status: "alive", program, version }];
            case "/readyz":
                return problems.length === 0 ? [200, { status: "ready" }] : [503, { status: "not ready", problems }];
            case "/statusz":
                return [200, { program, version, problems, ...this.options.describeStatus?.() }];
            default:
                return [404, { error: { code: "not-found", message: "use /healthz, /readyz or /statusz" } }];
        }
    }
}
