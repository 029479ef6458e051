import type { Failure, JobId, QueueId, Result, TeamId } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { JobIntake } from "./job-intake.js";
import { decodeJobRecord, epochKey, toCancelKey, toJobKey } from "./store-keys.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly data = new MemoryStoreData(this.clock);
    readonly store = new MemoryLeaseStore(this.data);
    readonly intake = new JobIntake({
        store: this.store,
        clock: this.clock,
        logger: { write: () => undefined },
        supervisor: createStrictSupervisor(this.clock),
    });

    submit(name: string): { result: Result<string, Failure> | undefined; } {
        const submission: { result: Result<string, Failure> | undefined; } = { result: undefined };
        void this.intake.submit(toId<JobId>(name), {
            kind: "accepted",
            queue: toId<QueueId>("q"),
            team: toId<TeamId>("t"),
            acceptedAtWallMs: 0,
            spec: { payload: "", steps: [] },
        }).then(result => {
            submission.result = result;
        });
        return submission;
    }

    getEpoch(name: string): number | undefined {
        const record = decodeJobRecord(this.data.items.get(toJobKey(toId<JobId>(name)))?.value ?? "");
        return record.ok && record.val.kind === "accepted" ? record.val.epoch : undefined;
    }

    isStored(name: string): boolean {
        return this.data.items.has(toJobKey(toId<JobId>(name)));
    }
}

describe("JobIntake", () => {
    it("answers a submission only after the job is stored", async () => {
        const fixture = new Fixture();
        const job = fixture.submit("a");
        expect(job.result).toEqual(undefined);
        await fixture.clock.advance(10);
        expect(job.result?.val).toEqual("stored");
        expect(fixture.isStored("a")).toEqual(true);
    });

    it("stores each job once, even if another job of its batch already exists", async () => {
        const fixture = new Fixture();
        fixture.submit("a");
        await fixture.clock.advance(10);
        const results = ["a", "b", "c"].map(name => fixture.submit(name));
        await fixture.clock.advance(50);
        expect(results.map(submission => submission.result?.val)).toEqual(["existed", "stored", "stored"]);
    });

    it("reports a job as accepted when a retry finds that the unanswered write was carried out", async () => {
        // Guards against an unknown outcome for a job that is known to be stored.
        const fixture = new Fixture();
        fixture.store.commitFault = "answerLost";
        const job = fixture.submit("a");
        await fixture.clock.advance(100);
        fixture.store.commitFault = "none";
        await fixture.clock.advance(1_500);
        expect(job.result?.ok).toEqual(true);
    });

    it("does not report a job as refused whose write may still be carried out", async () => {
        // Guards against a caller being told that a job was refused which then runs.
        const fixture = new Fixture();
        fixture.store.commitFault = "late";
        fixture.store.lateMs = 5_000;
        const job = fixture.submit("a");
        await fixture.clock.advance(100);
        fixture.store.mode = "refusing";
        await fixture.clock.advance(3_000);
        expect((job.result?.val as Failure).verdict).toEqual("mayHaveRun");
        await fixture.clock.advance(5_000);
        expect(fixture.isStored("a")).toEqual(true);
    });

    it("refuses submissions at once with a retry delay during an outage, and accepts them after it", async () => {
        const fixture = new Fixture();
        fixture.data.mode = "refusing";
        fixture.submit("a");
        await fixture.clock.advance(2_000);
        const refused = fixture.submit("b");
        await fixture.clock.advance(1);
        expect((refused.result?.val as Failure).verdict).toEqual("notRun");
        expect((refused.result?.val as Failure).retryAfterMs).toEqual(1_000);
        fixture.data.mode = "up";
        await fixture.clock.advance(500);
        const accepted = fixture.submit("c");
        await fixture.clock.advance(50);
        expect(accepted.result?.ok).toEqual(true);
    });

    it("stores a job with the current epoch of the cell, even if the host has not learned of that epoch", async () => {
        // Guards against a deposed owner that starts the job: its record must hold the epoch of the last acquisition.
        const fixture = new Fixture();
        const write = { key: epochKey, value: "7" };
        fixture.data.execute({ kind: "commit", transaction: { conditions: [], writes: [write], removals: [] } });
        const job = fixture.submit("a");
        await fixture.clock.advance(100);
        expect(job.result?.val).toEqual("stored");
        expect(fixture.getEpoch("a")).toEqual(7);
    });

    it("does not store a job with an earlier epoch when the write is carried out late", async () => {
        // Guards against a job that is stored after a takeover with an epoch that lets the deposed owner start it.
        const fixture = new Fixture();
        fixture.store.commitFault = "late";
        fixture.store.lateMs = 2_000;
        fixture.submit("a");
        await fixture.clock.advance(50);
        fixture.store.commitFault = "none";
        const write = { key: epochKey, value: "1" };
        fixture.data.execute({ kind: "commit", transaction: { conditions: [], writes: [write], removals: [] } });
        await fixture.clock.advance(3_000);
        expect(fixture.getEpoch("a")).toEqual(1);
    });

    it("stores a cancellation under the cancellation key of the job", async () => {
        const fixture = new Fixture();
        void fixture.intake.cancel(toId<JobId>("a"));
        await fixture.clock.advance(10);
        expect(fixture.data.items.has(toCancelKey(toId<JobId>("a")))).toEqual(true);
    });
});
