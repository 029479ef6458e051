/**
 * Client for JSON calls. It encodes the request, validates the response against its schema, and converts every failure
 * to a `Failure` with an exact verdict.
 */
import type { Failure, Result, Verdict } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { z } from "zod";
import type { HttpClientOptions, HttpRequest, HttpResponse, TransportFailure } from "./http-client.js";
import { HttpClient } from "./http-client.js";
import { errorBodySchema } from "./wire.js";

/** Codes of the failures of calls to one service. */
export interface FailureCodes {
    /** The call was not sent. */
    readonly unreachable: string;
    /** The call was sent, but no complete response arrived in time. */
    readonly timedOut: string;
    /** The call was sent, but its response is missing, incomplete or invalid. */
    readonly responseLost: string;
}

/** One call with a JSON response. */
export interface JsonRequest extends Omit<HttpRequest, "body"> {
    /** Value of the JSON request body; `undefined` for none. */
    readonly content?: unknown;
}

/** Sends JSON calls to one service. */
export class JsonClient {
    private readonly client: HttpClient;

    constructor(private readonly service: string, private readonly codes: FailureCodes, options: HttpClientOptions) {
        this.client = new HttpClient(service, options);
    }

    get timeoutMs(): number {
        return this.client.timeoutMs;
    }

    close(): void {
        this.client.close();
    }

    /** Sends one call and returns the validated content of its response. */
    async send<T>(schema: z.ZodType<T, unknown>, request: JsonRequest): Promise<Result<T, Failure>> {
        const { content, ...transportRequest } = request;
        const result = await this.client.send({
            ...transportRequest,
            headers: content === undefined
                ? transportRequest.headers
                : { ...transportRequest.headers, "content-type": "application/json" },
            body: content === undefined ? undefined : JSON.stringify(content),
        });
        if (!result.ok) {
            return Err(this.toFailure(request.operation, result.val));
        }
        return this.parseResponse(schema, request.operation, result.val);
    }

    private toFailure(operation: string, failure: TransportFailure): Failure {
        const verdict: Verdict = failure.wasSent ? "mayHaveRun" : "notRun";
        const code = !failure.wasSent
            ? this.codes.unreachable
            : failure.kind === "timedOut"
            ? this.codes.timedOut
            : this.codes.responseLost;
        return createFailure(code, `${operation} on the ${this.service} failed: ${failure.message}`, verdict);
    }

    private parseResponse<T>(
        schema: z.ZodType<T, unknown>,
        operation: string,
        response: HttpResponse,
    ): Result<T, Failure> {
        const content = parseJson(response.body);
        if (!content.ok) {
            return this.failInvalidBody(operation, response.status, content.val);
        }
        if (response.status === 200) {
            const checked = schema.safeParse(content.val);
            return checked.success
                ? Ok(checked.data)
                : this.failInvalidBody(operation, response.status, z.prettifyError(checked.error));
        }
        const checked = errorBodySchema.safeParse(content.val);
        if (!checked.success) {
            return this.failInvalidBody(operation, response.status, z.prettifyError(checked.error));
        }
        const { code, message, verdict } = checked.data.error;
        return Err(createFailure(code, message, verdict ?? "mayHaveRun"));
    }

    private failInvalidBody(operation: string, status: number, reason: string): Result<never, Failure> {
        const message = `${operation} on the ${this.service} returned status ${status} with an invalid body: ${reason}`;
        return Err(createFailure(this.codes.responseLost, message, "mayHaveRun"));
    }
}

function parseJson(body: Buffer): Result<unknown, string> {
    try {
        return Ok(JSON.parse(body.toString("utf8")) as unknown);
    }
    catch (error) {
        return Err(error instanceof Error ? error.message : String(error));
    }
}
