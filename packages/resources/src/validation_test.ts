import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { parseResource } from "./validation.js";

const limit = { cpuMillis: 1000, memoryMb: 1024, accelerators: 0, slots: 4 };
const job = {
    kind: "batch",
    team: "quotes",
    taskCount: 3,
    resources: { cpuMillis: 500, memoryMb: 256 },
    command: "price-list --all",
};

function getParseMessage(value: unknown): string {
    const parsed = parseResource(value);
    return parsed.ok ? "accepted" : parsed.val.message;
}

describe("parseResource", () => {
    it("sets absent optional fields to their defaults", () => {
        const parsed = parseResource({ kind: "Team", name: "quotes", spec: { limit } }).unwrap();
        expect(parsed).toEqual({
            kind: "Team",
            name: "quotes",
            version: 0,
            spec: { weight: 1, limit, overLimit: "complete" },
        });
    });

    // Guards against messages that do not tell an operator which field to correct and how.
    it("names the path of the field, its value and the correction", () => {
        const parseLimit = (changed: object): string =>
            getParseMessage({ kind: "Team", name: "quotes", spec: { limit: { ...limit, ...changed } } });
        expect(parseLimit({ slots: -1 })).toEqual(
            "Team \"quotes\": spec.limit.slots is -1: use an integer from 0 to 1000000",
        );
        expect(parseLimit({ slots: 1.5 })).toInclude("spec.limit.slots is 1.5: use an integer from 0 to 1000000");
        expect(parseLimit({ memoryMb: 1e300 })).toInclude("spec.limit.memoryMb is 1e+300: use an integer");
        expect(parseLimit({ cpuMillis: "8" })).toInclude("spec.limit.cpuMillis is \"8\": use an integer");
        expect(parseLimit({ cpus: 8 })).toInclude("spec.limit has unknown field \"cpus\": remove or correct it");
        expect(getParseMessage({ kind: "Team", name: "quotes" })).toInclude("spec is (absent): use an object");
        expect(getParseMessage({ kind: "Crew", name: "quotes", spec: {} })).toInclude(
            "kind is \"Crew\": use one of Team, Key, Queue, Drain, Job",
        );
        expect(getParseMessage({ kind: "Team", name: "Quotes", spec: {} })).toInclude(
            "name is \"Quotes\": use 1 to 63",
        );
        expect(getParseMessage({ kind: "Queue", name: "orders", spec: { access: "all" } })).toInclude(
            "spec.access is \"all\": use \"team\" or \"open\"",
        );
        expect(getParseMessage([])).toInclude("the value is []: use an object");
    });

    // Guards against storing a secret because a field of that name is accepted.
    it("rejects a key with a secret without showing the secret", () => {
        const spec = { team: "quotes", hash: "0".repeat(64), secret: "wxr_private" };
        const message = getParseMessage({ kind: "Key", name: "quotes-1", spec });
        expect(message).toInclude("unknown field \"secret\"");
        expect(message.includes("wxr_private")).toEqual(false);
    });

    it("validates the fields of a job alone and in combination", () => {
        const parseJob = (changed: object): string =>
            getParseMessage({ kind: "Job", name: "cut-lists", spec: { ...job, ...changed } });
        expect(parseJob({})).toEqual("accepted");
        expect(parseJob({ deadline: "2026-12-05T06:00:00Z", estimatedRunMs: 60000 })).toEqual("accepted");
        expect(parseJob({ deadline: "tomorrow" })).toInclude(
            "spec.deadline is \"tomorrow\": use a time with an offset",
        );
        expect(parseJob({ kind: "gang", taskCount: 1001 })).toInclude("spec.taskCount is 1001: use at most 1000");
        expect(parseJob({ kind: "service", estimatedRunMs: 5 })).toInclude("spec.estimatedRunMs is 5: remove it");
        expect(parseJob({ resources: { cpuMillis: 0, memoryMb: 1 } })).toInclude("spec.resources.cpuMillis is 0");
        expect(parseJob({ command: "rm\u0000" })).toInclude("spec.command");
        expect(parseJob({ taskCount: 100001 })).toInclude("spec.taskCount is 100001");
    });

    // Guards against an exception or an empty message for some JSON value.
    it("returns a resource or a message for any JSON value", () => {
        const resourceWithAnySpec = fc.tuple(fc.constantFrom("Team", "Key", "Queue", "Drain", "Job"), fc.jsonValue())
            .map(
                ([kind, spec]) => ({ kind, name: "a", spec }),
            );
        const property = fc.property(fc.oneof(fc.jsonValue(), resourceWithAnySpec), value => {
            const parsed = parseResource(value);
            return parsed.ok || parsed.val.verdict === "notRun" && parsed.val.message.length > 20;
        });
        fc.assert(property, { seed: 20261204, numRuns: 3000 });
    });
});
