/**
 * The callers of a scenario: send requests to entry processes and judge what comes back.
 */
import type { ClientPool } from "./http-exchange.js";
import { readFailure, readVerdict, sendJson } from "./http-exchange.js";
import type { OutgoingRequest, RequestReply } from "./submissions.js";

/** Options of `CallerClient`. */
export interface CallerClientOptions {
    readonly clients: ClientPool;
    /** Returns the base URLs of the entry processes to try in order, as a balancer would. */
    readonly listUrls: (at: string | undefined) => readonly string[];
    /** Returns the secret to present for a request, or `undefined` for none. */
    readonly findSecret: (key: string | undefined, queue: string) => string | undefined;
}

/** Milliseconds that a caller waits beyond its deadline. */
const graceMs = 1_000;

/** Sends requests to entry processes. */
export class CallerClient {
    constructor(private readonly options: CallerClientOptions) {}

    /** Sends a request. With a request key, a lost request is sent once more with the same key. */
    async send(request: OutgoingRequest): Promise<RequestReply> {
        if (!request.hasRequestKey) {
            return this.sendOnce(request, undefined);
        }
        const key = await this.fetchRequestKey(request);
        if (typeof key !== "string") {
            return key;
        }
        const first = await this.sendOnce(request, key);
        return first.kind === "lost" ? this.sendOnce(request, key) : first;
    }

    private async fetchRequestKey(request: OutgoingRequest): Promise<string | RequestReply> {
        let message = "no entry process of the world is running";
        for (const url of this.options.listUrls(request.at)) {
            const result = await sendJson(this.options.clients.get(url), {
                operation: "issueKey",
                method: "POST",
                path: `/v1/request-keys?queue=${encodeURIComponent(request.queue)}`,
                headers: this.createAuthorization(request),
            });
            if (result.ok) {
                return (result.val as { requestKey: string; }).requestKey;
            }
            message = result.val.message;
        }
        return { kind: "refused", verdict: "notRun", message };
    }

    private async sendOnce(request: OutgoingRequest, requestKey: string | undefined): Promise<RequestReply> {
        let message = "no entry process of the world is running";
        for (const url of this.options.listUrls(request.at)) {
            const sent = await this.options.clients.get(url).send({
                operation: "execute",
                method: "POST",
                path: `/v1/queues/${encodeURIComponent(request.queue)}/requests`,
                headers: {
                    ...this.createAuthorization(request),
                    "content-type": "application/octet-stream",
                    "waxwing-idempotent": String(request.isIdempotent),
                    "waxwing-deadline-ms": String(request.deadlineMs),
                    ...requestKey === undefined ? {} : { "waxwing-request-key": requestKey },
                },
                body: request.body,
                timeoutMs: request.deadlineMs + graceMs,
            });
            if (sent.ok) {
                const verdict = readVerdict(sent.val);
                const failure = sent.val.status >= 400 ? readFailure(sent.val) : undefined;
                // An executor's own error is an answer; an error of the system has a code.
                if (verdict === "ran" && (failure === undefined || failure.code === "unknown")) {
                    return { kind: "answered", body: sent.val.body };
                }
                const text = failure?.message ?? `status ${sent.val.status} with verdict ${verdict}`;
                return { kind: verdict === "notRun" ? "refused" : "lost", verdict, message: text };
            }
            message = sent.val.message;
            if (sent.val.wasSent) {
                return { kind: "lost", verdict: "mayHaveRun", message };
            }
        }
        return { kind: "refused", verdict: "notRun", message };
    }

    private createAuthorization(request: OutgoingRequest): Record<string, string> {
        const secret = this.options.findSecret(request.key, request.queue);
        return secret === undefined ? {} : { authorization: `Bearer ${secret}` };
    }
}
