import { expect } from "earl";
import { createServer } from "node:net";
import type { Server } from "node:net";
import { after, afterEach, before, describe, it } from "node:test";
import { NodeBundle } from "./testing/node-process.js";
import type { NodeProcess } from "./testing/node-process.js";

/** Settings with which a host tries a needed port for 1.6 s: the grace period, no reuse of addresses, and 1.5 s. */
const shortBound = { graceSeconds: 0.1, addressReuseSeconds: 0 };

describe("ports of a host's process that are taken", () => {
    let bundle: NodeBundle;
    let holders: Server[] = [];

    /** Takes a port of a host in this process. */
    const holdPort = (host: NodeProcess, server: Parameters<NodeProcess["getAddress"]>[0]) =>
        new Promise<Server>((resolve, reject) => {
            const [ip, port] = host.getAddress(server).split(":");
            const holder = createServer().on("error", reject);
            holders.push(holder);
            holder.listen(Number(port), ip, () => resolve(holder));
        });

    before(() => {
        bundle = new NodeBundle();
    });
    afterEach(() => {
        holders.forEach(holder => holder.close());
        holders = [];
    });
    after(() => bundle.close());

    // Guards against a process that ends because another has its port for some seconds.
    for (const server of ["callers", "readiness", "peers", "metrics"] as const) {
        it(`the port of ${server} is named in the log and bound once it is free`, async () => {
            const host = bundle.addHost();
            host.writeSettings();
            const holder = await holdPort(host, server);
            host.start();
            const { context } = await host.waitForLine("port taken");
            expect([context.port, context.address, context.code]).toEqual([
                server,
                host.getAddress(server),
                "EADDRINUSE",
            ]);
            holder.close();
            await host.waitForLine("port bound", line => line.context.port === server);
            await host.waitForLine("host started");
            expect(host.text.includes("unhandled error")).toEqual(false);
        });
    }

    // Guards against a load balancer that sends callers to a host they cannot connect to.
    it("the readiness server answers 503 and names the port of callers while it is taken", async () => {
        const host = bundle.addHost();
        host.writeSettings();
        await holdPort(host, "callers");
        host.start();
        await host.waitForLine("port taken");
        const reply = await host.probe();
        expect(reply.status).toEqual(503);
        expect(reply.body.includes("the port of callers is not bound yet")).toEqual(true);
    });

    // Guards against a start that waits for metrics, and against an end for want of them.
    it("the host serves without its metrics for longer than it waits for a needed port", async () => {
        const host = bundle.addHost();
        host.writeSettings(shortBound);
        const holder = await holdPort(host, "metrics");
        host.start();
        await host.waitForLine("host started");
        await new Promise(resolve => setTimeout(resolve, 2_500));
        expect((await host.request("callers")).status).toEqual(503);
        holder.close();
        await host.waitForLine("port bound");
        expect((await host.request("metrics")).status).toEqual(200);
    });

    // Guards against a process that goes on for good without being able to serve, and against an end without a reason.
    it("a needed port that stays taken ends the process with status 1 and its name in the log", async () => {
        const host = bundle.addHost();
        host.writeSettings(shortBound);
        await holdPort(host, "callers");
        host.start();
        expect(await host.waitForEnd()).toEqual({ code: 1, signal: null });
        const [line] = host.listLines("port not bound");
        expect([line?.context.port, line?.context.address]).toEqual(["callers", host.getAddress("callers")]);
        expect(Number(line?.context.afterMs) >= 1_600).toEqual(true);
        expect(host.listLines("shutdown done").length).toEqual(1);
        expect(host.text.includes("unhandled error")).toEqual(false);
    });

    // Guards against a stop that waits for ports, or counts as a crash.
    it("SIGTERM ends the process with status 0 while ports are tried", async () => {
        const host = bundle.addHost();
        host.writeSettings();
        await holdPort(host, "callers");
        await holdPort(host, "peers");
        await holdPort(host, "metrics");
        host.start();
        await host.waitUntil("three ports are named", () => host.listLines("port taken").length === 3);
        host.send("SIGTERM");
        expect(await host.waitForEnd()).toEqual({ code: 0, signal: null });
        expect(Number(host.listLines("shutdown done")[0]?.context.durationMs) < 2_000).toEqual(true);
    });

    // Guards against a successor that ends while its predecessor serves its last callers.
    it("a successor on the same address starts while its predecessor shuts down", async () => {
        const predecessor = bundle.addHost();
        predecessor.writeSettings();
        predecessor.start();
        await predecessor.waitForLine("host started");
        predecessor.send("SIGTERM");
        await predecessor.waitForLine("shutdown begins");
        const successor = bundle.addHost(predecessor);
        successor.writeSettings();
        successor.start();
        await successor.waitForLine("port taken");
        expect(await predecessor.waitForEnd()).toEqual({ code: 0, signal: null });
        await successor.waitForLine("host started");
    });
});
