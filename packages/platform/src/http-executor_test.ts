import type { AttemptId, QueueId, RequestKey, TeamId } from "@waxwingroute/core";
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

    async function start(handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<void> {
        server = createServer(handle);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        executor = new HttpExecutor({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` });
    }

    afterEach(() => {
        executor.close();
        server.close();
        server.closeAllConnections();
    });

    // Guards against a caller that gets the answer to another request.
    it("refuses an answer that names another attempt, or none", async () => {
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

    // Guards against more connections than an executor accepts, and against requests that keep a list from getting through.
    it("opens at most 64 connections and still lists while requests hold theirs", async () => {
        const seen = new Set<unknown>();
        let open = 0;
        let mostOpen = 0;
        await start((request, response) => {
            if (request.method === "GET") {
                response.end(JSON.stringify({ executor: "e0", slots: 8, isDraining: false, running: [] }));
            }
            else {
                seen.add(request.headers["x-attempt"]);
            }
        });
        server.on("connection", socket => {
            mostOpen = Math.max(mostOpen, ++open);
            socket.once("close", () => open--);
        });
        const attempts = Array.from({ length: 100 }, (_, index) => `attempt-${index}`);
        const requests = attempts.map(attempt => executor.execute(createRequest(attempt)));
        await new Promise(resolve => setTimeout(resolve, 100));
        const listed = await executor.list();
        expect([listed.ok, seen.size, mostOpen]).toEqual([true, 63, 64]);
        const results = await Promise.all(requests);
        // When the first requests time out, some of the others get their connections in their last moment.
        const notRun = attempts.filter((_, index) => {
            const result = results[index];
            return result !== undefined && !result.ok && result.val.verdict === "notRun";
        });
        expect(results.every(result => !result.ok)).toEqual(true);
        expect(notRun.length).toBeGreaterThan(0);
        expect(notRun.filter(attempt => seen.has(attempt))).toEqual([]);
    });
});
