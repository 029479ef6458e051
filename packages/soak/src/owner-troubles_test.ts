import { SeededRandom } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { HostProcess } from "./host-process.js";
import { PausedAtLeaseEnd, StopsInTurn } from "./owner-troubles.js";
import { RunRecord } from "./run-record.js";
import type { Site } from "./site.js";
import type { TroubleContext } from "./trouble.js";

/** Time that a host takes to stop, in units of the fixture's clock: all waits are shortened a hundredfold. */
const stopMs = 20;
const shorten = 100;

function createFixture(hostCount: number) {
    const record = new RunRecord();
    const events: string[] = [];
    const down = new Set<string>();
    let mostDown = 0;
    const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms / shorten));
    const hosts = Array.from({ length: hostCount }, (_, index) => {
        const name = `h${index + 1}`;
        return {
            name,
            takeTurn: (action: () => Promise<void>) => action(),
            sendSignal: (signal: string) => events.push(`${signal} ${name}`),
            stop: async () => {
                events.push(`stop ${name}`);
                down.add(name);
                mostDown = Math.max(mostDown, down.size);
                await new Promise(resolve => setTimeout(resolve, stopMs));
            },
            start: () => {
                events.push(`start ${name}`);
                down.delete(name);
            },
        } as unknown as HostProcess;
    });
    let leaseEndsAt = 0;
    const site = {
        record,
        hosts,
        hostNames: hosts.map(host => host.name),
        // The first host that is up owns the cell.
        findOwner: () => hosts.find(host => !down.has(host.name)),
        listStores: () => [{ getLeaseEnd: () => leaseEndsAt, addFaults: () => () => events.push("restore") }],
    } as unknown as Site;
    const context: TroubleContext = { site, random: new SeededRandom(3), wait };
    return {
        context,
        events,
        getMostDown: () => mostDown,
        setLeaseEnd: (endsAt: number) => {
            leaseEndsAt = endsAt;
        },
    };
}

describe("troubles of owners", () => {
    // Guards against troubles that miss the moment they are made for.
    it("stop the owner, and the next one before the first has stopped", async () => {
        const { context, events, getMostDown } = createFixture(6);
        await new StopsInTurn().run(context);
        expect(events.slice(0, 2)).toEqual(["stop h1", "stop h2"]);
        expect(getMostDown() >= 2).toEqual(true);
        expect(events.filter(event => event.startsWith("stop")).length).toEqual(
            events.filter(event => event.startsWith("start")).length,
        );
    });

    it("leave one host when they stop one after the other", async () => {
        const { context, getMostDown } = createFixture(2);
        await new StopsInTurn().run(context);
        expect(getMostDown()).toEqual(1);
    });

    it("pause the owner before its lease ends, wake it, and only then let it renew", async () => {
        const { context, events, setLeaseEnd } = createFixture(3);
        setLeaseEnd(performance.now() + 900);
        await new PausedAtLeaseEnd().run(context);
        expect(events).toEqual(["SIGSTOP h1", "SIGCONT h1", "restore"]);
    });
});
