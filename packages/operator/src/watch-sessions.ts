/**
 * Serves watches: streamed responses with one JSON object per line. A client resumes from the revision of the last line
 * that it received.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { StoreChange } from "@waxwingroute/platform";
import type { ConfigurationReplica } from "@waxwingroute/relay";
import { decodeResource, formatValue, maxRevision, parseName, parseStoreKey } from "@waxwingroute/resources";
import type { ConfigurationKind } from "@waxwingroute/resources";
import type { ServerResponse } from "node:http";
import { parseInteger, parseQuery } from "./request-reader.js";
import { findKind } from "./routes.js";
import type { JobGateway, JobStatus, WatchLine } from "./types.js";

/** Options of `WatchSessions`. */
export interface WatchSessionsOptions {
    readonly replica: ConfigurationReplica;
    readonly jobs: JobGateway;
    /** Maximum number of open watches. */
    readonly maxWatches: number;
    /** Interval between progress lines, in milliseconds. */
    readonly progressIntervalMs: number;
    /** Bytes buffered for a slow client above which its watch ends. */
    readonly maxBufferedBytes: number;
}

/** What a client watches. */
type WatchRequest =
    | {
        readonly type: "configuration";
        readonly kind: ConfigurationKind | undefined;
        readonly from: number | undefined;
    }
    | { readonly type: "jobs"; readonly team: string | undefined; readonly from: number | undefined; };

interface WatchSession {
    readonly response: ServerResponse;
    readonly controller: AbortController;
    /** Revision from which the client can resume the watch. */
    revision: number | undefined;
}

/** The open watches of a server. */
export class WatchSessions {
    private readonly sessions = new Set<WatchSession>();

    constructor(private readonly options: WatchSessionsOptions) {}

    get size(): number {
        return this.sessions.size;
    }

    /**
     * Starts a watch on a response, or returns a failure before anything is sent: `invalid-query`, `unknown-kind`,
     * `revision-compacted`, `too-many-watches`, `not-ready` (`notRun`).
     */
    start(query: URLSearchParams, response: ServerResponse): Result<undefined, Failure> {
        const request = parseWatchRequest(query);
        if (!request.ok) {
            return Err(request.val);
        }
        if (this.sessions.size >= this.options.maxWatches) {
            const message = `${this.sessions.size} watches are open, the maximum of this server: use another server`;
            return Err(createFailure("too-many-watches", message, "notRun", 5_000));
        }
        const session = { response, controller: new AbortController(), revision: request.val.from };
        return request.val.type === "jobs"
            ? this.startJobWatch(session, request.val.team)
            : this.startConfigurationWatch(session, request.val.kind);
    }

    /** Ends all watches with a last line that says from which revision to resume. */
    close(): void {
        for (const session of [...this.sessions]) {
            this.endSession(session, "server-stopping", "the server is stopping: resume the watch at another one");
        }
    }

    private startConfigurationWatch(
        session: WatchSession,
        kind: ConfigurationKind | undefined,
    ): Result<undefined, Failure> {
        const { replica } = this.options;
        if (replica.revision === undefined) {
            return Err(createFailure("not-ready", "no configuration is loaded yet: try again", "notRun", 1_000));
        }
        const startRevision = session.revision ?? replica.revision;
        const missedChanges = replica.listChanges(startRevision);
        if (!missedChanges.ok) {
            return Err(missedChanges.val);
        }
        this.openSession(session);
        const sendChanges = (changes: readonly StoreChange[], revision: number): void => {
            for (const change of changes) {
                const line = change.revision > startRevision ? toWatchLine(change, kind) : undefined;
                if (line !== undefined) {
                    this.sendLine(session, line);
                }
            }
            session.revision = Math.max(session.revision ?? startRevision, revision);
        };
        sendChanges(missedChanges.val, replica.revision);
        this.sendLine(session, { type: "progress", revision: session.revision ?? startRevision });
        const unsubscribe = replica.subscribe(sendChanges);
        const timer = setInterval(() => {
            this.sendLine(session, { type: "progress", revision: session.revision ?? startRevision });
        }, this.options.progressIntervalMs);
        session.controller.signal.addEventListener("abort", () => {
            unsubscribe();
            clearInterval(timer);
        });
        return Ok(undefined);
    }

    private startJobWatch(session: WatchSession, team: string | undefined): Result<undefined, Failure> {
        this.openSession(session);
        const { signal } = session.controller;
        const onEvent = (job: JobStatus): void => {
            session.revision = Math.max(session.revision ?? 0, job.revision);
            this.sendLine(session, { type: "job", revision: job.revision, job });
        };
        const timer = setInterval(() => {
            this.sendLine(session, { type: "progress", revision: session.revision ?? 0 });
        }, this.options.progressIntervalMs);
        signal.addEventListener("abort", () => clearInterval(timer));
        const watch = this.options.jobs.watch({ team, afterRevision: session.revision, onEvent, signal });
        watch.then(
            result =>
                result.ok
                    ? this.endSession(session, "watch-ended", "the shard owners ended the watch: resume it")
                    : this.endSession(session, result.val.code, result.val.message),
            (error: unknown) => this.endSession(session, "internal-error", `the watch failed: ${String(error)}`),
        );
        return Ok(undefined);
    }

    private openSession(session: WatchSession): void {
        this.sessions.add(session);
        session.response.writeHead(200, { "Content-Type": "application/x-ndjson", "Cache-Control": "no-store" });
        session.response.flushHeaders();
        session.response.on("close", () => this.removeSession(session));
    }

    private sendLine(session: WatchSession, line: WatchLine): void {
        const { response } = session;
        if (!this.sessions.has(session)) {
            return;
        }
        response.write(`${JSON.stringify(line)}\n`);
        if (response.writableLength > this.options.maxBufferedBytes) {
            // A client that does not read must not fill the memory; it can resume from the last line that it received.
            this.removeSession(session);
            response.destroy();
        }
    }

    private endSession(session: WatchSession, code: string, message: string): void {
        if (this.sessions.has(session)) {
            this.sendLine(session, { type: "end", revision: session.revision, code, message });
            this.removeSession(session);
            session.response.end();
        }
    }

    private removeSession(session: WatchSession): void {
        if (this.sessions.delete(session)) {
            session.controller.abort();
        }
    }
}

function parseWatchRequest(query: URLSearchParams): Result<WatchRequest, Failure> {
    const parameters = parseQuery(query, ["kind", "team", "from"]);
    if (!parameters.ok) {
        return Err(parameters.val);
    }
    const { kind: text, team, from: fromText } = parameters.val;
    const from = fromText === undefined ? Ok(undefined) : parseInteger("from", fromText, 0, maxRevision);
    if (!from.ok) {
        return Err(from.val);
    }
    if (text === "jobs" || text === "Job") {
        const checked = team === undefined ? Ok(undefined) : parseName(team, "team");
        return checked.map(name => ({ type: "jobs", team: name, from: from.val }));
    }
    const kind = text === undefined ? undefined : findKind(text);
    if (text !== undefined && kind === undefined) {
        const message = `kind ${formatValue(text)} does not exist: use teams, keys, queues, drains or jobs`;
        return Err(createFailure("unknown-kind", message, "notRun"));
    }
    if (team !== undefined) {
        return Err(
            createFailure("invalid-query", "query parameter team is only for kind=jobs: leave it out", "notRun"),
        );
    }
    return Ok({ type: "configuration", kind, from: from.val });
}

function toWatchLine(change: StoreChange, wanted: ConfigurationKind | undefined): WatchLine | undefined {
    const parsed = parseStoreKey(change.key);
    if (parsed === undefined || wanted !== undefined && wanted !== parsed.kind) {
        return undefined;
    }
    const { key, value, revision } = change;
    if (value === undefined) {
        return { type: "delete", revision, kind: parsed.kind, name: parsed.name };
    }
    const decoded = decodeResource({ key, value, revision });
    return decoded.ok
        ? { type: "put", revision, resource: decoded.val }
        : { type: "problem", revision, code: decoded.val.code, message: decoded.val.message };
}
