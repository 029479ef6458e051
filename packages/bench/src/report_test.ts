import { expect } from "earl";
import { describe, it } from "node:test";
import type { BenchReport, Goal } from "./report.js";
import { compareReports, formatSection } from "./report.js";

describe("formatSection", () => {
    // Guards against a goal that is printed as met whatever was measured.
    it("prints a missed goal as missed", () => {
        const goal: Goal = { name: "wait", value: 6, unit: "s", bound: 5.7, direction: "below" };
        const rate: Goal = { name: "rate", value: 20_000, unit: "/s", bound: 20_000, direction: "atLeast" };
        const lines = formatSection({ section: "a", lines: [], figures: [], goals: [goal, rate] });
        expect(lines.slice(1, 3)).toEqual([
            "MISSED wait: 6 s, goal below 5.7 s",
            "met    rate: 20,000 /s, goal at least 20,000 /s",
        ]);
    });
});

describe("compareReports", () => {
    const createReport = (values: Record<string, number>): BenchReport => ({
        seed: 1,
        nodeVersion: "",
        sections: [{
            section: "a",
            lines: [],
            goals: [],
            figures: Object.entries(values).map(([name, value]) => ({ name, value, unit: "s" })),
        }],
    });

    // Guards against a regression that the comparison does not show.
    it("lists the figures that changed by more than 5%", () => {
        const lines = compareReports(
            createReport({ same: 104, worse: 120, added: 1 }),
            createReport({ same: 100, worse: 100 }),
        );
        expect(lines.slice(1)).toEqual(["worse: 100 -> 120 s (+20%)", "added: 1 s, not in the baseline"]);
    });
});
