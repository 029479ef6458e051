import type { AttemptId, QueueId, RequestKey, TeamId } from "@waxwingroute/core";
import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import type { ExecutorRequest } from "./executor.js";
import { HttpExecutor } from "./http-executor.js";

function createRequest(attempt: string): ExecutorRequest {
    return {
        attempt: attempt as AttemptId,
        requestKey: "glasgow.0.1.1.x" as RequestKey,
        queue: "orders" as QueueId,
        team: "sales" as TeamId,
        isIdempotent: false,
        contentType: "text/plain",
        body: Buffer.from("body"),
        timeoutMs: 300,
        epoch: 1,
    };
}

describe("HttpExecutor", () => {
    let server: Server;
    let executor: HttpExecutor;
    const clock = new ManualClock();

    async function start(handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<void> {
        server = createServer(handle);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        executor = new HttpExecutor({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock });
    }

    afterEach(() => {
        executor.close();
        server.close();
        server.closeAllConnections();
    });

    // Guards against returning the response to another request.
    it("fails when the response names another attempt or none", async () => {
        const attempts: (string | undefined)[] = ["attempt-2", undefined];
        await start((_request, response) => {
            const attempt = attempts.shift();
            response.writeHead(200, attempt === undefined ? {} : { "x-attempt": attempt });
            response.end("answer");
        });
        for (const found of ["attempt \"attempt-2\"", "no attempt"]) {
            const result = await executor.execute(createRequest("attempt-1"));
            expect(result.ok ? "answered" : [result.val.code, result.val.verdict, result.val.message]).toEqual([
                "executor-lost",
                "mayHaveRun",
                `the response to attempt "attempt-1" names ${found}`,
            ]);
        }
    });

    // Guards against opening more connections than an executor accepts, and against a `list` that has to wait for a
    // connection that requests hold.
    it("opens at most 64 connections and completes a list while requests hold 63", async () => {
        const receivedAttempts = new Set<unknown>();
        let resolveAllReceived = () => undefined as void;
        const allReceived = new Promise<void>(resolve => {
            resolveAllReceived = resolve;
        });
        let openConnections = 0;
        let maxOpenConnections = 0;
        await start((request, response) => {
            if (request.method === "GET") {
                response.end(JSON.stringify({ executor: "e0", slots: 8, isDraining: false, running: [] }));
            }
            else {
                receivedAttempts.add(request.headers["x-attempt"]);
                if (receivedAttempts.size === 63) {
                    resolveAllReceived();
                }
            }
        });
        server.on("connection", socket => {
            maxOpenConnections = Math.max(maxOpenConnections, ++openConnections);
            socket.once("close", () => openConnections--);
        });
        const attempts = Array.from({ length: 100 }, (_, index) => `attempt-${index}`);
        // Requests that wait for a connection time out first, so that none of them gets one.
        const requests = attempts.map((attempt, index) =>
            executor.execute({ ...createRequest(attempt), timeoutMs: index < 63 ? 300 : 200 })
        );
        await allReceived;
        const listed = await executor.list();
        expect([listed.ok, receivedAttempts.size, maxOpenConnections]).toEqual([true, 63, 64]);
        await clock.advance(200);
        await clock.advance(100);
        const results = await Promise.all(requests);
        const listAttemptsWith = (verdict: string) =>
            attempts.filter((_, index) => {
                const result = results[index];
                return result !== undefined && !result.ok && result.val.verdict === verdict;
            });
        expect(listAttemptsWith("mayHaveRun")).toEqual(attempts.slice(0, 63));
        expect(listAttemptsWith("notRun")).toEqual(attempts.slice(63));
        expect(receivedAttempts.size).toEqual(63);
    });
});
