import { ManualClock } from "@waxwingroute/core";
import type { LogFields } from "@waxwingroute/telemetry";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RefusalLog } from "./refusal-log.js";

describe("RefusalLog", () => {
    // Guards against refusals that cost more in log lines than the refused work, and against refusals nobody sees.
    it("logs a reason at most once a second, and counts every refusal", async () => {
        const clock = new ManualClock();
        const lines: LogFields[] = [];
        const counted: string[] = [];
        const log = new RefusalLog({
            clock,
            logger: { write: (_level, _message, fields = {}) => lines.push(fields) },
            count: reason => counted.push(reason),
        });
        for (let index = 0; index < 100; index += 1) {
            log.record("bodies", { limit: 7 });
        }
        log.record("memory", {});
        await clock.advance(1_000);
        log.record("bodies", { limit: 7 });
        expect(lines).toEqual([
            { reason: "bodies", limit: 7, count: 1 },
            { reason: "memory", count: 1 },
            { reason: "bodies", limit: 7, count: 100 },
        ]);
        expect(counted.length).toEqual(102);
    });
});
