import { expect } from "earl";
import { Agent } from "node:http";
import { after, before, describe, it } from "node:test";
import { NodeBundle } from "./testing/node-process.js";

describe("signals of a host's process", () => {
    let bundle: NodeBundle;
    before(() => {
        bundle = new NodeBundle();
    });
    after(() => bundle.close());

    describe("in the first part of a start", () => {
        // Guards against a start that ends because the settings have changed meanwhile.
        it("SIGHUP does not end the process", async () => {
            const host = bundle.addHost();
            await host.startWithHeldSettings(() => host.send("SIGHUP"));
            await host.waitForLine("host started");
            expect((await host.waitForLine("settings reloaded")).context.outcome).toEqual("unchanged");
        });

        // Guards against a stop that counts as a crash, and against parts that go on after it.
        for (const signal of ["SIGTERM", "SIGINT"] as const) {
            it(`${signal} ends the process in order and with status 0`, async () => {
                const host = bundle.addHost();
                await host.startWithHeldSettings(() => host.send(signal));
                expect(await host.waitForEnd()).toEqual({ code: 0, signal: null });
                expect(host.listLines("shutdown step done").map(line => line.context.step)).toEqual([
                    "release the cell",
                    "leave the load balancer",
                    "serve open connections",
                    "stop the cell",
                ]);
                expect(host.listLines("host started")).toEqual([]);
            });
        }

        // Guards against a second signal that cuts the shutdown short.
        it("SIGTERM, SIGHUP and SIGTERM end the process with status 0", async () => {
            const host = bundle.addHost();
            await host.startWithHeldSettings(() => {
                host.send("SIGTERM");
                host.send("SIGHUP");
                host.send("SIGTERM");
            });
            expect(await host.waitForEnd()).toEqual({ code: 0, signal: null });
            expect(host.listLines("shutdown begins").length).toEqual(1);
        });

        // Guards against a process that ends because the platform is still writing its settings.
        it("a settings file that is missing and then half written delays the start", async () => {
            const host = bundle.addHost();
            host.start();
            await new Promise(resolve => setTimeout(resolve, 300));
            host.replaceSettingsFile("{\"host\": \"host-");
            await new Promise(resolve => setTimeout(resolve, 300));
            host.writeSettings();
            await host.waitForLine("host started");
        });
    });

    describe("while the host runs", () => {
        // Guards against settings that are ignored until the next start, and against bad ones that end a host.
        it("SIGHUP applies what can change and names the rest", async () => {
            const host = bundle.addHost();
            host.writeSettings();
            host.start();
            await host.waitForLine("host started");
            host.replaceSettingsFile("{\"host\": ");
            host.send("SIGHUP");
            expect((await host.waitForLine("settings not reloaded")).context.code).toEqual("settings-incomplete");
            host.writeSettings({ graceSeconds: 10, seeds: ["127.9.9.9:8180"], callerAddress: `${host.ip}:8185` });
            host.send("SIGHUP");
            const { context } = await host.waitForLine("settings reloaded", line => line.context.outcome === "changed");
            expect(context.applied).toEqual("seeds graceSeconds");
            expect(context.atNextStart).toEqual("callerAddress");
            expect((await host.request("callers")).status).toEqual(503);
            host.send("SIGTERM");
            expect((await host.waitForLine("shutdown begins")).context.boundMs).toEqual(9_000);
            expect(await host.waitForEnd()).toEqual({ code: 0, signal: null });
        });

        // Guards against requests that are lost or delayed because settings are read.
        it("300 SIGHUPs cost no request", async () => {
            const host = bundle.addHost();
            host.writeSettings();
            host.start();
            await host.waitForLine("host started");
            const agent = new Agent({ keepAlive: true, maxSockets: 20 });
            let isDone = false;
            const statuses: number[] = [];
            const sendRequests = async () => {
                while (!isDone) {
                    statuses.push((await host.request("callers", agent)).status);
                }
            };
            const senders = Array.from({ length: 20 }, sendRequests);
            for (let count = 0; count < 300; count++) {
                host.writeSettings({ graceSeconds: 6 + count % 3 });
                host.send("SIGHUP");
                await new Promise(resolve => setTimeout(resolve, 2));
            }
            isDone = true;
            await Promise.all(senders);
            agent.destroy();
            expect(statuses.filter(status => status !== 503)).toEqual([]);
            expect(statuses.length > 20).toEqual(true);
            expect(host.getEnd()).toEqual(undefined);
        });

        // Guards against a stop that counts as a crash because its steps take longer than a short grace period.
        it("SIGTERM ends the process with status 0 in a grace period of 2 s that SIGHUP has set", async () => {
            const host = bundle.addHost();
            host.writeSettings();
            host.start();
            await host.waitForLine("host started");
            host.writeSettings({ graceSeconds: 2 });
            host.send("SIGHUP");
            await host.waitForLine("settings reloaded");
            host.send("SIGTERM");
            expect(await host.waitForEnd()).toEqual({ code: 0, signal: null });
            expect(host.listLines("shutdown exceeded its bound")).toEqual([]);
        });

        // Guards against a debugger's port that opens on a signal, and against an end for a signal without a meaning.
        it("SIGUSR1 and SIGUSR2 are ignored", async () => {
            const host = bundle.addHost();
            host.writeSettings();
            host.start();
            await host.waitForLine("host started");
            host.send("SIGUSR1");
            host.send("SIGUSR2");
            await host.waitUntil("both are logged", () => host.listLines("signal ignored").length === 2);
            expect(host.text.includes("Debugger listening")).toEqual(false);
        });
    });
});
