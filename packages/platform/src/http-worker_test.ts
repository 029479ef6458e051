import type { JobId, TaskId, TeamId } from "@waxwingroute/core";
import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { HttpWorker } from "./http-worker.js";
import type { TaskStart } from "./worker.js";

function createStart(task: string, expiresInMs: number): TaskStart {
    return {
        task: task as TaskId,
        team: "sales" as TeamId,
        job: "job" as JobId,
        resources: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
        command: "run 1s",
        leaseMs: 1_000,
        expiresInMs,
        epoch: 1,
    };
}

describe("HttpWorker", () => {
    let server: Server;
    let worker: HttpWorker;
    let clock: ManualClock;
    let receivedStarts: number;
    let arrived: Promise<void>;
    let aborted: Promise<void>;

    beforeEach(async () => {
        receivedStarts = 0;
        clock = new ManualClock();
        server = createServer(() => receivedStarts++);
        arrived = new Promise(resolve => server.once("request", () => resolve()));
        aborted = new Promise(resolve => server.once("request", ({ socket }) => socket.once("close", () => resolve())));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        worker = new HttpWorker({ url, timeoutMs: 5_000, maxConnections: 1, clock });
    });

    afterEach(() => {
        worker.close();
        server.close();
        server.closeAllConnections();
    });

    // Guards against a start that is still in flight when the shard owner assumes that it can no longer take effect.
    it("aborts a start at its expiry if that comes before the time-out", async () => {
        const pending = worker.start(createStart("job/0", 50));
        await arrived;
        await clock.advance(50);
        const result = await pending;
        expect(result.ok ? "started" : [result.val.code, result.val.verdict]).toEqual(["worker-lost", "mayHaveRun"]);
        await aborted;
        expect(receivedStarts).toEqual(1);
    });

    // Guards against a start that waits for a connection and is sent after its expiry.
    it("never sends a start that expired while it waited for a connection", async () => {
        const first = worker.start(createStart("job/0", 150));
        await arrived;
        const pending = worker.start(createStart("job/1", 50));
        await clock.advance(50);
        const second = await pending;
        expect(second.ok ? "started" : [second.val.code, second.val.verdict]).toEqual(["worker-unreachable", "notRun"]);
        await clock.advance(100);
        await first;
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(receivedStarts).toEqual(1);
    });
});
