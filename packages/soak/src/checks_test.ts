import { expect } from "earl";
import { describe, it } from "node:test";
import { checkRules } from "./checks.js";
import type { RecordedJob, RecordedRun } from "./run-record.js";
import { RunRecord } from "./run-record.js";

const bounds = { contactMs: 4_000, cancelMs: 3_000, stopMs: 900, maxAttempts: 3, graceMs: 6_000, lossSlackMs: 200 };
const policy = { allows: () => true };
const step = { count: 1, cpu: 500, memoryMb: 256, estimateMs: 100, after: [] };

function createRun(changes: Partial<RecordedRun>): RecordedRun {
    return {
        executor: "e1",
        task: "a.0.0.0",
        job: "a",
        run: 1,
        token: 1,
        sender: "h1",
        spec: "ms=100",
        isLate: false,
        startedAt: 0,
        hasLapsed: false,
        ...changes,
    };
}

/** Returns the names of the rules that a record breaks. */
function listBroken(
    runs: readonly Partial<RecordedRun>[],
    changes: Partial<RecordedJob> = {},
    disturbedHosts?: readonly string[],
): string[] {
    const record = new RunRecord();
    if (disturbedHosts !== undefined) {
        record.beginDisruption(disturbedHosts);
    }
    record.jobs.set("a", {
        id: "a",
        queue: "plain",
        spec: "ms=100",
        steps: [step, { ...step, after: [0] }],
        attempts: [{ host: "h1", sentAt: 0, status: 200 }],
        states: [],
        ...changes,
    });
    record.runs.push(...runs.map(createRun));
    const breaks = checkRules({ record, executors: [], policy, standing: [], bounds, calmFrom: 100_000 });
    return Object.entries(breaks).flatMap(([rule, texts]) => texts.length > 0 ? [rule] : []);
}

describe("the checks of a soak", () => {
    // Guards against checks that cannot fail, and against verdicts on what the rules allow.
    const done = { endedAt: 100, end: "done", acknowledgedAt: 150 } as const;
    const later = { run: 2, executor: "e2", startedAt: 200, endedAt: 300, end: "done" } as const;

    it("report two runs at the same time, but not after the first executor has crashed", () => {
        expect(listBroken([{ endedAt: 250, end: "done" }, later])).toEqual(["TWICE"]);
        expect(listBroken([{ endedAt: 150, end: "crashed" }, later])).toEqual([]);
    });

    it("report a start after an end that is noted, but not if the lease lapsed before", () => {
        expect(listBroken([done, later])).toEqual(["TWICE"]);
        expect(listBroken([{ ...done, acknowledgedAt: 900 }, later])).toEqual(["TWICE"]);
        expect(listBroken([{ ...done, hasLapsed: true }, later])).toEqual([]);
        expect(listBroken([{ ...done, acknowledgedAt: undefined }, later])).toEqual([]);
    });

    it("report a start later than the bound after a cancelling, but not one that was carried out late", () => {
        const run = { startedAt: 5_000, endedAt: 5_100, end: "done" } as const;
        expect(listBroken([run], { cancelledAt: 1_000 })).toEqual(["UNASKED"]);
        expect(listBroken([run], { cancelledAt: 2_500 })).toEqual([]);
        expect(listBroken([{ ...run, isLate: true }], { cancelledAt: 1_000 })).toEqual([]);
    });

    it("report what nobody sent", () => {
        expect(listBroken([{ ...done, spec: "ms=1" }])).toEqual(["UNASKED"]);
        expect(listBroken([{ ...done, job: "b", task: "b.0.0.0" }])).toEqual(["UNASKED"]);
    });

    it("report a job that runs though every attempt was rejected, but not if one had no answer", () => {
        const rejected = { host: "h1", sentAt: 0, status: 503 };
        expect(listBroken([done], { attempts: [rejected] })).toEqual(["REFUSED"]);
        expect(listBroken([done], { attempts: [rejected, { ...rejected, status: 0 }] })).toEqual([]);
    });

    it("report a step before the steps that it depends on, and a success without all ends", () => {
        const second = { task: "a.0.1.0", startedAt: 200, endedAt: 300, end: "done" } as const;
        expect(listBroken([{ endedAt: 250, end: "done" }, second])).toEqual(["ORDER"]);
        expect(listBroken([done], { succeededAt: 500 })).toEqual(["MIXED"]);
        expect(listBroken([done, second], { succeededAt: 500 })).toEqual([]);
    });

    it("report a start after the last attempt", () => {
        const failures = [0, 200, 400].map((startedAt, index) => ({
            run: index + 1,
            startedAt,
            endedAt: startedAt + 100,
            end: "failed" as const,
            acknowledgedAt: startedAt + 150,
        }));
        expect(listBroken(failures)).toEqual([]);
        expect(listBroken([...failures, { run: 4, startedAt: 600, endedAt: 700, end: "done" }])).toEqual(["BUDGET"]);
    });

    it("report a member of a gang that waited alone, but not beside a disruption or a cancelling", () => {
        const alone = { startedAt: 50_000, endedAt: 53_000, end: "alone" } as const;
        expect(listBroken([alone])).toEqual(["GANG"]);
        expect(listBroken([{ ...alone, isLate: true }])).toEqual([]);
        expect(listBroken([alone], { cancelSentAt: 52_000 })).toEqual([]);
        expect(listBroken([alone], { cancelSentAt: 54_000 })).toEqual(["GANG"]);
        // The record of the fixture begins now, so a disruption from now on lies near an early run.
        expect(listBroken([{ ...alone, startedAt: 0, endedAt: 3_000 }], {}, ["h2"])).toEqual([]);
    });

    it("report an accepted job that is cancelled or failed without cause", () => {
        const accepted = { acceptedAt: 10 };
        const show = (state: string) => ({ ...accepted, states: [{ at: 100, host: "h1", state }] });
        expect(listBroken([done], show("cancelled"))).toEqual(["LOST"]);
        expect(listBroken([done], show("failed"))).toEqual(["LOST"]);
    });
});
