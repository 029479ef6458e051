import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { generateParser, readParser } from "./generate-parser.js";
import { parseScenario } from "./parse-scenario.js";

const directory = fileURLToPath(new URL("../scenarios/", import.meta.url));

function parseOne(text: string): unknown {
    return parseScenario("test", text).unwrap()[0];
}

function getMessage(text: string): string {
    const result = parseScenario("outage.scenario", text);
    return result.ok ? "valid" : result.val.message;
}

describe("parseScenario", () => {
    // Guards against a grammar that was changed without generating the parser.
    it("uses the parser that the grammar generates", () => {
        expect(readParser() === generateParser()).toEqual(true);
    });

    it("reads every committed scenario", () => {
        const files = readdirSync(directory).filter(file => file.endsWith(".scenario"));
        expect(files.length).toBeGreaterThan(0);
        for (const file of files) {
            const steps = parseScenario(file, readFileSync(`${directory}${file}`, "utf8")).unwrap();
            expect(steps.some(step => step.kind === "expect")).toEqual(true);
        }
    });

    it("reads steps with their place, comments and line ends", () => {
        const steps = parseScenario("test", "# comment\r\n\r\n  wait 1.5s # later\r\n\tkill all\r\n").unwrap();
        expect(steps).toEqual([
            { kind: "wait", durationMs: 1_500, line: 3, column: 3 },
            { kind: "kill", name: "all", line: 4, column: 2 },
        ]);
    });

    it("reads options of submissions", () => {
        const place = { line: 1, column: 1 };
        expect(parseOne("submit job cuts for sales, tasks 20, command \"run 1s\", safe to repeat, run time 1s"))
            .toEqual({
                kind: "submitJob",
                name: "cuts",
                team: "sales",
                tasks: 20,
                command: "run 1s",
                isSafeToRepeat: true,
                estimatedRunMs: 1_000,
                ...place,
            });
        expect(parseOne("submit 3 requests to orders, idempotent, deadline 2s, with request keys, at glasgow-1"))
            .toEqual({
                kind: "submitRequests",
                count: 3,
                queue: "orders",
                isIdempotent: true,
                deadlineMs: 2_000,
                hasRequestKeys: true,
                at: "glasgow-1",
                ...place,
            });
    });

    it("reads expectations with bounds, groups and times", () => {
        expect(parseOne("expect tasks running at least 5 of team sales within 3s")).toEqual({
            kind: "expect",
            expectation: {
                kind: "tasks",
                state: "running",
                bound: { kind: "atLeast", value: 5 },
                group: { by: "team", name: "sales" },
            },
            withinMs: 3_000,
            text: "expect tasks running at least 5 of team sales within 3s",
            line: 1,
            column: 1,
        });
    });

    // Guards against errors that do not tell where and what to correct.
    describe("errors", () => {
        it("names file, line, column and what was expected", () => {
            expect(getMessage("wait 1s\nwait soon")).toEqual(
                "outage.scenario:2:6: Expected a duration (200ms, 1.5s, 2m) but \"s\" found.",
            );
            expect(getMessage("expect tasks flying 3")).toEqual(
                expect.includes("1:14: Expected running, started, succeeded, failed or stopped"),
            );
            expect(getMessage("make glasgow explode requests")).toEqual(
                expect.includes("1:14: Expected echo, fail, refuse"),
            );
        });

        it("says why a JSON object is not valid", () => {
            expect(getMessage("declare Team sales {\"weight\": }")).toEqual(
                expect.includes("outage.scenario:1:20: the JSON object is not valid"),
            );
        });

        it("refuses what only begins like a step", () => {
            for (const text of ["kill", "kill a b", "wait 10", "start the stores now", "expect requests answered 1x"]) {
                expect(getMessage(text)).toEqual(expect.regex(/^outage\.scenario:1:\d+: Expected /));
            }
        });
    });
});
