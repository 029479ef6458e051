/**
 * Requests to the first of several servers that answers. A request that may have run is not sent to another server, unless
 * it only reads.
 */
import { request as sendRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { z } from "zod";
import { CommandError, exitCodes } from "./program-io.js";

/** A request. */
export interface ClientRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Path and query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
}

/** A whole answer. */
export interface ClientAnswer {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly bytes: Uint8Array;
    readonly server: string;
}

/** Time to connect, in milliseconds. */
const connectTimeoutMs = 3_000;
/** Time without any byte of the answer, in milliseconds; longer than the progress lines of a watch are apart. */
const idleTimeoutMs = 30_000;

const errorSchema = z.object({
    error: z.object({ code: z.string(), message: z.string(), verdict: z.string() }),
});

class ConnectionError extends Error {
    constructor(message: string, readonly wasSent: boolean) {
        super(message);
    }
}

/** Parses a list of addresses such as `http://10.0.0.4:7400,http://10.0.0.5:7400`. */
export function parseServers(text: string | undefined, option: string, variable: string): readonly string[] {
    const servers = (text ?? "").split(",").map(server => server.trim()).filter(server => server !== "");
    if (servers.length === 0) {
        throw new CommandError(
            `no address: give --${option} http://<address>:<port>, or set ${variable}`,
            exitCodes.usage,
        );
    }
    for (const server of servers) {
        if (!URL.canParse(server) || new URL(server).protocol !== "http:") {
            throw new CommandError(
                `address "${server}" is not usable: write it as http://<address>:<port>`,
                exitCodes.usage,
            );
        }
    }
    return servers;
}

/** Sends a request to the servers in order until one answers it. Throws `CommandError` if none does. */
export async function sendToServers(servers: readonly string[], request: ClientRequest): Promise<ClientAnswer> {
    const problems: string[] = [];
    let refused: ClientAnswer | undefined;
    for (const server of servers) {
        try {
            const answer = await readAnswer(server, await openRequest(server, request));
            if (answer.status !== 503 || answer.headers["waxwing-verdict"] !== "notRun") {
                return answer;
            }
            refused = answer;
        }
        catch (error) {
            const problem = `${server}: ${error instanceof Error ? error.message : String(error)}`;
            if (request.method !== "GET" && (!(error instanceof ConnectionError) || error.wasSent)) {
                const message = `the connection ended before the answer (${problem}): the request may have run; `
                    + "look at the current state before you repeat it";
                throw new CommandError(message, exitCodes.failed, "mayHaveRun");
            }
            problems.push(problem);
        }
    }
    if (refused !== undefined) {
        return refused;
    }
    const message = `no server could be reached (${problems.join("; ")}): check the addresses, or name others`;
    throw new CommandError(message, exitCodes.unreachable);
}

/** Opens a request on one server and resolves when the headers of the answer arrive. */
export function openRequest(server: string, request: ClientRequest, signal?: AbortSignal): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
        let isConnected = false;
        const url = new URL(request.path, server);
        const outgoing = sendRequest(url, { method: request.method, headers: request.headers, agent: false, signal });
        const timer = setTimeout(() => outgoing.destroy(new Error("no connection in time")), connectTimeoutMs);
        outgoing.on("socket", socket => {
            socket.once("connect", () => {
                isConnected = true;
                clearTimeout(timer);
            });
        });
        outgoing.setTimeout(idleTimeoutMs, () => outgoing.destroy(new Error("no answer in time")));
        outgoing.on("response", resolve);
        outgoing.on("error", error => {
            clearTimeout(timer);
            reject(new ConnectionError(error.message, isConnected));
        });
        outgoing.end(request.body);
    });
}

/** Reads a whole answer. */
export async function readAnswer(server: string, response: IncomingMessage): Promise<ClientAnswer> {
    const chunks: Buffer[] = [];
    for await (const chunk of response as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return { status: response.statusCode ?? 0, headers: response.headers, bytes: Buffer.concat(chunks), server };
}

/** Creates the error of an answer that is not a success. */
export function createAnswerError(answer: ClientAnswer): CommandError {
    const text = Buffer.from(answer.bytes).toString("utf8");
    const parsed = errorSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        const message =
            `${answer.server} answered ${answer.status} ${JSON.stringify(text.slice(0, 200))}: check that it is a `
            + "server of waxwingroute";
        return new CommandError(message, exitCodes.failed);
    }
    const { code, message, verdict } = parsed.data.error;
    const notes = verdict === "notRun" ? "" : " (it may have run: look at the current state before you repeat it)";
    return new CommandError(`${message}${notes} [${answer.status} ${code}]`, exitCodes.failed, code);
}

/** Parses JSON; `undefined` if it is not. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}
