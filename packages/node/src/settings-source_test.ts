import { createFailure, ManualClock } from "@waxwingroute/core";
import { incompleteSettings, unreadableSettings } from "@waxwingroute/platform-adapter";
import { expect } from "earl";
import { describe, it } from "node:test";
import { readFirstSettings } from "./settings-source.js";
import { createSettings, MemorySettingsSource } from "./testing/memory-settings-source.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly source = new MemorySettingsSource();
    isCancelled = false;
    outcome: string | undefined;

    read(): void {
        const { clock, source } = this;
        readFirstSettings({ source, clock, isCancelled: () => this.isCancelled, timeoutMs: 1_000 }).then(read => {
            this.outcome = read.ok ? read.val.host : read.val.code;
        });
    }
}

describe("readFirstSettings", () => {
    // Guards against a process that ends because the platform is still writing its settings.
    it("reads a missing or half-written file again until it is complete", async () => {
        const fixture = new Fixture();
        const { clock, source } = fixture;
        source.fail(createFailure(unreadableSettings, "no such file", "notRun"));
        fixture.read();
        await clock.advance(400);
        source.fail(createFailure(incompleteSettings, "not JSON", "notRun"));
        await clock.advance(400);
        expect(fixture.outcome).toEqual(undefined);
        source.set(createSettings({ host: "host-7" }));
        await clock.advance(100);
        expect(fixture.outcome).toEqual("host-7");
    });

    // Guards against a process that waits for good for a file that nobody writes.
    it("gives up after its time-out, and on wrong settings at once", async () => {
        const fixture = new Fixture();
        fixture.source.fail(createFailure(unreadableSettings, "no such file", "notRun"));
        fixture.read();
        await fixture.clock.advance(1_100);
        expect(fixture.outcome).toEqual(unreadableSettings);

        const wrong = new Fixture();
        wrong.source.fail(createFailure("settings-invalid", "zone is missing", "notRun"));
        wrong.read();
        await wrong.clock.advance(0);
        expect(wrong.outcome).toEqual("settings-invalid");
    });

    // Guards against a process that cannot be stopped while it waits for its settings.
    it("gives up when it is cancelled", async () => {
        const fixture = new Fixture();
        fixture.source.fail(createFailure(unreadableSettings, "no such file", "notRun"));
        fixture.read();
        fixture.isCancelled = true;
        await fixture.clock.advance(100);
        expect(fixture.outcome).toEqual(unreadableSettings);
    });
});
