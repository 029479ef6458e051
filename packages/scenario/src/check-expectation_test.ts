import { ManualClock } from "@waxwingroute/core";
import type { RecordsReport, TaskRun } from "@waxwingroute/stand-ins";
import { createRecordsReport, Fleet } from "@waxwingroute/stand-ins";
import { expect } from "earl";
import { describe, it } from "node:test";
import { checkExpectation } from "./check-expectation.js";
import { parseScenario } from "./parse-scenario.js";
import type { Observation, RequestRecord } from "./scenario-world.js";

const emptyReport = createRecordsReport(new Fleet({ clock: new ManualClock() }));

function observe(report: Partial<RecordsReport>, changes: Partial<Observation> = {}): Observation {
    return { report: { ...emptyReport, ...report }, jobs: new Map(), requests: [], zones: new Map(), ...changes };
}

function check(text: string, observation: Observation): string | undefined {
    const [step] = parseScenario("test", `expect ${text}`).unwrap();
    if (step?.kind !== "expect" || step.expectation.kind === "process") {
        throw new Error(`"${text}" is not an expectation on records`);
    }
    return checkExpectation(step.expectation, observation);
}

function createRun(task: string, startedAt: number, endedAt?: number, cpuMillis = 100): TaskRun {
    return {
        worker: "w0" as never,
        task: task as never,
        team: "sales" as never,
        resources: { cpuMillis, memoryMb: 1, accelerators: 0 },
        epoch: 1,
        startedAt,
        ...endedAt === undefined ? {} : { endedAt, outcome: "succeeded" },
    };
}

function createRequestRun(bodyStart: string) {
    return { bodyStart, requestKey: bodyStart, team: "sales", startedAt: 0, endedAt: 5 } as never;
}

function createRequest(changes: Partial<RequestRecord>): RequestRecord {
    return { marker: "request-0-x", isIdempotent: false, state: "answered", isWhole: true, ...changes };
}

describe("checkExpectation", () => {
    // Each of these guards against an expectation that holds whatever the stand-ins recorded.
    it("fails on each kind of violation and holds without one", () => {
        const violations: readonly [string, Partial<RecordsReport>][] = [
            ["no overcommit", { overcommits: [{ worker: "w0" } as never] }],
            ["no task in two places", { tasksInTwoPlaces: [{ task: "a/0" } as never] }],
            ["no request run twice", { repeatedRequests: [{ requestKey: "k" } as never] }],
            ["no executor above its bounds", { overloads: [{ executor: "e0" } as never] }],
        ];
        for (const [text, report] of violations) {
            expect(check(text, observe({}))).toEqual(undefined);
            expect(check(text, observe(report))).not.toEqual(undefined);
        }
    });

    // Guards against a system that hides a second run behind a new request key.
    it("finds a request that ran twice under two keys", () => {
        const report = { requestRuns: [createRequestRun("request-0-x xx"), createRequestRun("request-0-x xx")] };
        const once = { requestRuns: report.requestRuns.slice(1) };
        expect(check("no request run twice", observe(once, { requests: [createRequest({})] }))).toEqual(undefined);
        expect(check("no request run twice", observe(report, { requests: [createRequest({})] }))).toEqual(
            expect.includes("request-0-x"),
        );
        const idempotent = [createRequest({ isIdempotent: true })];
        expect(check("no request run twice", observe(report, { requests: idempotent }))).toEqual(undefined);
    });

    // Guards against "not run" for work that ran.
    it("finds refused work that ran", () => {
        const report = { requestRuns: [createRequestRun("request-0-x xx")], taskRuns: [createRun("cuts/0", 0)] };
        const refused = [createRequest({ state: "refused", verdict: "notRun" })];
        const lost = [createRequest({ state: "lost", verdict: "mayHaveRun" })];
        const jobs = new Map([["cuts", { state: "refused", verdict: "notRun" } as const]]);
        expect(check("no refused work run", observe(report, { requests: lost }))).toEqual(undefined);
        expect(check("no refused work run", observe(report, { requests: refused }))).toEqual(
            expect.includes("request-0-x"),
        );
        expect(check("no refused work run", observe(report, { jobs }))).toEqual(expect.includes("cuts/0"));
    });

    it("finds answers that are not whole, and does not hold without answers", () => {
        const whole = createRequest({});
        expect(check("every answer whole", observe({}, { requests: [whole] }))).toEqual(undefined);
        const cut = createRequest({ isWhole: false });
        expect(check("every answer whole", observe({}, { requests: [whole, cut] }))).toEqual(
            expect.includes("1 times answer not whole"),
        );
        expect(check("every answer whole", observe({}))).toEqual(expect.includes("no request was answered"));
    });

    // Guards against a limit that is only checked at the end, when the peak is over.
    it("finds the highest use of a team at one time", () => {
        const taskRuns = [createRun("a/0", 0, 10), createRun("a/1", 5, 20), createRun("a/2", 20, 30)];
        expect(check("no more than 200 cpu of team sales", observe({ taskRuns }))).toEqual(undefined);
        expect(check("no more than 199 cpu of team sales", observe({ taskRuns }))).toEqual(expect.includes("200"));
        const requestRuns = [createRequestRun("a"), createRequestRun("b")];
        expect(check("no more than 1 slots of team sales", observe({ requestRuns }))).toEqual(expect.includes("2"));
    });

    // Guards against expectations that miss every task because the system puts the zone before the job.
    it("finds tasks whose job has its zone before its name", () => {
        const running = [{ task: "glasgow.cuts/1", team: "sales", workers: ["w0"] }] as never;
        const observation = observe({ running, taskRuns: [createRun("glasgow.cuts/1", 0)] });
        expect(check("task cuts/1 running", observation)).toEqual(undefined);
        expect(check("task cuts/11 not running", observation)).toEqual(undefined);
        expect(check("tasks started 1 of job cuts", observation)).toEqual(undefined);
        expect(check("tasks started 0 of job uts", observation)).toEqual(undefined);
        const jobs = new Map([["cuts", { state: "refused", verdict: "notRun" } as const]]);
        expect(check("no refused work run", { ...observation, jobs })).toEqual(expect.includes("cuts/1"));
    });

    it("counts tasks by state and group, each task once", () => {
        const taskRuns = [createRun("a/0", 0, 10), createRun("a/0", 10, 20), createRun("b/0", 0)];
        const observation = observe({ taskRuns }, { zones: new Map([["w0", "glasgow"]]) });
        expect(check("tasks started 2", observation)).toEqual(undefined);
        expect(check("tasks succeeded 1 of job a", observation)).toEqual(undefined);
        expect(check("tasks started at most 1 of zone glasgow", observation)).toEqual("2 tasks started");
        expect(check("task b/0 running", observation)).toEqual(expect.includes("not running"));
        expect(check("job a accepted", observation)).toEqual(expect.includes("was not submitted"));
    });
});
