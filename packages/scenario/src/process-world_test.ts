import { expect } from "earl";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { ProcessWorld } from "./process-world.js";
import { runScenario, runScenarioFile } from "./run-scenario.js";

const toPath = (file: string) => fileURLToPath(new URL(file, import.meta.url));
const standIn = fileURLToPath(new URL("main.js", import.meta.resolve("@waxwingroute/stand-ins")));
const stubs = {
    scheduler: toPath("testing/scheduler-stub.js"),
    operator: toPath("testing/operator-stub.js"),
    entry: toPath("testing/entry-stub.js"),
};

function createWorld(
    stub: Readonly<Record<string, boolean>> = {},
    mains: typeof stubs | undefined = stubs,
): ProcessWorld {
    return new ProcessWorld({
        mains: { standIn, ...mains },
        layout: {
            hostListLagMs: 0,
            zones: [{
                zone: "glasgow",
                workers: { count: 2, capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 } },
                executors: { count: 2 },
            }],
        },
        hosts: [{ name: "glasgow-1", zone: "glasgow" }],
        settings: { stub },
        stopMs: 2_000,
    });
}

async function run(world: ProcessWorld, lines: readonly string[]): Promise<string> {
    try {
        await world.open();
        const result = await runScenario("test", lines.join("\n"), world);
        return result.ok ? "passed" : result.val.message;
    }
    finally {
        await world.close();
    }
}

const setUp = [
    "start all",
    "expect process all ready within 60s",
    "declare Key front {\"team\": \"sales\"}",
    "declare Queue orders {\"access\": \"team\", \"team\": \"sales\"}",
];

describe("ProcessWorld", () => {
    it("runs the faults of the stand-in process", async () => {
        const world = createWorld({}, undefined);
        try {
            await world.open();
            const result = await runScenarioFile(toPath("../scenarios/stand-ins.scenario"), world);
            expect(result.ok ? "passed" : result.val.message).toEqual("passed");
        }
        finally {
            await world.close();
        }
    });

    it("starts, pauses, resumes, kills and stops programs, and carries work", async () => {
        const steps = [
            ...setUp,
            "submit job cuts for sales, tasks 4, command \"run forever\", cpu 500",
            "expect job cuts accepted within 2s",
            "expect tasks running 4 of zone glasgow within 2s",
            "submit 20 requests to orders, every 2ms",
            "expect requests answered 20 within 5s",
            "expect every answer whole",
            "expect no overcommit",
            "expect no request run twice",
            "pause entry/glasgow-1",
            "submit 1 request to orders, deadline 100ms",
            "expect requests lost 1 within 3s",
            "expect process entry/glasgow-1 running",
            "resume entry/glasgow-1",
            "expect process entry/glasgow-1 ready within 2s",
            "kill operator/glasgow-1",
            "expect process operator/glasgow-1 ended",
            "submit job slabs for sales",
            "expect job slabs refused within 2s",
            "start operator/glasgow-1",
            "expect process glasgow-1 ready within 5s",
            "cut glasgow-1 from glasgow",
            "submit job tiles for sales",
            "expect job tiles lost within 3s",
            "mend glasgow-1 to glasgow",
            "stop all",
            "expect no refused work run",
            "expect task tiles/0 not running",
        ];
        expect(await run(createWorld(), steps)).toEqual("passed");
    });

    // Each of these guards against a scenario that passes while the system does what it forbids.
    describe("finds mistakes that are made on purpose", () => {
        it("an overcommit", async () => {
            const steps = [
                ...setUp,
                "submit job cuts for sales, tasks 3, command \"run forever\", cpu 500",
                "expect tasks running 3 within 2s",
                "expect no overcommit",
            ];
            expect(await run(createWorld({ overcommits: true }), steps)).toEqual(expect.includes("test:7:1: "));
        });

        it("a request that is run twice under two keys", async () => {
            const steps = [
                ...setUp,
                "submit 3 requests to orders",
                "expect requests answered 3 within 2s",
                "expect no request run twice",
            ];
            expect(await run(createWorld({ repeatsRequests: true }), steps)).toEqual(expect.includes("test:7:1: "));
        });

        it("an answer that is cut short", async () => {
            const steps = [
                ...setUp,
                "submit 1 request to orders",
                "expect requests answered 1 within 2s",
                "expect every answer whole",
            ];
            expect(await run(createWorld({ cutsAnswers: true }), steps)).toEqual(expect.includes("test:7:1: "));
        });

        it("a stop that is not graceful", async () => {
            const steps = [...setUp, "stop entry/glasgow-1"];
            expect(await run(createWorld({ ignoresTerm: true }), steps)).toEqual(
                expect.includes("test:5:1: process \"entry/glasgow-1\" ended by SIGKILL after SIGTERM"),
            );
        });
    });

    it("names an unknown process, host or link", async () => {
        expect(await run(createWorld(), ["kill scheduler/dundee-1"])).toEqual(expect.includes("scheduler/dundee-1"));
        expect(await run(createWorld(), ["cut dundee from aberdeen"])).toEqual(expect.includes("dundee"));
    });
});
