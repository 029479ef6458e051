/**
 * `waxwing request`: sends a request to an entry host.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { parseServers, sendToServers } from "../http-client.js";
import { CommandError, exitCodes } from "../program-io.js";
import type { ProgramIo } from "../program-io.js";
import { parseNumber } from "./parts.js";

/** A request to a queue. */
export interface RequestOptions {
    readonly queue: string;
    /** Addresses of entry hosts, separated by commas. */
    readonly entry: string | undefined;
    readonly key: string | undefined;
    /** Body, or `@` and the path of a file. */
    readonly body: string;
    readonly contentType: string;
    readonly isIdempotent: boolean;
    /** Milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly requestKey: string | undefined;
}

/** Sends a request; the body of the answer goes to standard output, its verdict and request key to standard error. */
export async function sendQueueRequest(io: ProgramIo, options: RequestOptions): Promise<number> {
    const servers = parseServers(options.entry ?? io.environment["WAXWING_ENTRY"], "entry", "WAXWING_ENTRY");
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
    const answer = await sendToServers(servers, { method: "POST", path, headers, body });
    const verdict = String(answer.headers["waxwing-verdict"] ?? "unknown");
    const requestKey = String(answer.headers["waxwing-request-key"] ?? "none");
    io.writeOut(answer.bytes);
    io.writeError(`status ${answer.status}, verdict ${verdict}, request key ${requestKey}\n`);
    return answer.status >= 200 && answer.status < 300 ? exitCodes.done : exitCodes.failed;
}

async function readRequestBody(io: ProgramIo, text: string): Promise<string> {
    if (!text.startsWith("@")) {
        return text;
    }
    try {
        return await io.readText(text.slice(1));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw new CommandError(`body file cannot be read (${reason}): check the path after @`, exitCodes.usage);
    }
}

/** Builds `waxwing request`. */
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
                deadlineMs: parseNumber("deadline-ms", args["deadline-ms"]),
                requestKey: args["request-key"],
            }),
    }) as CommandDef;
}
