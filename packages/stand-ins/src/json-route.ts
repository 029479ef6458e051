/**
 * JSON routes of the stand-in servers: validation of request bodies, and conversion of results to answers.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { z } from "zod";
import type { ServerReply, ServerRequest } from "./stand-in-server.js";
import { createErrorReply, createJsonReply } from "./stand-in-server.js";

/** Routes by `<method> <path>`. */
export type Routes = Readonly<Record<string, (request: ServerRequest) => ServerReply | Promise<ServerReply>>>;

const statusByCode: Readonly<Record<string, number>> = {
    "store-conflict": 409,
    "store-compacted": 410,
    "store-too-large": 413,
    "worker-refused": 409,
    "worker-unknown-task": 404,
    "unknown-target": 404,
};

/** Creates a handler that calls the route of the request's method and path. */
export function createRouter(routes: Routes): (request: ServerRequest) => ServerReply | Promise<ServerReply> {
    return request => {
        const route = routes[`${request.method} ${request.path}`];
        return route === undefined
            ? createErrorReply(404, "not-found", `no route for ${request.method} ${request.path}`)
            : route(request);
    };
}

/** Creates a route that validates a JSON body and answers with the result of `run`. */
export function createJsonRoute<T, U>(
    schema: z.ZodType<T, unknown>,
    run: (content: T, request: ServerRequest) => Result<U, Failure>,
): (request: ServerRequest) => ServerReply {
    return request => {
        let content: unknown;
        try {
            content = JSON.parse(request.body.toString("utf8"));
        }
        catch (error) {
            return createErrorReply(400, "bad-request", error instanceof Error ? error.message : String(error));
        }
        const checked = schema.safeParse(content);
        return checked.success
            ? createResultReply(run(checked.data, request), true)
            : createErrorReply(400, "bad-request", z.prettifyError(checked.error));
    };
}

/** Converts a result to an answer. */
export function createResultReply<T>(result: Result<T, Failure>, isWrite = false): ServerReply {
    return result.ok
        ? createJsonReply(200, result.val ?? { isDone: true }, isWrite)
        : createJsonReply(statusByCode[result.val.code] ?? 400, { error: result.val }, isWrite);
}

/** Returns a number from the query, or `undefined` if it is missing, not a number or negative. */
export function readQueryNumber(request: ServerRequest, name: string): number | undefined {
    const text = request.query.get(name);
    const value = Number(text);
    return text === null || text === "" || !Number.isFinite(value) || value < 0 ? undefined : value;
}
