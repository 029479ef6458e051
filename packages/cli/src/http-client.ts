/**
 * An HTTP client with failover: sends a request to a list of servers in order until one responds. A write that a
 * server may have executed is not sent to the next server, since it could run twice; reads always are.
 */
import { request as sendRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { z } from "zod";
import { CommandError, exitCodes } from "./program-io.js";

/** An HTTP request that can be sent to any of several servers. */
export interface ClientRequest {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    /** Path and query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
}

/** A complete HTTP response and the server that sent it. */
export interface ClientResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly bytes: Uint8Array;
    readonly server: string;
}

/** Limit for establishing a connection, in milliseconds. */
const connectTimeoutMs = 3_000;
/**
 * Limit for the time in which no byte of the response arrives, in milliseconds. It must exceed the interval between the
 * progress lines of a watch.
 */
const idleTimeoutMs = 30_000;

const errorSchema = z.object({
    error: z.object({ code: z.string(), message: z.string(), verdict: z.string() }),
});

class ConnectionError extends Error {
    constructor(message: string, readonly wasSent: boolean) {
        super(message);
    }
}

/** Parses a comma-separated list of server addresses such as `http://10.0.0.4:7400,http://10.0.0.5:7400`. */
export function parseServerAddresses(text: string | undefined, option: string, variable: string): readonly string[] {
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

/**
 * Sends a request to the servers in order until one responds. A 503 response with the verdict `notRun` moves on to the
 * next server, and is returned if no server gives another response. Throws `CommandError` if no server responds, or if
 * a write may have run.
 */
export async function sendToServers(servers: readonly string[], request: ClientRequest): Promise<ClientResponse> {
    const failures: string[] = [];
    let refusal: ClientResponse | undefined;
    for (const server of servers) {
        try {
            const response = await readResponse(server, await openRequest(server, request));
            if (response.status !== 503 || response.headers["waxwing-verdict"] !== "notRun") {
                return response;
            }
            refusal = response;
        }
        catch (error) {
            const failure = `${server}: ${error instanceof Error ? error.message : String(error)}`;
            if (request.method !== "GET" && (!(error instanceof ConnectionError) || error.wasSent)) {
                const message = `the connection ended before the response (${failure}): the request may have run; `
                    + "look at the current state before you repeat it";
                throw new CommandError(message, exitCodes.failed, "mayHaveRun");
            }
            failures.push(failure);
        }
    }
    if (refusal !== undefined) {
        return refusal;
    }
    const message = `no server could be reached (${failures.join("; ")}): check the addresses, or name others`;
    throw new CommandError(message, exitCodes.unreachable);
}

/** Sends a request to one server and resolves when the headers of the response arrive; the caller reads the body. */
export function openRequest(server: string, request: ClientRequest, signal?: AbortSignal): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
        let isConnected = false;
        const url = new URL(request.path, server);
        const clientRequest = sendRequest(url, {
            method: request.method,
            headers: request.headers,
            agent: false,
            signal,
        });
        const connectTimer = setTimeout(
            () => clientRequest.destroy(new Error("connecting to the server timed out")),
            connectTimeoutMs,
        );
        clientRequest.on("socket", socket => {
            socket.once("connect", () => {
                isConnected = true;
                clearTimeout(connectTimer);
            });
        });
        clientRequest.setTimeout(
            idleTimeoutMs,
            () => clientRequest.destroy(new Error("waiting for data from the server timed out")),
        );
        clientRequest.on("response", resolve);
        clientRequest.on("error", error => {
            clearTimeout(connectTimer);
            reject(new ConnectionError(error.message, isConnected));
        });
        clientRequest.end(request.body);
    });
}

/** Reads the body of a response to its end. */
export async function readResponse(server: string, response: IncomingMessage): Promise<ClientResponse> {
    const chunks: Buffer[] = [];
    for await (const chunk of response as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return { status: response.statusCode ?? 0, headers: response.headers, bytes: Buffer.concat(chunks), server };
}

/** Creates the error for a response that reports a failure. */
export function createResponseError(response: ClientResponse): CommandError {
    const text = Buffer.from(response.bytes).toString("utf8");
    const parsed = errorSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        const message =
            `${response.server} answered ${response.status} ${JSON.stringify(text.slice(0, 200))}: check that it is a `
            + "server of waxwingroute";
        return new CommandError(message, exitCodes.failed);
    }
    const { code, message, verdict } = parsed.data.error;
    const verdictNote = verdict === "notRun"
        ? ""
        : " (it may have run: look at the current state before you repeat it)";
    return new CommandError(`${message}${verdictNote} [${response.status} ${code}]`, exitCodes.failed, code);
}

/** Parses JSON; returns `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}
