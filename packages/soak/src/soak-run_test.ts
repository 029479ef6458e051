import { expect } from "earl";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { isShapeName, shapes } from "./shapes.js";
import type { Shape } from "./shapes.js";
import { SoakRun } from "./soak-run.js";
import type { SoakOptions } from "./soak-run.js";

/** `WAXWING_SOAK_SEEDS=<first>-<last>` plays others by hand, with the times of a full run. */
const isByHand = process.env.WAXWING_SOAK_SEEDS !== undefined;
const [firstSeed = 1, lastSeed = firstSeed] = (process.env.WAXWING_SOAK_SEEDS ?? "1").split("-").map(Number);
const seeds = Array.from({ length: lastSeed - firstSeed + 1 }, (_, index) => firstSeed + index);
const shapeName = process.env.WAXWING_SOAK_SHAPE ?? "mixed";
if (!isShapeName(shapeName)) {
    throw new Error(`WAXWING_SOAK_SHAPE must be one of ${Object.keys(shapes).join(", ")}`);
}

/** What one test plays. */
interface Play {
    readonly seed: number;
    readonly name: string;
    readonly shape: Shape;
    /** Default: the times and sizes of `SoakOptions`. */
    readonly size?: Pick<SoakOptions, "hosts" | "troubleMs" | "calmMs">;
}

/** CI plays small runs, each of which ends within a minute. */
const size = { hosts: 4, troubleMs: 14_000, calmMs: 25_000 };
const advice: Shape = shapes.advice;
const shortPlays: readonly Play[] = [
    { seed: 1, name: "mixed", shape: { ...shapes.mixed, executors: 4, lanes: 2 }, size },
    {
        seed: 1,
        name: "advice",
        shape: { ...advice, workload: { ...advice.workload, jobsPerSecond: 5 }, executors: 12, lanes: 2 },
        size,
    },
    {
        seed: 1,
        name: "partly-cut",
        shape: { ...shapes["partly-cut"], executors: 4, lanes: 2 },
        size: { hosts: 4, troubleMs: 12_000, calmMs: 15_000 },
    },
];
const plays: readonly Play[] = isByHand
    ? seeds.map(seed => ({ seed, name: shapeName, shape: shapes[shapeName] }))
    : shortPlays;

const program = fileURLToPath(new URL("../../node/dist/main.js", import.meta.url));

describe("hosts as real processes under overlapping faults", () => {
    // Guards against faults that only signals, sockets and late writes of real processes show: lost and doubled runs,
    // starts after a cancelling, refused jobs that run, and processes that end by themselves.
    for (const { seed, name, shape, size } of plays) {
        it(`break no rule of the platform (${name}, seed ${seed})`, async () => {
            const result = await new SoakRun({ seed, program, shape, ...size }).run();
            const broken = Object.entries(result.breaks).flatMap(([rule, texts]) =>
                texts.map(text => `${rule}: ${text}`)
            );
            expect(broken).toEqual([]);
            // A run in which nothing happens would prove nothing.
            expect(result.runs > 20).toEqual(true);
            expect(!("advisedShare" in shape.workload) || result.advice.calls > 0).toEqual(true);
        });
    }
});
