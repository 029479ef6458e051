import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { LogFields } from "./logger.js";
import { PortBinder } from "./port-binder.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly lines: { readonly message: string; readonly fields: LogFields; }[] = [];
    readonly outcomes = new Map<string, boolean>();
    timeoutMs = 1_000;
    readonly binder = new PortBinder({
        clock: this.clock,
        logger: { write: (_level, message, fields = {}) => this.lines.push({ message, fields }) },
        getTimeoutMs: () => this.timeoutMs,
        logIntervalMs: 500,
    });

    /** Binds a port that fails with `code` until `freeAt`, ms. */
    bind(name: string, isNeeded: boolean, freeAt: number, code = "EADDRINUSE"): void {
        const listen = async () => {
            if (this.clock.getNow() < freeAt) {
                throw Object.assign(new Error(`listen ${code}`), { code });
            }
        };
        this.binder.bind({ name, address: `10.0.0.1:${name}`, isNeeded, listen })
            .then(isBound => this.outcomes.set(name, isBound));
    }

    countLines(message: string): number {
        return this.lines.filter(line => line.message === message).length;
    }
}

describe("PortBinder", () => {
    describe("a needed port", () => {
        // Guards against a process that ends because its predecessor still has the port, and against a log full of attempts.
        it("is tried until it is free, and named now and then", async () => {
            const fixture = new Fixture();
            fixture.bind("callers", true, 750);
            await fixture.clock.advance(700);
            expect(fixture.binder.listUnbound().map(port => port.name)).toEqual(["callers"]);
            expect(fixture.countLines("port taken")).toEqual(2);
            await fixture.clock.advance(200);
            expect(fixture.outcomes.get("callers")).toEqual(true);
            expect(fixture.binder.listUnbound()).toEqual([]);
            expect(fixture.countLines("port bound")).toEqual(1);
        });

        // Guards against a process that waits for good for a port that another program has.
        it("is given up after the time-out", async () => {
            const fixture = new Fixture();
            fixture.bind("callers", true, Infinity);
            await fixture.clock.advance(900);
            expect(fixture.outcomes.size).toEqual(0);
            await fixture.clock.advance(200);
            expect(fixture.outcomes.get("callers")).toEqual(false);
            expect(fixture.lines.at(-1)?.fields.address).toEqual("10.0.0.1:callers");
        });

        // Guards against a time-out that keeps its value of the start after the settings have changed.
        it("is tried for the time-out that is in effect", async () => {
            const fixture = new Fixture();
            fixture.bind("callers", true, 1_500);
            await fixture.clock.advance(500);
            fixture.timeoutMs = 2_000;
            await fixture.clock.advance(1_500);
            expect(fixture.outcomes.get("callers")).toEqual(true);
        });

        // Guards against a wait for an error that does not pass.
        it("is given up at once if the program may not bind it", async () => {
            const fixture = new Fixture();
            fixture.bind("callers", true, Infinity, "EACCES");
            await fixture.clock.advance(0);
            expect(fixture.outcomes.get("callers")).toEqual(false);
        });
    });

    describe("a port that is not needed", () => {
        // Guards against a host that is not ready, or ends, for want of its metrics.
        it("is tried for good and is not listed", async () => {
            const fixture = new Fixture();
            fixture.bind("metrics", false, 60_000);
            await fixture.clock.advance(59_000);
            expect(fixture.binder.listUnbound()).toEqual([]);
            expect(fixture.outcomes.size).toEqual(0);
            await fixture.clock.advance(2_000);
            expect(fixture.outcomes.get("metrics")).toEqual(true);
        });
    });

    // Guards against ports that are bound after their process was told to stop.
    it("tries no port after it was stopped", async () => {
        const fixture = new Fixture();
        fixture.bind("callers", true, 500);
        await fixture.clock.advance(200);
        fixture.binder.stop();
        await fixture.clock.advance(1_000);
        expect(fixture.outcomes.get("callers")).toEqual(false);
        expect(fixture.countLines("port not bound")).toEqual(0);
    });
});
