import { Ok } from "@waxwingroute/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startEntry } from "./testing/entry-fixture.js";
import { buildRequest, sendRaw } from "./testing/raw-client.js";

const oneOf = <T extends string | undefined>(...values: T[]) => fc.constantFrom(...values);
const text = fc.string({ maxLength: 20 });
const header = (valid: (string | undefined)[], invalid: (string | undefined)[]) =>
    fc.oneof({ weight: 20, arbitrary: oneOf(...valid) }, { weight: 1, arbitrary: oneOf(...invalid) }, {
        weight: 1,
        arbitrary: text,
    });

const headers = fc.record({
    "Authorization": header(["Bearer secret"], ["Bearer other", undefined]),
    "Waxwing-Request-Key": header([undefined, "glasgow.0.1.1.0123456789abcdef"], ["glasgow.0.1.1.0123456789abcdeg"]),
    "Waxwing-Idempotent": header([undefined, "true", "false"], ["TRUE"]),
    "Waxwing-Deadline-Ms": header([undefined, "1000", " 600000 "], ["600001", "-1", "1e3"]),
    "Content-Type": header([undefined, "text/plain"], ["\u0001"]),
    "Content-Encoding": header([undefined, "identity"], ["gzip"]),
    "Content-Length": header([undefined, "1", "7"], ["99999999999", "-1", "0x10", "7, 8"]),
    "Transfer-Encoding": header([undefined, "chunked"], ["gzip", "chunked, chunked"]),
    "X-Other": header([undefined, "x"], ["x".repeat(17_000)]),
}, { requiredKeys: ["Authorization"] });
const path = fc.oneof({ weight: 10, arbitrary: oneOf("orders", "open") }, {
    weight: 1,
    arbitrary: oneOf("plans", "%2e%2e"),
}, {
    weight: 1,
    arbitrary: text,
});
const body = fc.oneof(text, fc.constant("b".repeat(2000)), oneOf("5\r\nhello\r\n0\r\n\r\n", "z\r\n", "5\r\nhel"));

describe("EntryServer with any header and body", () => {
    // Guards against a crash, a truncated response, an error without its verdict, and a body that differs from the one
    // sent.
    it("responds to each request with its whole body or with a code, message and verdict", async t => {
        const { server, gateway, port } = await startEntry({ maxBodyBytes: 1000, bodyTimeoutMs: 200 });
        const statuses = new Map<number, number>();
        const check = async (
            useLength: boolean,
            fields: Record<string, string | undefined>,
            name: string,
            sent: string,
        ) => {
            const earlier = gateway.calls.length;
            const length = { "Content-Length": `${Buffer.byteLength(sent)}`, "Transfer-Encoding": undefined };
            const bytes = buildRequest(sent, useLength ? { ...fields, ...length } : fields, name);
            const response = await sendRaw(port, bytes, { isHalfClosed: true });
            const { status, isComplete } = response;
            statuses.set(status, (statuses.get(status) ?? 0) + 1);
            const verdict = response.headers.get("waxwing-verdict");
            const received = gateway.calls.slice(earlier);
            assert.ok(isComplete && status >= 200, `status ${status}, complete: ${isComplete}`);
            assert.equal(received.length, status === 200 ? 1 : 0);
            if (status === 200) {
                assert.equal(verdict, "ran");
                assert.deepEqual(Buffer.from(received[0]!.body), response.body);
                assert.ok(!useLength || response.body.equals(Buffer.from(sent)));
                return;
            }
            const { error } = JSON.parse(response.body.toString()) as { error: Record<string, string>; };
            assert.equal(error.verdict, "notRun");
            assert.equal(verdict, "notRun");
            assert.ok(/^[a-z-]+$/.test(error.code!) && error.message!.length > 10, JSON.stringify(error));
        };
        await fc.assert(
            fc.asyncProperty(fc.integer({ min: 0, max: 3 }).map(choice => choice > 0), headers, path, body, check),
            { seed: 1, numRuns: 4000 },
        );
        assert.equal(server.getStatus().bodyBytes, 0);
        await server.stop(0);
        t.diagnostic(
            `result: 4000 requests by status: ${[...statuses].sort().map(pair => pair.join(": ")).join(", ")}`,
        );
    });
});

describe("EntryServer with many callers", () => {
    // Guards against answers that are sent to the wrong caller when they arrive out of order.
    it("gives each caller its own answer", async () => {
        // 500 concurrent callers delay the event loop on a busy machine; refusals for that are not under test here.
        const { server, gateway, port } = await startEntry({ maxEventLoopDelayMs: 10_000 });
        gateway.handleCall = async call => {
            // The first calls take the longest.
            await new Promise(resolve => setTimeout(resolve, 200 - gateway.calls.length / 3));
            return Ok(gateway.createEchoAnswer(call));
        };
        const texts = Array.from({ length: 500 }, (_, index) => `caller ${index} `.repeat(1 + index % 50));
        const responses = await Promise.all(texts.map(sent => sendRaw(port, buildRequest(sent))));
        assert.deepEqual(responses.map(response => response.body.toString()), texts);
        assert.ok(responses.every(response => response.isComplete));
        await server.stop(0);
    });
});
