/**
 * Checks requests and passes each to the handler of its route.
 */
import { createFailure, Err } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { match } from "ts-pattern";
import type { Authorizer } from "./authorizer.js";
import type { JobHandlers } from "./job-handlers.js";
import type { Reply } from "./replies.js";
import { checkHeaders, findBearerToken, parseIfMatch, parseQuery, readJsonBody } from "./request-reader.js";
import type { ResourceHandlers } from "./resource-handlers.js";
import { allowedMethods, parseRoute } from "./routes.js";
import type { Route } from "./routes.js";
import type { WatchSessions } from "./watch-sessions.js";

/** The handlers that a `RequestRouter` calls. */
export interface RequestRouterOptions {
    readonly authorizer: Authorizer;
    readonly resourceHandlers: ResourceHandlers;
    readonly jobHandlers: JobHandlers;
    readonly watchSessions: WatchSessions;
}

/** Checks the headers, route, method, token and query of requests and calls their handlers. */
export class RequestRouter {
    constructor(private readonly options: RequestRouterOptions) {}

    /** Returns the reply, or `undefined` if a watch now writes to the response. */
    async process(
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<Result<Reply | undefined, Failure>> {
        const headers = checkHeaders(request);
        if (!headers.ok) {
            return Err(headers.val);
        }
        const { path, query } = splitUrl(request);
        const route = parseRoute(path);
        if (!route.ok) {
            return Err(route.val);
        }
        const methods = allowedMethods[route.val.type];
        if (!methods.includes(request.method ?? "")) {
            const message = `method ${request.method} is not allowed on ${path}: use ${methods.join(" or ")}`;
            return Err(createFailure("method-not-allowed", message, "notRun"));
        }
        return request.method === "GET"
            ? this.processRead(route.val, query, response)
            : this.processWrite(route.val, query, request);
    }

    private async processRead(
        route: Route,
        query: URLSearchParams,
        response: ServerResponse,
    ): Promise<Result<Reply | undefined, Failure>> {
        const hasOwnQuery = route.type === "watch" || route.type === "jobs";
        const unexpected = hasOwnQuery ? undefined : parseQuery(query, []);
        if (unexpected !== undefined && !unexpected.ok) {
            return Err(unexpected.val);
        }
        return match(route)
            .with({ type: "watch" }, () => this.options.watchSessions.start(query, response))
            .with({ type: "resources" }, ({ kind }) => this.options.resourceHandlers.list(kind))
            .with({ type: "resource" }, ({ kind, name }) => this.options.resourceHandlers.get(kind, name))
            .with({ type: "jobs" }, () => this.options.jobHandlers.list(query))
            .with({ type: "job" }, ({ name }) => this.options.jobHandlers.describe(name))
            .with({ type: "explainJob" }, ({ name }) => this.options.jobHandlers.explain(name))
            .with({ type: "where" }, () => this.options.jobHandlers.listHostRevisions())
            .with({ type: "cancelJob" }, { type: "forceRelease" }, ({ type }) => {
                throw new Error(`route ${type} has no GET`);
            })
            .exhaustive();
    }

    private async processWrite(
        route: Route,
        query: URLSearchParams,
        request: IncomingMessage,
    ): Promise<Result<Reply, Failure>> {
        const token = findBearerToken(request);
        // Requests about jobs are authorized by the key of the team, which is known only from the body or from the job.
        const isJob = route.type === "jobs" || route.type === "cancelJob";
        const allowed = isJob ? undefined : this.options.authorizer.checkOperatorToken(token);
        const ifMatch = parseIfMatch(request);
        const unexpected = parseQuery(query, []);
        if (allowed !== undefined && !allowed.ok) {
            return Err(allowed.val);
        }
        if (!unexpected.ok) {
            return Err(unexpected.val);
        }
        if (!ifMatch.ok) {
            return Err(ifMatch.val);
        }
        const body = await readJsonBody(request);
        if (!body.ok) {
            return Err(body.val);
        }
        return match(route)
            .with({ type: "resources" }, ({ kind }) => this.options.resourceHandlers.create(kind, body.val))
            .with({ type: "resource" }, ({ kind, name }) => {
                return request.method === "PUT"
                    ? this.options.resourceHandlers.update(kind, name, body.val, ifMatch.val)
                    : this.options.resourceHandlers.delete(kind, name, ifMatch.val);
            })
            .with({ type: "jobs" }, () => this.options.jobHandlers.submit(body.val, token))
            .with({ type: "cancelJob" }, ({ name }) => this.options.jobHandlers.cancel(name, token))
            .with({ type: "forceRelease" }, ({ shard }) => this.options.jobHandlers.releaseShard(shard, body.val))
            .otherwise(({ type }) => {
                throw new Error(`route ${type} has no write`);
            });
    }
}

/** Splits the URL of a request into its path and its query. */
export function splitUrl(request: IncomingMessage): { readonly path: string; readonly query: URLSearchParams; } {
    const url = request.url ?? "/";
    const separator = url.indexOf("?");
    return separator < 0
        ? { path: url, query: new URLSearchParams() }
        : { path: url.slice(0, separator), query: new URLSearchParams(url.slice(separator + 1)) };
}
