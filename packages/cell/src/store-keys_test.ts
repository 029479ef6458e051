import type { QueueId, TeamId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { decodeJobRecord, encodeAcceptedJob, encodeFinishedJob } from "./store-keys.js";
import { createStep, testRules } from "./testing/cell-simulation.js";

describe("the stored form of an accepted job", () => {
    const accepted = {
        kind: "accepted",
        queue: toId<QueueId>("orders"),
        team: toId<TeamId>("sales"),
        acceptedAtWallMs: 5,
        epoch: 3,
        spec: { payload: "x", steps: [createStep({})] },
    } as const;

    it("keeps the rules of its queue", () => {
        // Guards against a job that the next owner cannot schedule, because its queue has been removed meanwhile.
        const record = { ...accepted, queueRules: testRules, queueRulesVersion: 7 };
        const decoded = decodeJobRecord(encodeAcceptedJob(record)).unwrap();
        expect(decoded.kind === "accepted" ? decoded.queueRules : undefined).toEqual(testRules);
        expect(decoded.kind === "accepted" ? decoded.queueRulesVersion : undefined).toEqual(7);
    });

    it("can be without them, as earlier versions store it", () => {
        const decoded = decodeJobRecord(encodeAcceptedJob(accepted)).unwrap();
        expect(decoded.kind === "accepted" ? decoded.queueRules : testRules).toEqual(undefined);
    });
});

describe("the stored form of a finished job", () => {
    const finished = { state: "cancelled", queue: toId<QueueId>("orders") } as const;
    const resources = { cpuMillis: 500, memoryMb: 200, accelerators: 1 };

    it("keeps its team and the tasks of which runs may go on", () => {
        // Guards against a successor that does not charge these runs to the team.
        const tasks = [
            { occurrence: 0, step: 2, resources, indexes: [0, 1, 2, 7, 9, 10] },
            { occurrence: 4, step: 0, resources, indexes: [5] },
        ];
        const remaining = { team: toId<TeamId>("sales"), tasks };
        const decoded = decodeJobRecord(encodeFinishedJob({ ...finished, remaining })).unwrap();
        expect(decoded).toEqual({ kind: "finished", ...finished, remaining });
    });

    // Guards against a damaged record of a few bytes for which the next owner creates millions of rows.
    const cases: readonly (readonly [
        string,
        boolean,
        readonly (readonly [number, number, readonly (readonly number[])[]])[],
    ])[] = [
        ["the largest job", true, [0, 1, 2, 3].map(step => [0, step, [[0, 4_999]]])],
        ["one task more than a step can have", false, [[0, 0, [[5_000, 5_000]]]]],
        ["one step more than a job can have", false, [[0, 500, [[0, 0]]]]],
        ["one task more than a job can have", false, [
            ...[0, 1, 2, 3].map(step => [0, step, [[0, 4_999]]] as const),
            [0, 4, []],
        ]],
        ["a range that is stored many times", false, [[0, 0, Array.from({ length: 17 }, () => [0, 4_999])]]],
        [
            "a last task in many occurrences",
            false,
            Array.from({ length: 17 }, (_, number) => [number, 0, [[4_999, 4_999]]]),
        ],
        [
            "a last step in many occurrences",
            false,
            Array.from({ length: 161 }, (_, number) => [number, 499, [[0, 0]]]),
        ],
        [
            "as many occurrences as can be open",
            true,
            Array.from({ length: 20_000 }, (_, number) => [number, 0, [[0, 0]]]),
        ],
    ];
    for (const [name, isKept, rows] of cases) {
        it(`${isKept ? "keeps" : "ignores"} the tasks of ${name}`, () => {
            const tasks = rows.map(([occurrence, step, ranges]) => [occurrence, step, 1, 1, 0, ranges]);
            const decoded = decodeJobRecord(JSON.stringify({ ...finished, remaining: { team: "sales", tasks } }))
                .unwrap();
            expect(decoded.kind === "finished" && decoded.state).toEqual("cancelled");
            expect(decoded.kind === "finished" && decoded.remaining !== undefined).toEqual(isKept);
        });
    }

    it("keeps its team also without such tasks", () => {
        // Guards against a host that knows a job only from the store and tells other teams of it.
        const team = toId<TeamId>("sales");
        expect(decodeJobRecord(encodeFinishedJob({ ...finished, team })).unwrap().team).toEqual(team);
    });

    it("can be without them, as earlier versions store it", () => {
        const text = JSON.stringify(finished);
        expect(encodeFinishedJob(finished)).toEqual(text);
        expect(decodeJobRecord(text).unwrap()).toEqual({ kind: "finished", ...finished, remaining: undefined });
    });

    it("stays that of a finished job for earlier versions, which know its state and queue only", () => {
        const remaining = { team: toId<TeamId>("sales"), tasks: [] };
        const stored = JSON.parse(encodeFinishedJob({ ...finished, team: remaining.team, remaining })) as Record<
            string,
            unknown
        >;
        expect([stored["state"], stored["queue"]]).toEqual([finished.state, finished.queue]);
        // Earlier versions take a value with these fields for an accepted job.
        expect(["team", "at", "spec"].filter(field => field in stored)).toEqual([]);
    });
});
