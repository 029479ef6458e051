import type { QueueId, TeamId } from "@waxwingroute/core";
import { toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { decodeJobRecord, encodeAcceptedJob } from "./store-keys.js";
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
        const decoded = decodeJobRecord(encodeAcceptedJob({ ...accepted, queueRules: testRules })).unwrap();
        expect(decoded.kind === "accepted" ? decoded.queueRules : undefined).toEqual(testRules);
    });

    it("can be without them, as earlier versions store it", () => {
        const decoded = decodeJobRecord(encodeAcceptedJob(accepted)).unwrap();
        expect(decoded.kind === "accepted" ? decoded.queueRules : testRules).toEqual(undefined);
    });
});
