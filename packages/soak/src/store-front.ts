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
import type { CommitRequest, StoreReply, StoreRequest } from "./types.js";

/** The faults of one address. Shares are from 0 to 1. */
export interface StoreFaults {
    /** `silent`: no call is answered; `busy`: each is refused. Default `up`. */
    readonly mode?: "up" | "silent" | "busy";
    /** Answer time, ms. Default 4. */
    readonly delayMs?: number;
    /** Longest random delay of an answer after the call was carried out, ms, so that answers overtake each other. Default 0. */
    readonly maxAnswerDelayMs?: number;
    /** Share of the answers in whose place the connection ends, after the call was carried out. Default 0. */
    readonly lossShare?: number;
    /** Share of the writes that are carried out late. Default 0. */
    readonly lateShare?: number;
    /** Longest delay of a late write, ms. Default 20,000. */
    readonly maxLateMs?: number;
    /** Prefixes of the keys to whose commits the fault is limited. Default: all calls. */
    readonly keyPrefixes?: readonly string[];
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

    /** Returns when the lease of a key ends, on the monotonic clock; `undefined` if it has none. */
    getLeaseEnd(key: string): number | undefined {
        return this.state.getLeaseEnd(key);
    }

    /** Lets nothing pass over the present connections any more, without ending them. */
    dropTraffic(): void {
        this.server?.dropTraffic();
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

    private computeMost(
        field: "delayMs" | "maxAnswerDelayMs" | "lossShare" | "lateShare" | "maxLateMs",
        base: number,
        request: StoreRequest,
    ): number {
        const faults = [...this.faults.values()].filter(({ keyPrefixes }) =>
            keyPrefixes === undefined || hasKeyBelow(request, keyPrefixes)
        );
        return Math.max(base, ...faults.map(row => row[field] ?? 0));
    }

    private handle(call: JsonCall): void {
        const { mode } = this;
        if (mode === "busy") {
            call.reply(encodeStoreReply({ kind: "busy" }));
            return;
        }
        const request = decodeStoreRequest(call.request.method ?? "GET", call.request.url ?? "/", call.body);
        const isWrite = request.kind === "commit" || request.kind === "grantLease" || request.kind === "renewLease";
        const lateShare = this.computeMost("lateShare", 0, request);
        if (isWrite && this.random.getFloat() < lateShare) {
            const maxLateMs = this.computeMost("maxLateMs", 0, request) || defaultMaxLateMs;
            const lateMs = minLateMs + this.random.getFloat() * (maxLateMs - minLateMs);
            this.record.write("write-held", {
                host: this.host,
                kind: request.kind,
                lateMs: Math.round(lateMs),
                keys: request.kind === "commit" ? listKeys(request) : [],
            });
            this.schedule(lateMs, () => {
                const reply = this.state.execute(request);
                this.record.write("write-late", { host: this.host, kind: request.kind, reply: reply.kind });
                this.reply(call, request, reply);
            });
            return;
        }
        if (mode === "silent") {
            return;
        }
        this.schedule(this.computeMost("delayMs", defaultDelayMs, request), () => {
            // A cut that began meanwhile also holds back the call.
            if (this.mode === "silent") {
                return;
            }
            if (request.kind === "watch") {
                call.onClose(this.state.watch(request, reply => this.reply(call, request, reply)));
            }
            else {
                const reply = this.state.execute(request);
                const answerDelayMs = this.random.getFloat() * this.computeMost("maxAnswerDelayMs", 0, request);
                this.schedule(answerDelayMs, () => this.reply(call, request, reply));
            }
        });
    }

    private reply(call: JsonCall, request: StoreRequest, reply: StoreReply): void {
        const { mode } = this;
        if (this.isClosed || mode === "silent") {
            return;
        }
        if (this.random.getFloat() < this.computeMost("lossShare", 0, request)) {
            if (request.kind === "commit") {
                this.record.write("answer-lost", { host: this.host, reply: reply.kind, keys: listKeys(request) });
            }
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

function listKeys({ writes, removals }: CommitRequest): string[] {
    return [...writes.map(({ key }) => key), ...removals];
}

function hasKeyBelow(request: StoreRequest, prefixes: readonly string[]): boolean {
    return request.kind === "commit"
        && listKeys(request).some(key => prefixes.some(prefix => key.startsWith(prefix)));
}
