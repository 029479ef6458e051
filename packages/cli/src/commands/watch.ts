/**
 * `waxwing watch`: prints changes as they take effect. When the connection to a server ends, the watch resumes at the
 * next server from the last revision that it has seen.
 */
import type { IncomingMessage } from "node:http";
import { createInterface } from "node:readline";
import { z } from "zod";
import { createResponseError, openRequest, parseJson, readResponse } from "../http-client.js";
import { CommandError, exitCodes } from "../program-io.js";
import { toPathSegment } from "../session.js";
import type { Session } from "../session.js";

/** Options of a watch. */
export interface WatchOptions {
    readonly kind: string | undefined;
    /** Only changes above this revision are printed; if absent, only changes made from now on. */
    readonly afterRevision: number | undefined;
    /** The watch ends after this number of changes; if absent, it is unlimited. */
    readonly maxChanges: number | undefined;
    /** The watch fails after this time without a response from any server, in milliseconds. */
    readonly retryTimeoutMs: number;
}

/** Delay between two passes over the list of servers, in milliseconds. */
const passDelayMs = 500;

const watchLineSchema = z.looseObject({
    type: z.enum(["put", "delete", "job", "progress", "problem", "end"]),
    revision: z.number().optional(),
    resource: z.looseObject({ kind: z.string(), name: z.string(), spec: z.unknown() }).optional(),
    job: z.looseObject({ name: z.string(), state: z.string() }).optional(),
    kind: z.string().optional(),
    name: z.string().optional(),
    code: z.string().optional(),
    message: z.string().optional(),
});
type WatchLine = z.output<typeof watchLineSchema>;

/** Watches until `maxChanges` changes are printed, the watch fails, or the program is stopped. */
export async function watchChanges(session: Session, options: WatchOptions): Promise<number> {
    const cursor = { revision: options.afterRevision, remainingChanges: options.maxChanges ?? Infinity };
    let lastResponseAt = performance.now();
    while (cursor.remainingChanges > 0 && session.io.signal?.aborted !== true) {
        for (const server of session.servers) {
            if (await watchServer(session, server, options.kind, cursor)) {
                lastResponseAt = performance.now();
            }
            if (cursor.remainingChanges <= 0) {
                return exitCodes.done;
            }
        }
        if (performance.now() - lastResponseAt > options.retryTimeoutMs) {
            const message =
                `no server could be reached for ${options.retryTimeoutMs} ms (${session.servers.join(", ")}): `
                + `check the addresses, then resume with --from ${cursor.revision ?? 0}`;
            throw new CommandError(message, exitCodes.unreachable);
        }
        await new Promise(resolve => setTimeout(resolve, passDelayMs));
    }
    return exitCodes.done;
}

/** Prints the changes from one server until its stream ends. Returns whether the server accepted the watch. */
async function watchServer(
    session: Session,
    server: string,
    kind: string | undefined,
    cursor: { revision: number | undefined; remainingChanges: number; },
): Promise<boolean> {
    const query = new URLSearchParams();
    if (kind !== undefined) {
        query.set("kind", toPathSegment(kind));
    }
    if (cursor.revision !== undefined) {
        query.set("from", String(cursor.revision));
    }
    let response: IncomingMessage;
    try {
        response = await openRequest(
            server,
            { method: "GET", path: `/v1/watch?${query.toString()}` },
            session.io.signal,
        );
    }
    catch {
        return false;
    }
    if (response.statusCode !== 200) {
        const errorResponse = await readResponse(server, response);
        if (errorResponse.status === 503 || errorResponse.status === 429) {
            return false;
        }
        throw createResponseError(errorResponse);
    }
    response.on("error", () => undefined);
    for await (const text of createInterface({ input: response })) {
        const line = watchLineSchema.safeParse(parseJson(text));
        if (!line.success) {
            break; // The connection ended within a line; the server sends the change again when the watch resumes.
        }
        processLine(session, line.data, cursor);
        if (cursor.remainingChanges <= 0) {
            break;
        }
    }
    response.destroy();
    return true;
}

function processLine(
    session: Session,
    line: WatchLine,
    cursor: { revision: number | undefined; remainingChanges: number; },
): void {
    if (line.type === "end" && line.code === "revision-compacted") {
        throw new CommandError(
            line.message ?? "the server no longer stores the changes after the requested revision: list again",
            exitCodes.failed,
        );
    }
    cursor.revision = line.revision ?? cursor.revision;
    if (line.type === "progress" || line.type === "end") {
        return;
    }
    cursor.remainingChanges--;
    session.io.writeOut(session.isJson ? `${JSON.stringify(line)}\n` : formatLine(line));
}

function formatLine(line: WatchLine): string {
    const { resource, job } = line;
    const kind = job === undefined ? resource?.kind ?? line.kind ?? "" : "Job";
    const name = resource?.name ?? job?.name ?? line.name ?? "";
    const detail = resource === undefined ? job?.state ?? line.message ?? "" : JSON.stringify(resource.spec);
    return `${`${line.revision ?? "-"} ${line.type} ${kind} ${name} ${detail}`.replace(/\p{Cc}/gu, " ").trimEnd()}\n`;
}
