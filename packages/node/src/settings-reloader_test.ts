import { createFailure, ManualClock } from "@waxwingroute/core";
import type { LogFields } from "@waxwingroute/telemetry";
import { Supervisor } from "@waxwingroute/telemetry";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { SettingsReloader } from "./settings-reloader.js";
import { createSettings, MemorySettingsSource } from "./testing/memory-settings-source.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly source = new MemorySettingsSource();
    readonly lines: { readonly message: string; readonly fields: LogFields; }[] = [];
    readonly appliedSeconds: number[] = [];
    private readonly logger = {
        write: (_level: string, message: string, fields: LogFields = {}) => this.lines.push({ message, fields }),
    };
    readonly reloader = new SettingsReloader({
        source: this.source,
        initial: createSettings(),
        targets: [
            { fields: ["graceSeconds"], apply: settings => this.appliedSeconds.push(settings.graceSeconds) },
            {
                fields: ["retentionSeconds"],
                apply: () => {
                    throw new Error("not now");
                },
            },
        ],
        clock: this.clock,
        logger: this.logger,
        supervisor: new Supervisor({ clock: this.clock, logger: this.logger }),
    });

    listFields(message: string): readonly LogFields[] {
        return this.lines.filter(line => line.message === message).map(line => line.fields);
    }
}

describe("SettingsReloader", () => {
    let fixture: Fixture;

    beforeEach(() => {
        fixture = new Fixture();
        fixture.reloader.start();
    });
    afterEach(() => fixture.reloader.stop());

    describe("a change", () => {
        // Guards against an operator who does not know which settings are in effect.
        it("is applied where a part can, and named where it waits for the next start", async () => {
            const { clock, reloader, source } = fixture;
            source.set(createSettings({ graceSeconds: 9, zone: "south", callerAddress: "10.0.0.2:8183" as never }));
            reloader.requestReload();
            await clock.advance(0);
            expect(fixture.appliedSeconds).toEqual([9]);
            expect(fixture.listFields("settings reloaded")).toEqual([
                { outcome: "changed", applied: "graceSeconds", atNextStart: "zone callerAddress" },
            ]);
        });

        // Guards against a change that is never applied because it comes while the host loads its parts.
        it("between the first read and the start of the checks is found without a signal", async () => {
            const clock = new ManualClock();
            const source = new MemorySettingsSource();
            const initial = source.read().unwrap();
            source.set(createSettings({ graceSeconds: 9 }));
            const logger = { write: () => undefined };
            const supervisor = new Supervisor({ clock, logger });
            const reloader = new SettingsReloader({ source, initial, targets: [], clock, logger, supervisor });
            reloader.start();
            await clock.advance(5_000);
            expect(reloader.settings.graceSeconds).toEqual(9);
            reloader.stop();
        });

        // Guards against a change that is missed because no signal announces it.
        it("is found without a signal, and reported once", async () => {
            const { clock, source } = fixture;
            await clock.advance(5_000);
            expect(source.readCount).toEqual(0);
            source.set(createSettings({ graceSeconds: 9 }));
            await clock.advance(5_000);
            expect(fixture.appliedSeconds).toEqual([9]);
            expect(source.readCount).toEqual(1);
        });

        // Guards against a change that is reported as waiting although it was taken back.
        it("back to the settings of the start waits for nothing", async () => {
            const { clock, source } = fixture;
            source.set(createSettings({ zone: "south" }));
            await clock.advance(1_000);
            source.set(createSettings());
            await clock.advance(1_000);
            expect(fixture.listFields("settings reloaded").map(fields => fields.atNextStart)).toEqual(["zone", ""]);
        });

        // Guards against one part whose change fails and keeps the others from theirs.
        it("that a part cannot apply is named and does not stop the others", async () => {
            const { clock, source } = fixture;
            source.set(createSettings({ retentionSeconds: 60, graceSeconds: 9 }));
            await clock.advance(1_000);
            expect(fixture.appliedSeconds).toEqual([9]);
            expect(fixture.listFields("settings reloaded")).toEqual([
                { outcome: "changed", applied: "graceSeconds", atNextStart: "retentionSeconds" },
            ]);
            expect(fixture.listFields("unexpected error").length).toEqual(1);
        });
    });

    describe("settings that cannot be read", () => {
        // Guards against a host that ends, or goes on with half of its settings, because a file is being written.
        it("change nothing, are reported once, and are read again until they are complete", async () => {
            const { clock, reloader, source } = fixture;
            source.fail(createFailure("settings-incomplete", "the settings are not JSON", "notRun"));
            reloader.requestReload();
            await clock.advance(3_000);
            expect(fixture.appliedSeconds).toEqual([]);
            expect(reloader.settings).toEqual(createSettings());
            expect(fixture.listFields("settings not reloaded").length).toEqual(1);
            source.set(createSettings({ graceSeconds: 9 }));
            await clock.advance(1_000);
            expect(fixture.appliedSeconds).toEqual([9]);
        });
    });

    describe("signals in series", () => {
        // Guards against a host that spends its time on reading settings, and against a change after the last read.
        it("share reads, and the last read follows the last signal", async () => {
            const { clock, reloader, source } = fixture;
            for (let count = 1; count <= 50; count++) {
                source.set(createSettings({ graceSeconds: count }));
                reloader.requestReload();
                await clock.advance(10);
            }
            await clock.advance(100);
            expect(source.readCount <= 7).toEqual(true);
            expect(fixture.appliedSeconds.at(-1)).toEqual(50);
        });
    });
});
