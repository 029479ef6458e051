/**
 * The context of one command: the servers and credentials that it uses, and the format of its output.
 */
import type { ArgsDef } from "citty";
import { formatJson, formatTable } from "./formatting.js";
import { createResponseError, parseJson, parseServerAddresses, sendToServers } from "./http-client.js";
import type { ClientRequest, ClientResponse } from "./http-client.js";
import { CommandError, exitCodes } from "./program-io.js";
import type { ProgramIo } from "./program-io.js";

const outputFormats = ["table", "json"];

/** Arguments of every command that sends requests to an operator server. */
export const serverArguments = {
    server: {
        type: "string",
        description: "Addresses of operator servers, separated by commas, tried in order. Default: WAXWING_SERVER",
        valueHint: "URL",
    },
    token: { type: "string", description: "Operator token. Default: WAXWING_TOKEN", valueHint: "token" },
    output: { type: "enum", options: [...outputFormats], default: "table", description: "Output format" },
} as const satisfies ArgsDef;

/** Values of `serverArguments`. */
export interface ServerArgumentValues {
    readonly server?: string;
    readonly token?: string;
    readonly output?: string;
}

/** Sends the requests of one command to the operator servers and prints its results. */
export class Session {
    readonly servers: readonly string[];
    private readonly token: string | undefined;

    constructor(readonly io: ProgramIo, private readonly argumentValues: ServerArgumentValues) {
        const { environment } = io;
        this.servers = parseServerAddresses(
            argumentValues.server ?? environment["WAXWING_SERVER"],
            "server",
            "WAXWING_SERVER",
        );
        this.token = argumentValues.token ?? environment["WAXWING_TOKEN"];
    }

    /** Sends a request with a JSON body. `bearer` replaces the operator token; `version` is sent as `If-Match`. */
    async send(
        method: ClientRequest["method"],
        path: string,
        options: { readonly body?: unknown; readonly version?: number; readonly bearer?: string; } = {},
    ): Promise<ClientResponse> {
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

    /**
     * Sends a request and returns the JSON object of the response. Throws `CommandError` unless the request succeeded.
     */
    async requestJson(...parameters: Parameters<Session["send"]>): Promise<Record<string, unknown>> {
        return parseSuccessBody(await this.send(...parameters));
    }

    /** Prints one object in the output format of the command. */
    printObject(value: object): void {
        this.io.writeOut(this.argumentValues.output === "json" ? formatJson(value) : formatTable([value]));
    }

    /** Prints a list. JSON output shows `jsonValue` instead, such as the whole body that contains the items. */
    printList(items: readonly object[], jsonValue: unknown = items): void {
        this.io.writeOut(this.argumentValues.output === "json" ? formatJson(jsonValue) : formatTable(items));
    }

    get isJson(): boolean {
        return this.argumentValues.output === "json";
    }
}

/** Parses the JSON object of a successful response. Throws `CommandError` for any other response. */
export function parseSuccessBody(response: ClientResponse): Record<string, unknown> {
    const body = parseJson(Buffer.from(response.bytes).toString("utf8"));
    if (response.status < 200 || response.status >= 300 || typeof body !== "object" || body === null) {
        throw createResponseError(response);
    }
    return body as Record<string, unknown>;
}

/** Returns the items of a list response; none if it has no `items`. */
export function listItems(body: Record<string, unknown>): readonly Record<string, unknown>[] {
    return Array.isArray(body["items"]) ? body["items"] as Record<string, unknown>[] : [];
}

const pathSegmentsByKind: Readonly<Record<string, string>> = {
    team: "teams",
    key: "keys",
    queue: "queues",
    drain: "drains",
    job: "jobs",
};

/** Returns the URL path segment of a kind, which may be written as `team`, `teams` or `Team`. */
export function toPathSegment(kind: string): string {
    const lower = kind.toLowerCase();
    const segment = Object.hasOwn(pathSegmentsByKind, lower)
        ? pathSegmentsByKind[lower]
        : Object.values(pathSegmentsByKind).find(other => other === lower);
    if (segment === undefined) {
        const message = `kind "${kind}" does not exist: use one of ${Object.keys(pathSegmentsByKind).join(", ")}`;
        throw new CommandError(message, exitCodes.usage);
    }
    return segment;
}
