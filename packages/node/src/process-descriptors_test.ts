/** Guards against a host that callers can silence by opening connections. Each test runs a real process. */
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { RealHost } from "./testing/real-host.js";

const halfBody = "POST /a/0123456789abcdef HTTP/1.1\r\nhost: a.example\r\ncontent-length: 10\r\n\r\n12345";
/** 100 sockets: of 300 descriptors, 200 are for files. */
const settings = { maxDescriptors: 300 };
/** Descriptors of the process that are not sockets of its budget: at most 32 of Node.js itself. */
const maxUsed = 132;

describe("descriptors of a host", () => {
    let host: RealHost | undefined;

    afterEach(async () => {
        await host?.close();
        host = undefined;
    });

    describe("with idle connections beyond its limit", () => {
        // Guards against a host that accepts connections until it has no descriptor for store, executors and peers.
        it("keeps its limit, closes what is idle and answers the next caller", async () => {
            host = await RealHost.start({ settings });
            const inProgress = host.open(halfBody);
            const replied = new Promise<string>(resolve => inProgress.once("data", data => resolve(data.toString())));
            Array.from({ length: 400 }, () => host?.open());
            let peak = 0;
            await host.waitFor("the connections beyond the limit are closed", () => {
                peak = Math.max(peak, host!.countDescriptors());
                return host!.sockets.every(isSettled) && host!.countOpen() < 100;
            });
            expect(peak <= maxUsed).toEqual(true);
            expect((await host.readReadiness()).status).toEqual(503);
            // Connections that are idle for a second make room.
            await host.waitFor("a caller is answered", async () => (await host?.call("GET", "/a/"))?.status === 503);
            inProgress.write("67890");
            expect((await replied).slice(0, 12)).toEqual("HTTP/1.1 503");
            expect(await host.readMetric("caller_connections")).toEqual(
                await host.readMetric("caller_connections_limit"),
            );
            expect(await host.readMetric("rejected_calls")).toBeGreaterThan(0);
            expect(host.countLogLines("refused for lack of a resource") <= 5).toEqual(true);
        });

        // Guards against connections that send half a header and count as requests in progress.
        it("closes connections that have sent half a header", async () => {
            host = await RealHost.start({ settings });
            Array.from({ length: 200 }, () => host?.open("GET /a/ HTTP/1.1\r\nhost: a.exa"));
            await host.waitFor(
                "a caller is answered",
                async () => (await host?.call("GET", "/a/"))?.status === 503,
                3_000,
            );
            expect(host.countDescriptors() <= maxUsed).toEqual(true);
        });
    });

    describe("with requests in progress on all connections", () => {
        // Guards against callers that wait for a host that cannot read their request, and against new connections from
        // the load balancer to such a host.
        it("closes the next connection at once and is not ready", async () => {
            host = await RealHost.start({ settings });
            Array.from({ length: 100 }, () => host?.open(halfBody));
            await host.waitFor("the connections have been tried", () => host?.sockets.every(isSettled) === true);
            await wait(300);
            const startedAt = performance.now();
            expect((await host.call("GET", "/a/")).status).toEqual(0);
            expect(performance.now() - startedAt < 1_000).toEqual(true);
            expect((await host.readReadiness()).text.includes("every connection for callers is in use")).toEqual(true);
            expect(host.countDescriptors() <= maxUsed).toEqual(true);
        });
    });

    describe("with a lower limit of the operating system", () => {
        // Guards against a host that believes its settings although the system allows it less.
        it("still answers the load balancer and speaks to its store", async () => {
            host = await RealHost.start({ maxDescriptors: 256 });
            Array.from({ length: 600 }, () => host?.open());
            await host.waitFor("the connections have been tried", () => host?.sockets.every(isSettled) === true);
            const calls = host.storeCalls;
            // The first reply may belong to a connection that the system had accepted before.
            await wait(1_500);
            expect((await host.readReadiness()).status).toEqual(503);
            expect((await host.readReadiness()).status).toEqual(503);
            expect(host.storeCalls).toBeGreaterThan(calls);
            expect(host.countDescriptors() < 256).toEqual(true);
        });
    });
});

function isSettled({ readyState }: { readonly readyState: string; }): boolean {
    return readyState !== "opening";
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
