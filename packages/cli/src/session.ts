/**
 * One run of a command: its options, its servers and its output.
 */
import type { ArgsDef } from "citty";
import { formatJson, formatTable } from "./formatting.js";
import { createAnswerError, parseJson, parseServers, sendToServers } from "./http-client.js";
import type { ClientAnswer, ClientRequest } from "./http-client.js";
import { CommandError, exitCodes } from "./program-io.js";
import type { ProgramIo } from "./program-io.js";

const outputForms = ["table", "json"];

/** Options of every command that talks to an operator server. */
export const commonArguments = {
    server: {
        type: "string",
        description: "Addresses of operator servers, separated by commas, tried in order. Default: WAXWING_SERVER",
        valueHint: "URL",
    },
    token: { type: "string", description: "Operator token. Default: WAXWING_TOKEN", valueHint: "token" },
    output: { type: "enum", options: [...outputForms], default: "table", description: "Form of the output" },
} as const satisfies ArgsDef;

/** Values of the common options. */
export interface CommonValues {
    readonly server?: string;
    readonly token?: string;
    readonly output?: string;
}

/** A command at work. */
export class Session {
    readonly servers: readonly string[];
    private readonly token: string | undefined;

    constructor(readonly io: ProgramIo, private readonly values: CommonValues) {
        const { environment } = io;
        this.servers = parseServers(values.server ?? environment["WAXWING_SERVER"], "server", "WAXWING_SERVER");
        this.token = values.token ?? environment["WAXWING_TOKEN"];
    }

    /** Sends a request with the operator token, or another bearer token, and a JSON body. */
    async send(
        method: ClientRequest["method"],
        path: string,
        options: { readonly body?: unknown; readonly version?: number; readonly bearer?: string; } = {},
    ): Promise<ClientAnswer> {
        const bearer = options.bearer ?? this.token;
        const headers: Record<string, string> = bearer === undefined ? {} : { Authorization: `Bearer ${bearer}` };
        if (options.version !== undefined) {
            headers["If-Match"] = String(options.version);
        }
        if (options.body === undefined) {
            return sendToServers(this.servers, { method, path, headers });
        }
        headers["Content-Type"] = "application/json";
        return sendToServers(this.servers, { method, path, headers, body: JSON.stringify(options.body) });
    }

    /** Sends a request and returns the JSON of the answer. Throws `CommandError` unless it succeeded. */
    async request(...parameters: Parameters<Session["send"]>): Promise<Record<string, unknown>> {
        return readBody(await this.send(...parameters));
    }

    /** Prints one object. */
    print(value: object): void {
        this.io.writeOut(this.values.output === "json" ? formatJson(value) : formatTable([value]));
    }

    /** Prints a list; `whole` is what JSON output shows. */
    printList(items: readonly object[], whole: unknown = items): void {
        this.io.writeOut(this.values.output === "json" ? formatJson(whole) : formatTable(items));
    }

    get isJson(): boolean {
        return this.values.output === "json";
    }
}

/** Returns the JSON object of a successful answer. Throws `CommandError` otherwise. */
export function readBody(answer: ClientAnswer): Record<string, unknown> {
    const body = parseJson(Buffer.from(answer.bytes).toString("utf8"));
    if (answer.status < 200 || answer.status >= 300 || typeof body !== "object" || body === null) {
        throw createAnswerError(answer);
    }
    return body as Record<string, unknown>;
}

/** Returns the items of a list. */
export function listItems(body: Record<string, unknown>): readonly Record<string, unknown>[] {
    return Array.isArray(body["items"]) ? body["items"] as Record<string, unknown>[] : [];
}

const segments: Readonly<Record<string, string>> = {
    team: "teams",
    key: "keys",
    queue: "queues",
    drain: "drains",
    job: "jobs",
};

/** Returns the path segment of a kind such as `team`, `teams` or `Team`. */
export function toSegment(kind: string): string {
    const lower = kind.toLowerCase();
    const segment = Object.hasOwn(segments, lower)
        ? segments[lower]
        : Object.values(segments).find(other => other === lower);
    if (segment === undefined) {
        const message = `kind "${kind}" does not exist: use one of ${Object.keys(segments).join(", ")}`;
        throw new CommandError(message, exitCodes.usage);
    }
    return segment;
}
