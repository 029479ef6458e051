import { expect } from "earl";
import { describe, it } from "node:test";
import { listFirstCallWaits } from "./first-calls.js";
import type { RecordedJob } from "./run-record.js";
import { RunRecord } from "./run-record.js";

const step = { count: 1, cpu: 500, memoryMb: 256, estimateMs: 100, after: [] };

function createRecord(changes: Partial<RecordedJob> = {}): RunRecord {
    const record = new RunRecord();
    Object.defineProperty(record, "now", { value: 9_000 });
    const steps = [step, { ...step, after: [0] }];
    const job = { id: "a", queue: "short", spec: "", steps, attempts: [], acceptedAt: 1_000, states: [] };
    record.jobs.set("a", { ...job, ...changes });
    return record;
}

describe("the waits for the first call of the advice service", () => {
    // Guards against waits that are measured from the wrong time, and against steps that are left out.
    const listMs = (record: RunRecord) => listFirstCallWaits(record).map(row => [row.step, row.waitMs, row.isAsked]);

    it("begin at the acceptance, and last until the end of the run without a call", () => {
        const record = createRecord();
        expect(listMs(record)).toEqual([["a.0.0", 8_000, false]]);
        record.firstAdviceCalls.set("a.0.0", 1_300);
        expect(listMs(record)).toEqual([["a.0.0", 300, true]]);
    });

    it("begin at the end of the steps before", () => {
        const record = createRecord();
        record.firstAdviceCalls.set("a.0.0", 1_000);
        const run = { executor: "e", task: "a.0.0.0", job: "a", run: 1, token: 1, sender: "h", spec: "" };
        record.runs.push({ ...run, isLate: false, hasLapsed: false, startedAt: 1_200, endedAt: 5_000, end: "done" });
        expect(listMs(record)).toEqual([["a.0.1", 4_000, false], ["a.0.0", 0, true]]);
    });

    it("leave out jobs that were cancelled before the call, and queues without advice", () => {
        expect(listMs(createRecord({ cancelSentAt: 2_000 }))).toEqual([]);
        expect(listMs(createRecord({ queue: "plain" }))).toEqual([]);
    });

    it("say for how long hosts called about other steps", () => {
        const record = createRecord();
        record.adviceCallTimes.push(500, 1_100, 1_500, 1_900, 4_000, 4_100);
        expect(listFirstCallWaits(record)[0]!.passedOverMs).toEqual(900);
    });
});
