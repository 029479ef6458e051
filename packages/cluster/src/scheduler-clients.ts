/**
 * One connection to the scheduler of each entry host.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { Failure, HostId, Result } from "@waxwingroute/core";
import { getSchedulerAddress, listHosts } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import { RpcClient } from "@waxwingroute/transport";
import type { UnaryMethod } from "@waxwingroute/transport";

/** Calls to schedulers by host; the programs use gRPC, tests call in process. */
export interface SchedulerCaller {
    /** Calls a method of the scheduler on `host` and waits up to `timeoutMs`. */
    call<Request, Response>(
        host: HostId,
        method: UnaryMethod<Request, Response>,
        request: Request,
        timeoutMs: number,
    ): Promise<Result<Response, Failure>>;
}

/** A call that ended, for metering of the bytes that cross zones and regions. */
export interface PeerCall {
    readonly to: HostLocation;
    readonly method: string;
    readonly sentBytes: number;
    readonly receivedBytes: number;
}

export interface SchedulerClientsOptions {
    readonly settings: Settings;
    /** Called after each unary call; default none. */
    readonly onCall?: (call: PeerCall) => void;
}

/** Opens connections on first use and keeps them. */
export class SchedulerClients implements SchedulerCaller {
    private readonly clients = new Map<HostId, RpcClient>();
    private readonly locations: ReadonlyMap<HostId, HostLocation>;

    constructor(private readonly options: SchedulerClientsOptions) {
        this.locations = new Map(listHosts(options.settings).map(place => [place.host, place]));
    }

    /** Returns the connection to a host of the settings; `undefined` for an unknown host. */
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

    /** Calls a method of the scheduler on `host`. */
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

    close(): void {
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }
}
