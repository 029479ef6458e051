/**
 * The address at which one host reaches the store, with faults of its own: silence, refusals, delays, connections that end
 * in place of an answer, and writes that are applied seconds later.
 */
import type { RandomSource } from "@waxwingroute/core";
import { JsonServer } from "./json-server.js";
import type { JsonCall } from "./json-server.js";
import { decodeStoreRequest, encodeStoreReply } from "./protocol.js";
import type { RunRecord } from "./run-record.js";
import type { StoreState } from "./store-state.js";
import type { StoreReply } from "./types.js";

/** The faults of one address. Shares are from 0 to 1. */
export interface StoreFaults {
    /** `silent`: no call is answered; `busy`: each is refused. Default `up`. */
    readonly mode?: "up" | "silent" | "busy";
    /** Answer time, ms. Default 4. */
    readonly delayMs?: number;
    /** Share of the answers in whose place the connection ends, after the call was carried out. Default 0. */
    readonly lossShare?: number;
    /** Share of the writes that are carried out late. Default 0. */
    readonly lateShare?: number;
    /** Longest delay of a late write, ms. Default 20,000. */
    readonly maxLateMs?: number;
}

/** Shortest delay of a late write, ms. */
const minLateMs = 1_000;
/** Default of `maxLateMs`. */
const defaultMaxLateMs = 20_000;
const defaultDelayMs = 4;

/** One host's way to the store. */
export class StoreFront {
    /** The faults in force, by a token of the trouble that added them. */
    private readonly faults = new Map<object, StoreFaults>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private server: JsonServer | undefined;
    private isClosed = false;

    private constructor(
        readonly host: string,
        private readonly state: StoreState,
        private readonly random: RandomSource,
        private readonly record: RunRecord,
    ) {}

    static async open(host: string, state: StoreState, random: RandomSource, record: RunRecord): Promise<StoreFront> {
        const front = new StoreFront(host, state, random, record);
        front.server = await JsonServer.open(call => front.handle(call));
        return front;
    }

    get address(): string {
        return this.server!.address;
    }

    /** Adds faults until the returned function is called. Faults of several troubles are in force together. */
    addFaults(faults: StoreFaults): () => void {
        const id = {};
        this.faults.set(id, faults);
        return () => {
            this.faults.delete(id);
        };
    }

    close(): void {
        this.isClosed = true;
        this.timers.forEach(timer => clearTimeout(timer));
        this.server?.close();
    }

    private get mode(): "up" | "silent" | "busy" {
        const modes = [...this.faults.values()].map(faults => faults.mode ?? "up");
        return modes.find(mode => mode === "silent") ?? modes.find(mode => mode === "busy") ?? "up";
    }

    private computeMost(field: "delayMs" | "lossShare" | "lateShare" | "maxLateMs", base: number): number {
        return Math.max(base, ...[...this.faults.values()].map(faults => faults[field] ?? 0));
    }

    private handle(call: JsonCall): void {
        const { mode } = this;
        if (mode === "busy") {
            call.reply(encodeStoreReply({ kind: "busy" }));
            return;
        }
        const request = decodeStoreRequest(call.request.method ?? "GET", call.request.url ?? "/", call.body);
        const isWrite = request.kind === "commit" || request.kind === "grantLease" || request.kind === "renewLease";
        const lateShare = this.computeMost("lateShare", 0);
        if (isWrite && this.random.getFloat() < lateShare) {
            const maxLateMs = this.computeMost("maxLateMs", 0) || defaultMaxLateMs;
            const lateMs = minLateMs + this.random.getFloat() * (maxLateMs - minLateMs);
            this.record.write("write-held", { host: this.host, kind: request.kind, lateMs: Math.round(lateMs) });
            this.schedule(lateMs, () => {
                const reply = this.state.execute(request);
                this.record.write("write-late", { host: this.host, kind: request.kind, reply: reply.kind });
                this.reply(call, reply);
            });
            return;
        }
        if (mode === "silent") {
            return;
        }
        this.schedule(this.computeMost("delayMs", defaultDelayMs), () => {
            // A cut that began meanwhile also holds back the call.
            if (this.mode === "silent") {
                return;
            }
            if (request.kind === "watch") {
                call.onClose(this.state.watch(request, reply => this.reply(call, reply)));
            }
            else {
                this.reply(call, this.state.execute(request));
            }
        });
    }

    private reply(call: JsonCall, reply: StoreReply): void {
        const { mode } = this;
        if (this.isClosed || mode === "silent") {
            return;
        }
        if (this.random.getFloat() < this.computeMost("lossShare", 0)) {
            call.resetConnection();
            return;
        }
        call.reply(encodeStoreReply(mode === "busy" && reply.kind === "changes" ? { kind: "busy" } : reply));
    }

    private schedule(ms: number, action: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            action();
        }, ms);
        this.timers.add(timer);
    }
}
