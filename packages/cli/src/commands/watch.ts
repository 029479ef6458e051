/**
 * `waxwing watch`: prints changes as they come into force, and resumes at another server when one ends.
 */
import type { IncomingMessage } from "node:http";
import { createInterface } from "node:readline";
import { z } from "zod";
import { createAnswerError, openRequest, parseJson, readAnswer } from "../http-client.js";
import { CommandError, exitCodes } from "../program-io.js";
import { toSegment } from "../session.js";
import type { Session } from "../session.js";

/** What to watch. */
export interface WatchOptions {
    readonly kind: string | undefined;
    /** Revision above which changes are wanted; from now on if absent. */
    readonly from: number | undefined;
    /** Changes after which the watch ends; without bound if absent. */
    readonly count: number | undefined;
    /** Milliseconds without any server after which the watch fails. */
    readonly retryMs: number;
}

/** Wait between two rounds over the servers, in milliseconds. */
const roundDelayMs = 500;

const lineSchema = z.looseObject({
    type: z.enum(["put", "delete", "job", "progress", "problem", "end"]),
    revision: z.number().optional(),
    resource: z.looseObject({ kind: z.string(), name: z.string(), spec: z.unknown() }).optional(),
    job: z.looseObject({ name: z.string(), state: z.string() }).optional(),
    kind: z.string().optional(),
    name: z.string().optional(),
    code: z.string().optional(),
    message: z.string().optional(),
});
type Line = z.output<typeof lineSchema>;

/** Runs a watch until its count is reached, it fails, or the program is stopped. */
export async function watchChanges(session: Session, options: WatchOptions): Promise<number> {
    const state = { from: options.from, left: options.count ?? Infinity };
    let lastSeenAt = performance.now();
    while (state.left > 0 && session.io.signal?.aborted !== true) {
        for (const server of session.servers) {
            if (await readServer(session, server, options.kind, state)) {
                lastSeenAt = performance.now();
            }
            if (state.left <= 0) {
                return exitCodes.done;
            }
        }
        if (performance.now() - lastSeenAt > options.retryMs) {
            const message = `no server could be reached for ${options.retryMs} ms (${session.servers.join(", ")}): `
                + `check the addresses, then resume with --from ${state.from ?? 0}`;
            throw new CommandError(message, exitCodes.unreachable);
        }
        await new Promise(resolve => setTimeout(resolve, roundDelayMs));
    }
    return exitCodes.done;
}

/** Follows one server until it ends; returns whether it answered. */
async function readServer(
    session: Session,
    server: string,
    kind: string | undefined,
    state: { from: number | undefined; left: number; },
): Promise<boolean> {
    const query = new URLSearchParams();
    if (kind !== undefined) {
        query.set("kind", toSegment(kind));
    }
    if (state.from !== undefined) {
        query.set("from", String(state.from));
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
        const answer = await readAnswer(server, response);
        if (answer.status === 503 || answer.status === 429) {
            return false;
        }
        throw createAnswerError(answer);
    }
    response.on("error", () => undefined);
    for await (const text of createInterface({ input: response })) {
        const line = lineSchema.safeParse(parseJson(text));
        if (!line.success) {
            break; // The connection ended within a line; the change comes again after the resumption.
        }
        handleLine(session, line.data, state);
        if (state.left <= 0) {
            break;
        }
    }
    response.destroy();
    return true;
}

function handleLine(session: Session, line: Line, state: { from: number | undefined; left: number; }): void {
    if (line.type === "end" && line.code === "revision-compacted") {
        throw new CommandError(line.message ?? "the revision is too old", exitCodes.failed);
    }
    state.from = line.revision ?? state.from;
    if (line.type === "progress" || line.type === "end") {
        return;
    }
    state.left--;
    session.io.writeOut(session.isJson ? `${JSON.stringify(line)}\n` : formatLine(line));
}

function formatLine(line: Line): string {
    const { resource, job } = line;
    const kind = job === undefined ? resource?.kind ?? line.kind ?? "" : "Job";
    const name = resource?.name ?? job?.name ?? line.name ?? "";
    const detail = resource === undefined ? job?.state ?? line.message ?? "" : JSON.stringify(resource.spec);
    return `${`${line.revision ?? "-"} ${line.type} ${kind} ${name} ${detail}`.replace(/\p{Cc}/gu, " ").trimEnd()}\n`;
}
