import { expect } from "earl";
import { describe, it } from "node:test";
import type { RecordedRun } from "./run-record.js";
import { RunRecord } from "./run-record.js";
import { StandingWatch } from "./standing-watch.js";
import type { JobStep } from "./types.js";

const step: JobStep = { count: 2, cpu: 4_000, memoryMb: 256, estimateMs: 100, after: [] };

interface FixtureOptions {
    readonly steps?: readonly JobStep[];
    readonly runs?: readonly Partial<RecordedRun>[];
    /** Free thousandths of a core of the executors, of which only the first is granted. */
    readonly free?: readonly [number, number, number];
    readonly isGranted?: (executor: string) => boolean;
}

/** Samples a job for some time, and returns the names of the steps that stood too long. */
function listStanding(options: FixtureOptions, ms = 3_200): string[] {
    const { steps = [step], runs = [], free = [8_000, 16_000, 16_000], isGranted = id => id === "e0" } = options;
    let now = 0;
    const record = new RunRecord();
    Object.defineProperty(record, "now", { get: () => now });
    const job = { id: "a", queue: "short", spec: "", steps, attempts: [], acceptedAt: 0, states: [] };
    record.jobs.set("a", job);
    record.runs.push(...runs.map(changes => ({
        executor: "e0",
        task: "a.0.0.0",
        job: "a",
        run: 1,
        token: 1,
        sender: "h1",
        spec: "",
        isLate: false,
        startedAt: 0,
        hasLapsed: false,
        ...changes,
    })));
    const executors = free.map((cpu, index) => ({
        id: `e${index}`,
        life: 1,
        room: { cpu, memoryMb: 4_096 },
        cpuCapacity: 16_000,
    }));
    const policy = { allows: (_step: string, executor: string) => isGranted(executor) };
    const watch = new StandingWatch({ record, executors, policy, maxAttempts: 3 });
    for (now = 0; now <= ms; now += 200) {
        watch.sample();
    }
    return watch.listBreaks().map(text => text.split(" ")[0]!);
}

describe("the watch for jobs that stand", () => {
    // Guards against a check that reports jobs which rightly wait, or none at all.
    const done = { endedAt: 10, end: "done" } as const;

    it("reports a job with room twice over on granted executors", () => {
        expect(listStanding({})).toEqual(["a.0.0"]);
        expect(listStanding({}, 2_800)).toEqual([]);
    });

    it("counts no room on other executors", () => {
        expect(listStanding({ free: [7_900, 16_000, 16_000] })).toEqual([]);
        expect(listStanding({ isGranted: () => false })).toEqual([]);
    });

    it("reports nothing while half of the capacity is in use", () => {
        expect(listStanding({ free: [8_000, 8_000, 8_000] })).toEqual([]);
    });

    it("counts the room for all members of a gang at once", () => {
        const gang = { ...step, isGang: true };
        expect(listStanding({ steps: [gang] })).toEqual([]);
        expect(listStanding({ steps: [gang], free: [16_000, 16_000, 16_000] })).toEqual(["a.0.0"]);
    });

    it("reports no job of which something runs", () => {
        expect(listStanding({ runs: [{}] })).toEqual([]);
        expect(listStanding({ runs: [done] })).toEqual(["a.0.0"]);
    });

    it("reports a step only after those before it, and no step that is done", () => {
        const steps = [{ ...step, count: 1 }, { ...step, after: [0] }];
        expect(listStanding({ steps })).toEqual(["a.0.0"]);
        expect(listStanding({ steps, runs: [done] })).toEqual(["a.0.1"]);
        expect(listStanding({ steps: [{ ...step, count: 1 }], runs: [done] })).toEqual([]);
    });

    it("reports no step with a task that has failed as often as it may", () => {
        const failed = { endedAt: 10, end: "failed" } as const;
        const runs = [1, 2, 3].map(run => ({ ...failed, run }));
        expect(listStanding({ runs })).toEqual([]);
        expect(listStanding({ runs: runs.slice(1) })).toEqual(["a.0.0"]);
    });

    it("counts each failed run of a gang once, whichever member failed", () => {
        const steps = [{ ...step, isGang: true }];
        const free = [16_000, 16_000, 16_000] as const;
        const runs = [1, 2, 3].map(run => ({
            task: `a.0.0.${run % 2}`,
            run,
            endedAt: 10,
            end: "failed" as const,
        }));
        expect(listStanding({ steps, free, runs })).toEqual([]);
        expect(listStanding({ steps, free, runs: runs.slice(1) })).toEqual(["a.0.0"]);
    });
});
