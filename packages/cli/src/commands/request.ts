/**
 * `waxwing request`: sends a request to a queue through an entry host.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { parseServerAddresses, sendToServers } from "../http-client.js";
import { CommandError, exitCodes } from "../program-io.js";
import type { ProgramIo } from "../program-io.js";
import { parseIntegerOption } from "./parts.js";

/** Options of a request to a queue. */
export interface RequestOptions {
    readonly queue: string;
    /** Addresses of entry hosts, separated by commas. */
    readonly entry: string | undefined;
    readonly key: string | undefined;
    /** The body itself, or `@` followed by the path of the file that contains it. */
    readonly body: string;
    readonly contentType: string;
    readonly isIdempotent: boolean;
    /** Deadline in milliseconds; the default of the queue if absent. */
    readonly deadlineMs: number | undefined;
    readonly requestKey: string | undefined;
}

/**
 * Sends a request. Writes the response body to standard output, and the status, verdict and request key to standard
 * error.
 */
export async function sendQueueRequest(io: ProgramIo, options: RequestOptions): Promise<number> {
    const servers = parseServerAddresses(options.entry ?? io.environment["WAXWING_ENTRY"], "entry", "WAXWING_ENTRY");
    const key = options.key ?? io.environment["WAXWING_KEY"];
    const headers: Record<string, string> = {
        "Content-Type": options.contentType,
        "Waxwing-Idempotent": String(options.isIdempotent),
        ...key === undefined ? {} : { Authorization: `Bearer ${key}` },
        ...options.deadlineMs === undefined ? {} : { "Waxwing-Deadline-Ms": String(options.deadlineMs) },
        ...options.requestKey === undefined ? {} : { "Waxwing-Request-Key": options.requestKey },
    };
    const body = await readRequestBody(io, options.body);
    const path = `/v1/queues/${encodeURIComponent(options.queue)}/requests`;
    const response = await sendToServers(servers, { method: "POST", path, headers, body });
    const verdict = String(response.headers["waxwing-verdict"] ?? "unknown");
    const requestKey = String(response.headers["waxwing-request-key"] ?? "none");
    io.writeOut(response.bytes);
    io.writeError(`status ${response.status}, verdict ${verdict}, request key ${requestKey}\n`);
    return response.status >= 200 && response.status < 300 ? exitCodes.done : exitCodes.failed;
}

async function readRequestBody(io: ProgramIo, text: string): Promise<string> {
    if (!text.startsWith("@")) {
        return text;
    }
    try {
        return await io.readTextFile(text.slice(1));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw new CommandError(`body file cannot be read (${reason}): check the path after @`, exitCodes.usage);
    }
}

/** Builds the command `waxwing request`. */
export function createRequestCommand(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: { name: "request", description: "Sends a request to a queue through an entry host" },
        args: {
            queue: { type: "positional", description: "Name of the queue", required: true },
            entry: {
                type: "string",
                description: "Addresses of entry hosts. Default: WAXWING_ENTRY",
                valueHint: "URL",
            },
            key: { type: "string", description: "Key of the team. Default: WAXWING_KEY", valueHint: "key" },
            body: { type: "string", description: "Body, or @ and the path of a file", default: "", valueHint: "text" },
            "content-type": {
                type: "string",
                description: "Type of the body",
                default: "application/json",
                valueHint: "type",
            },
            idempotent: { type: "boolean", description: "The request may run more than once", default: false },
            "deadline-ms": {
                type: "string",
                description: "Deadline in milliseconds. Default: the queue's",
                valueHint: "ms",
            },
            "request-key": { type: "string", description: "Key that makes a repetition safe", valueHint: "key" },
        },
        run: ({ args }) =>
            sendQueueRequest(io, {
                queue: args.queue,
                entry: args.entry,
                key: args.key,
                body: args.body,
                contentType: args["content-type"],
                isIdempotent: args.idempotent,
                deadlineMs: parseIntegerOption("deadline-ms", args["deadline-ms"]),
                requestKey: args["request-key"],
            }),
    }) as CommandDef;
}
