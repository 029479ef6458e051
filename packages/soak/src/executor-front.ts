/**
 * The addresses at which hosts reach one executor, one for each host, with faults: hosts that are cut off, calls and answers
 * that are lost, and calls that are carried out seconds later.
 */
import type { RandomSource } from "@waxwingroute/core";
import type { Executor } from "./executor.js";
import { JsonServer } from "./json-server.js";
import type { JsonCall } from "./json-server.js";
import { decodeExecutorRequest, encodeExecutorReply, instanceHeader } from "./protocol.js";
import type { RunRecord } from "./run-record.js";
import type { ExecutorReply, ExecutorRequest } from "./types.js";

/** The faults of an executor. Shares are from 0 to 1 and by default 0. */
export interface ExecutorFaults {
    /** Hosts that do not reach the executor. */
    readonly cutHosts?: readonly string[];
    /** Hosts to whose calls the shares are limited. Default: all. */
    readonly hosts?: readonly string[];
    /** Kinds of calls to which the shares are limited. Default: all. */
    readonly kinds?: readonly ExecutorRequest["kind"][];
    /** Share of calls that do not arrive. */
    readonly callLossShare?: number;
    /** Share of calls that are carried out, and whose answers are lost. */
    readonly answerLossShare?: number;
    /** Share of calls that are carried out late. */
    readonly lateShare?: number;
    /** Longest delay of a late call, ms. Default 10,000. */
    readonly maxLateMs?: number;
    /** Whether starts are rejected as by an unhealthy executor. Default false. */
    readonly isUnhealthy?: boolean;
}

const defaultMaxLateMs = 10_000;
/** Shortest delay of a late call, ms. */
const minLateMs = 500;

/** The way of all hosts to one executor. */
export class ExecutorFront {
    private readonly servers = new Map<string, JsonServer>();
    private readonly faults = new Map<object, ExecutorFaults>();
    private readonly timers = new Set<NodeJS.Timeout>();

    constructor(
        readonly executor: Executor,
        private readonly random: RandomSource,
        private readonly record: RunRecord,
    ) {}

    async open(hosts: readonly string[]): Promise<void> {
        for (const host of hosts) {
            this.servers.set(host, await JsonServer.open(call => this.handle(call, host)));
        }
    }

    /** Returns the address at which a host reaches the executor. */
    getAddress(host: string): string {
        return this.servers.get(host)!.address;
    }

    /** Adds faults until the returned function is called. */
    addFaults(faults: ExecutorFaults): () => void {
        const id = {};
        this.faults.set(id, faults);
        return () => {
            this.faults.delete(id);
        };
    }

    /** Lets nothing pass over the present connections of a host any more, without ending them. */
    dropTraffic(host: string): void {
        this.servers.get(host)!.dropTraffic();
    }

    endLife(): void {
        this.executor.endLife();
        this.servers.forEach(server => server.closeConnections());
    }

    close(): void {
        this.timers.forEach(timer => clearTimeout(timer));
        this.executor.close();
        this.servers.forEach(server => server.close());
    }

    private computeMost(
        field: "callLossShare" | "answerLossShare" | "lateShare" | "maxLateMs",
        host: string,
        kind: ExecutorRequest["kind"],
    ): number {
        const faults = [...this.faults.values()].filter(({ hosts, kinds }) =>
            (hosts === undefined || hosts.includes(host)) && (kinds === undefined || kinds.includes(kind))
        );
        return Math.max(0, ...faults.map(row => row[field] ?? 0));
    }

    private canReach(host: string): boolean {
        return ![...this.faults.values()].some(faults => faults.cutHosts?.includes(host));
    }

    private handle(call: JsonCall, host: string): void {
        const { life } = this.executor;
        if (life === undefined) {
            call.resetConnection();
            return;
        }
        const instance = call.request.headers[instanceHeader];
        const request = decodeExecutorRequest(
            call.request.url ?? "/",
            typeof instance === "string" ? instance : "",
            call.body,
        );
        const { kind } = request;
        if (!this.canReach(host) || this.random.getFloat() < this.computeMost("callLossShare", host, kind)) {
            return;
        }
        const lateShare = this.computeMost("lateShare", host, kind);
        if (this.random.getFloat() < lateShare) {
            const maxLateMs = this.computeMost("maxLateMs", host, kind) || defaultMaxLateMs;
            const lateMs = minLateMs + this.random.getFloat() * (maxLateMs - minLateMs);
            const timer = setTimeout(() => {
                this.timers.delete(timer);
                // A call that waits on its way ends with the life for which it was sent.
                if (this.executor.life === life) {
                    this.execute(call, request, host, true);
                }
            }, lateMs);
            this.timers.add(timer);
            return;
        }
        this.execute(call, request, host, false);
    }

    private execute(call: JsonCall, request: ExecutorRequest, host: string, isLate: boolean): void {
        if (request.kind === "start" && [...this.faults.values()].some(faults => faults.isUnhealthy)) {
            this.reply(call, host, { kind: "unhealthy" });
            return;
        }
        if (isLate) {
            const { kind, task, run, acknowledged } = request;
            this.record.write("call-late", { executor: this.executor.id, host, kind, task, run, acknowledged });
        }
        const isLost = this.random.getFloat() < this.computeMost("answerLossShare", host, request.kind);
        this.executor.handle(request, host, isLate, reply => {
            if (!isLost) {
                this.reply(call, host, reply);
            }
        });
    }

    private reply(call: JsonCall, host: string, reply: ExecutorReply): void {
        if (this.canReach(host)) {
            call.reply(encodeExecutorReply(reply, this.executor.identity));
        }
    }
}
