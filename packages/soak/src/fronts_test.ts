import { SeededRandom } from "@waxwingroute/core";
import { expect } from "earl";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { ExecutorFront } from "./executor-front.js";
import type { Executor } from "./executor.js";
import { PeerLink } from "./peer-link.js";
import { createAgent, sendRequest } from "./request.js";
import { RunRecord } from "./run-record.js";
import { StoreFront } from "./store-front.js";
import { StoreState } from "./store-state.js";
import type { ExecutorReply, ExecutorRequest } from "./types.js";

const timeoutMs = 300;

function createExecutorFront(): { readonly front: ExecutorFront; readonly handled: string[]; } {
    const handled: string[] = [];
    const executor = {
        life: 1,
        identity: { clock: 0, bornAt: 0 },
        handle: ({ kind }: ExecutorRequest, host: string, isLate: boolean, onReply: (reply: ExecutorReply) => void) => {
            handled.push(`${host} ${kind}${isLate ? " late" : ""}`);
            onReply({ kind: "done" });
        },
        close: () => undefined,
    } as unknown as Executor;
    return { front: new ExecutorFront(executor, new SeededRandom(1), new RunRecord()), handled };
}

describe("the ways of hosts to the stand-ins", () => {
    // Guards against faults that hit more or less than their trouble says.
    describe("to an executor", () => {
        const call = async (front: ExecutorFront, host: string, path: string) =>
            (await sendRequest({
                address: front.getAddress(host),
                method: "POST",
                path: `/waxwingroute/${path}`,
                content: {},
                timeoutMs,
            })).status;

        it("lose the calls or the answers of the named hosts only", async () => {
            const { front, handled } = createExecutorFront();
            await front.open(["h1", "h2"]);
            const restore = front.addFaults({ hosts: ["h1"], callLossShare: 1 });
            expect([await call(front, "h1", "hold"), await call(front, "h2", "hold")]).toEqual([0, 200]);
            restore();
            front.addFaults({ hosts: ["h2"], answerLossShare: 1 });
            expect([await call(front, "h1", "hold"), await call(front, "h2", "hold")]).toEqual([200, 0]);
            expect(handled).toEqual(["h2 hold", "h1 hold", "h2 hold"]);
            front.close();
        });

        it("hold back the named kinds only, and others overtake them", async () => {
            const { front, handled } = createExecutorFront();
            await front.open(["h1"]);
            front.addFaults({ kinds: ["start"], lateShare: 1, maxLateMs: 600 });
            expect([await call(front, "h1", "run-start"), await call(front, "h1", "run-stop")]).toEqual([0, 200]);
            await new Promise(resolve => setTimeout(resolve, 700));
            expect(handled).toEqual(["h1 stop", "h1 start late"]);
            front.close();
        });
    });

    describe("to the store", () => {
        const commit = (key: string, lease = 0) => ({
            method: "POST",
            path: "/waxwingroute/kv-txn",
            content: { expected_rev: [], set_keys: [{ key, value: "", lease }], remove: [] },
            timeoutMs,
        });

        it("lose the answers of commits with the named keys only, which are carried out", async () => {
            const state = new StoreState();
            const front = await StoreFront.open("h1", state, new SeededRandom(1), new RunRecord());
            front.addFaults({ keyPrefixes: ["a/"], lossShare: 1 });
            const { address } = front;
            expect((await sendRequest({ address, ...commit("a/1") })).status).toEqual(0);
            expect((await sendRequest({ address, ...commit("b/1") })).status).toEqual(200);
            expect([state.read("a/1"), state.read("b/1")]).toEqual(["", ""]);
            front.close();
        });

        it("pass nothing over connections that fall silent, and work over new ones", async () => {
            const state = new StoreState();
            const front = await StoreFront.open("h1", state, new SeededRandom(1), new RunRecord());
            const { address } = front;
            const agent = createAgent();
            expect((await sendRequest({ address, ...commit("a"), agent })).status).toEqual(200);
            front.dropTraffic();
            expect((await sendRequest({ address, ...commit("b"), agent })).status).toEqual(0);
            expect(state.read("b")).toEqual(undefined);
            expect((await sendRequest({ address, ...commit("c"), agent })).status).toEqual(200);
            agent.destroy();
            front.close();
        });

        it("tell when the lease of a key ends", async () => {
            const state = new StoreState();
            const front = await StoreFront.open("h1", state, new SeededRandom(1), new RunRecord());
            expect(front.getLeaseEnd("a")).toEqual(undefined);
            state.execute({ kind: "grantLease", ttlMs: 60_000 });
            await sendRequest({ address: front.address, ...commit("a", 1) });
            const leftMs = front.getLeaseEnd("a")! - performance.now();
            expect(leftMs > 50_000 && leftMs <= 60_000).toEqual(true);
            state.close();
            front.close();
        });
    });

    it("to another host pass nothing over connections that fall silent, not even their end", async () => {
        const received: string[] = [];
        let ends = 0;
        const server = createServer(socket => {
            socket.on("data", chunk => received.push(chunk.toString()));
            socket.once("end", () => ends++);
            socket.on("error", () => undefined);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const link = new PeerLink("h1", "h2", "127.0.0.1", {
            ip: "127.0.0.1",
            port: (server.address() as AddressInfo).port,
        });
        await link.open();
        await link.setTargetUp(true);
        const { connect } = await import("node:net");
        const [host, port] = link.address.split(":");
        const open = async (text: string) => {
            const socket = connect({ host, port: Number(port) });
            socket.write(text);
            await new Promise(resolve => setTimeout(resolve, 100));
            return socket;
        };
        const first = await open("1");
        link.dropTraffic();
        first.write("2");
        first.end();
        const second = await open("3");
        expect([received, ends]).toEqual([["1", "3"], 0]);
        second.destroy();
        link.close();
        server.close();
    });
});
