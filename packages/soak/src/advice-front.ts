/** The address at which one host reaches the advice service, with faults of its own. */
import type { AdviceService } from "./advice-service.js";
import { JsonServer } from "./json-server.js";
import type { JsonCall } from "./json-server.js";
import { decodeAdviceRequest, encodeAdviceReply } from "./protocol.js";
import type { RunRecord } from "./run-record.js";
import type { AdviceReply } from "./types.js";

/** The faults of one address. */
export interface AdviceFaults {
    /**
     * `silent`: no call arrives; `unanswered`: calls are handled, and their answers lost; `refusing`: each call is refused
     * at once. Default `up`.
     */
    readonly mode?: AdviceMode;
    /** Factor by which calls take longer. Default 1. */
    readonly slowness?: number;
}

type AdviceMode = "up" | "silent" | "unanswered" | "refusing";

/** Modes with the worst first; of several, the worst is in force. */
const modes: readonly AdviceMode[] = ["silent", "unanswered", "refusing"];

/** One host's way to the advice service. */
export class AdviceFront {
    /** The faults in force, by a token of the trouble that added them. */
    private readonly faults = new Map<object, AdviceFaults>();
    private server: JsonServer | undefined;

    private constructor(
        readonly host: string,
        private readonly service: AdviceService,
        private readonly record: RunRecord,
    ) {}

    static async open(host: string, service: AdviceService, record: RunRecord): Promise<AdviceFront> {
        const front = new AdviceFront(host, service, record);
        front.server = await JsonServer.open(call => front.handle(call));
        return front;
    }

    get address(): string {
        return this.server!.address;
    }

    /** Adds faults until the returned function is called. Faults of several troubles are in force together. */
    addFaults(faults: AdviceFaults): () => void {
        const id = {};
        this.faults.set(id, faults);
        return () => {
            this.faults.delete(id);
        };
    }

    close(): void {
        this.server?.close();
    }

    private get mode(): AdviceMode {
        const present = [...this.faults.values()].map(faults => faults.mode ?? "up");
        return modes.find(mode => present.includes(mode)) ?? "up";
    }

    private get slowness(): number {
        return Math.max(1, ...[...this.faults.values()].map(faults => faults.slowness ?? 1));
    }

    private handle(call: JsonCall): void {
        const { mode, record, host } = this;
        const request = decodeAdviceRequest(call.body);
        const { step } = request;
        const sentAt = record.now;
        record.firstAdviceCalls.set(step, record.firstAdviceCalls.get(step) ?? sentAt);
        record.adviceCallTimes.push(sentAt);
        record.write("advice-call", { host, step, named: request.executors.length, mode });
        if (mode === "refusing") {
            call.reply(encodeAdviceReply({ kind: "unavailable" }));
        }
        else if (mode !== "silent") {
            const onReply = (reply: AdviceReply) => {
                const granted = reply.kind === "grants" ? reply.grants.length : undefined;
                const tookMs = Math.round(record.now - sentAt);
                record.write("advice-reply", { host, step, kind: reply.kind, granted, tookMs, isOpen: call.isOpen });
                if (this.mode === "up" || this.mode === "refusing") {
                    call.reply(encodeAdviceReply(reply));
                }
            };
            this.service.ask(host, { request, getSlowness: () => this.slowness, onReply });
        }
    }
}
