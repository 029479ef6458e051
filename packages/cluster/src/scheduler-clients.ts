/**
 * Connections to the schedulers, one for each entry host.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { Failure, HostId, Result } from "@waxwingroute/core";
import { getSchedulerAddress, listHosts } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import { RpcClient } from "@waxwingroute/transport";
import type { UnaryMethod } from "@waxwingroute/transport";

/** Calls schedulers by the name of their host. The programs use gRPC, tests call in process. */
export interface SchedulerCaller {
    /** Calls a method of the scheduler on `host` and waits up to `timeoutMs` for its response. */
    call<Request, Response>(
        host: HostId,
        method: UnaryMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ): Promise<Result<Response, Failure>>;
}

/** A finished call, reported so that the bytes which cross zones and regions can be metered. */
export interface PeerCall {
    readonly to: HostLocation;
    readonly method: string;
    readonly sentBytes: number;
    readonly receivedBytes: number;
}

/** Options of `SchedulerClients`. */
export interface SchedulerClientsOptions {
    readonly settings: Settings;
    /** Called after each unary call. Default: calls are not metered. */
    readonly onCall?: (call: PeerCall) => void;
}

/** Opens each connection on its first use and keeps it until `close`. */
export class SchedulerClients implements SchedulerCaller {
    private readonly clients = new Map<HostId, RpcClient>();
    private readonly locations: ReadonlyMap<HostId, HostLocation>;

    constructor(private readonly options: SchedulerClientsOptions) {
        this.locations = new Map(listHosts(options.settings).map(location => [location.host, location]));
    }

    /** Returns the client of a host; `undefined` if the settings do not name the host. */
    get(host: HostId): RpcClient | undefined {
        const location = this.locations.get(host);
        if (location === undefined) {
            return undefined;
        }
        let client = this.clients.get(host);
        if (client === undefined) {
            client = new RpcClient({
                address: getSchedulerAddress(location),
                onCall: (method, sentBytes, receivedBytes) =>
                    this.options.onCall?.({ to: location, method, sentBytes, receivedBytes }),
            });
            this.clients.set(host, client);
        }
        return client;
    }

    /** Calls a method of the scheduler on `host`. Fails with `unknown-host` (`notRun`) if the settings do not name it. */
    async call<Request, Response>(
        host: HostId,
        method: UnaryMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ): Promise<Result<Response, Failure>> {
        const client = this.get(host);
        return client === undefined
            ? Err(createFailure("unknown-host", `host "${host}" is not in the settings`, "notRun"))
            : client.call(method, request, timeoutMs);
    }

    /** Closes all connections. */
    close(): void {
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }
}
