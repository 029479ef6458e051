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
        let resolveFull = () => undefined as void;
        const full = new Promise<void>(resolve => {
            resolveFull = resolve;
        });
        let open = 0;
        let mostOpen = 0;
        await start((request, response) => {
            if (request.method === "GET") {
                response.end(JSON.stringify({ executor: "e0", slots: 8, isDraining: false, running: [] }));
            }
            else {
                seen.add(request.headers["x-attempt"]);
                if (seen.size === 63) {
                    resolveFull();
                }
            }
        });
        server.on("connection", socket => {
            mostOpen = Math.max(mostOpen, ++open);
            socket.once("close", () => open--);
        });
        const attempts = Array.from({ length: 100 }, (_, index) => `attempt-${index}`);
        // Those that wait for a connection time out first, so that none of them gets one.
        const requests = attempts.map((attempt, index) =>
            executor.execute({ ...createRequest(attempt), timeoutMs: index < 63 ? 300 : 200 })
        );
        await full;
        const listed = await executor.list();
        expect([listed.ok, seen.size, mostOpen]).toEqual([true, 63, 64]);
        await clock.advance(200);
        await clock.advance(100);
        const results = await Promise.all(requests);
        const list = (verdict: string) =>
            attempts.filter((_, index) => {
                const result = results[index];
                return result !== undefined && !result.ok && result.val.verdict === verdict;
            });
        expect(list("mayHaveRun")).toEqual(attempts.slice(0, 63));
        expect(list("notRun")).toEqual(attempts.slice(63));
        expect(seen.size).toEqual(63);
    });
});
