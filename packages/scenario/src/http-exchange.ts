/**
 * JSON calls of a scenario to the system's own HTTP interfaces, and the clients that they share.
 */
import type { Failure, Result, Verdict } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { HttpRequest, HttpResponse } from "@waxwingroute/platform";
import { HttpClient } from "@waxwingroute/platform";

/** Most connections to one server: callers must not wait for each other. */
const maxConnections = 512;

/** HTTP clients by base URL. */
export class ClientPool {
    private readonly clients = new Map<string, HttpClient>();

    get(url: string): HttpClient {
        const existing = this.clients.get(url);
        if (existing !== undefined) {
            return existing;
        }
        const client = new HttpClient(url, { url, maxConnections, timeoutMs: 5_000 });
        this.clients.set(url, client);
        return client;
    }

    close(): void {
        for (const client of this.clients.values()) {
            client.close();
        }
    }
}

/** A call with a JSON body. */
export interface JsonCall extends Omit<HttpRequest, "body"> {
    readonly content?: unknown;
}

/** Sends a JSON call; a status of 400 or above is a failure with the verdict of the answer. */
export async function sendJson(client: HttpClient, call: JsonCall): Promise<Result<unknown, Failure>> {
    const { content, ...rest } = call;
    const body = content === undefined ? undefined : JSON.stringify(content);
    const sent = await client.send({ ...rest, body, headers: { "content-type": "application/json", ...rest.headers } });
    if (!sent.ok) {
        const verdict = sent.val.wasSent ? "mayHaveRun" : "notRun";
        return Err(createFailure("call-failed", `${call.method} ${call.path}: ${sent.val.message}`, verdict));
    }
    return sent.val.status < 400 ? Ok(parseJson(sent.val.body)) : Err(readFailure(sent.val));
}

/** Reads the failure of an answer with a status of 400 or above. */
export function readFailure(response: HttpResponse): Failure {
    const content = parseJson(response.body) as { error?: Partial<Failure>; } | undefined;
    const { code = "unknown", message = response.body.toString("utf8").slice(0, 200), verdict } = content?.error ?? {};
    return createFailure(code, `status ${response.status}, ${code}: ${message}`, verdict ?? readVerdict(response));
}

/** Returns the verdict header of an answer; `mayHaveRun` if it has none. */
export function readVerdict(response: HttpResponse): Verdict {
    const header = response.headers["waxwing-verdict"];
    return header === "notRun" || header === "ran" ? header : "mayHaveRun";
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
