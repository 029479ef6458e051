import { expect } from "earl";
import { describe, it } from "node:test";
import { EventLog } from "./event-log.js";
import type { LogFields } from "./logger.js";
import { PrometheusMetrics } from "./prometheus-metrics.js";

class Fixture {
    now = 0;
    readonly lines: [string, LogFields | undefined][] = [];
    readonly metrics = new PrometheusMetrics("test");
    readonly log = new EventLog({
        writer: { write: (_level, message, fields) => this.lines.push([message, fields]) },
        metrics: this.metrics,
        getNow: () => this.now,
        maxLinesPerSecond: 3,
    });
}

describe("EventLog", () => {
    // Guards against logs that grow with the load until they slow the process.
    it("limits the lines per message and second and says how many it dropped", () => {
        const fixture = new Fixture();
        for (let index = 0; index < 10; index++) {
            fixture.log.write("info", "start", { index });
        }
        fixture.log.write("info", "stop");
        expect(fixture.lines.map(([message]) => message)).toEqual(["start", "start", "start", "stop"]);
        fixture.now = 1_000;
        fixture.log.write("info", "start", { index: 10 });
        expect(fixture.lines.at(-1)).toEqual(["start", { index: 10, droppedBefore: 7 }]);
    });

    // Guards against warnings that are lost during a burst.
    it("writes every warning", () => {
        const fixture = new Fixture();
        for (let index = 0; index < 10; index++) {
            fixture.log.write("warn", "lost");
        }
        expect(fixture.lines.length).toEqual(10);
    });

    // Guards against metrics that miss events because their log lines were dropped.
    it("counts and times dropped lines like written ones, by outcome", async () => {
        const fixture = new Fixture();
        for (let index = 0; index < 5; index++) {
            fixture.log.write("info", "job accepted", { outcome: "stored", tookMs: 12 });
        }
        const text = await fixture.metrics.render();
        expect(text.includes(`test_events{event="job accepted",outcome="stored"} 5`)).toEqual(true);
        expect(text.includes(`test_event_ms_bucket{le="20",event="job accepted"} 5`)).toEqual(true);
        expect(text.includes(`test_log_lines_dropped{event="job accepted"} 2`)).toEqual(true);
    });
});
