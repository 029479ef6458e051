/**
 * JSON calls: encodes the request, checks the response against its schema, and turns every failure into a `Failure` with
 * an exact verdict.
 */
import type { Failure, Result, Verdict } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { z } from "zod";
import type { HttpClientOptions, HttpRequest, HttpResponse, TransportFailure } from "./http-client.js";
import { HttpClient } from "./http-client.js";
import { errorBodySchema } from "./wire.js";

/** Failure codes of one service. */
export interface FailureCodes {
    /** The call did not reach the service. */
    readonly unreachable: string;
    /** The service did not answer in time. */
    readonly timedOut: string;
    /** The answer was cut short or cannot be read. */
    readonly responseLost: string;
}

/** One call whose response is JSON. */
export interface JsonRequest extends Omit<HttpRequest, "body"> {
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

    /** Sends one call and returns its checked response. */
    async send<T>(schema: z.ZodType<T, unknown>, request: JsonRequest): Promise<Result<T, Failure>> {
        const { content, ...rest } = request;
        const sent = await this.client.send({
            ...rest,
            headers: content === undefined ? rest.headers : { ...rest.headers, "content-type": "application/json" },
            body: content === undefined ? undefined : JSON.stringify(content),
        });
        if (!sent.ok) {
            return Err(this.toFailure(request.operation, sent.val));
        }
        return this.parse(schema, request.operation, sent.val);
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

    private parse<T>(schema: z.ZodType<T, unknown>, operation: string, response: HttpResponse): Result<T, Failure> {
        const content = parseJson(response.body);
        if (!content.ok) {
            return this.failInvalid(operation, response.status, content.val);
        }
        if (response.status === 200) {
            const checked = schema.safeParse(content.val);
            return checked.success
                ? Ok(checked.data)
                : this.failInvalid(operation, response.status, z.prettifyError(checked.error));
        }
        const checked = errorBodySchema.safeParse(content.val);
        if (!checked.success) {
            return this.failInvalid(operation, response.status, z.prettifyError(checked.error));
        }
        const { code, message, verdict } = checked.data.error;
        return Err(createFailure(code, message, verdict ?? "mayHaveRun"));
    }

    private failInvalid(operation: string, status: number, reason: string): Result<never, Failure> {
        const message = `${operation} on the ${this.service} got status ${status} with an invalid body: ${reason}`;
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
