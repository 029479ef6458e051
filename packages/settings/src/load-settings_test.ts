import { expect } from "earl";
import fastCheck from "fast-check";
import { describe, it } from "node:test";
import { parseSettings } from "./load-settings.js";

const ports = {
    scheduler: 7101,
    entry: 7102,
    operator: 7103,
    schedulerHealth: 7104,
    entryHealth: 7105,
    operatorHealth: 7106,
};

function createSettings(change: (value: Record<string, any>) => void = () => undefined): string {
    const value = {
        cluster: "test",
        store: { url: "http://127.0.0.1:7000" },
        hostList: { url: "http://127.0.0.1:7001" },
        regions: [{ name: "north", zones: [{ name: "a", hosts: [{ name: "a-1", address: "127.0.0.1", ports }] }] }],
    };
    change(value);
    return JSON.stringify(value);
}

function getMessage(text: string): string {
    const result = parseSettings(text, "test.json");
    return result.err ? result.val.message : "accepted";
}

describe("parseSettings", () => {
    it("fills in the defaults of absent fields", () => {
        const settings = parseSettings(createSettings(), "test.json").unwrap();
        expect(settings.ownership.storeRightMs).toEqual(3_000);
        expect(settings.keys.whenStale).toEqual("refuse");
    });

    describe("reports problems with path, value and remedy", () => {
        it("rejects an unknown field", () => {
            expect(getMessage(createSettings(value => value.store.timeout = 5))).toEqual(
                "test.json:\n  store: unknown field \"timeout\"; remove it or correct its spelling",
            );
        });

        it("rejects a duration with a unit", () => {
            const message = getMessage(createSettings(value => value.keys = { stalenessMs: "30s" }));
            expect(message.includes("keys.stalenessMs: found \"30s\"; set a value of type number (milliseconds"))
                .toEqual(true);
        });

        it("rejects a missing address", () => {
            const message = getMessage(createSettings(value => delete value.regions[0].zones[0].hosts[0].address));
            expect(message.includes("regions[0].zones[0].hosts[0].address: it is missing")).toEqual(true);
        });

        it("rejects a host name in place of an IP address", () => {
            const message = getMessage(createSettings(value => value.store.url = "http://store.example:7000"));
            expect(message.includes("store.url: found \"http://store.example:7000\"; expected http://<ip>:<port>"))
                .toEqual(true);
        });

        it("rejects a renewal interval at which one lost answer would end the ownership", () => {
            const message = getMessage(createSettings(value => value.ownership = { renewIntervalMs: 2_000 }));
            expect(message.includes("ownership.renewIntervalMs: found 2000; must be at most half")).toEqual(true);
        });

        it("rejects a port that is used twice", () => {
            const message = getMessage(
                createSettings(value => value.regions[0].zones[0].hosts[0].ports = { ...ports, entry: 7101 }),
            );
            expect(message.includes("127.0.0.1:7101 (entry of \"a-1\") is used twice")).toEqual(true);
        });
    });

    // Guards against a program that crashes on a damaged settings file.
    it("returns a result for any text or JSON", () => {
        const check = (text: string) => typeof parseSettings(text, "x").ok === "boolean";
        fastCheck.assert(fastCheck.property(fastCheck.string(), check), { seed: 7, numRuns: 1_000 });
        fastCheck.assert(fastCheck.property(fastCheck.json(), check), { seed: 7, numRuns: 1_000 });
    });
});
