/**
 * Typed descriptions of gRPC services.
 *
 * A service is an object of methods. Servers and clients are built from the same description, so the two sides cannot
 * disagree on names or types within one version.
 */
import type { Failure, RequestKey, Verdict } from "@waxwingroute/core";
import { z } from "zod";

/** A method with one response. */
export interface UnaryMethod<Request, Response> {
    readonly kind: "unary";
    readonly path: string;
    readonly request: z.ZodType<Request>;
    readonly response: z.ZodType<Response>;
}

/** A method that responds with a stream of messages. */
export interface StreamMethod<Request, Response> {
    readonly kind: "stream";
    readonly path: string;
    readonly request: z.ZodType<Request>;
    readonly response: z.ZodType<Response>;
}

/** Describes a method with one response; `name` is `<Service>/<Method>`. */
export function createUnaryMethod<Request, Response>(
    name: string,
    request: z.ZodType<Request>,
    response: z.ZodType<Response>,
): UnaryMethod<Request, Response> {
    return { kind: "unary", path: `/waxwingroute.${name}`, request, response };
}

/** Describes a method that responds with a stream; `name` is `<Service>/<Method>`. */
export function createStreamMethod<Request, Response>(
    name: string,
    request: z.ZodType<Request>,
    response: z.ZodType<Response>,
): StreamMethod<Request, Response> {
    return { kind: "stream", path: `/waxwingroute.${name}`, request, response };
}

const verdictSchema: z.ZodType<Verdict> = z.enum(["notRun", "mayHaveRun", "ran"]);

export const failureSchema: z.ZodType<Failure> = z.object({
    code: z.string(),
    message: z.string(),
    verdict: verdictSchema,
    retryAfterMs: z.number().optional(),
    requestKey: z.custom<RequestKey>(value => typeof value === "string").optional(),
});

/** A reply on the wire: a value or a failure. Failures are part of the reply, because gRPC status codes carry no verdict. */
export type WireReply = { readonly value: unknown; } | { readonly failure: Failure; };

export const wireReplySchema: z.ZodType<WireReply> = z.union([
    z.object({ failure: failureSchema }),
    z.object({ value: z.unknown() }),
]);
