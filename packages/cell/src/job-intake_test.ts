import type { Failure, JobId, QueueId, Result, TeamId } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { JobIntakeOptions } from "./job-intake.js";
import { JobIntake } from "./job-intake.js";
import { decodeJobRecord, epochKey, toCancelKey, toJobKey } from "./store-keys.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

class Fixture {
    readonly clock = new ManualClock();
    readonly data = new MemoryStoreData(this.clock);
    readonly store = new MemoryLeaseStore(this.data);
    readonly intake: JobIntake;

    constructor(options: Partial<JobIntakeOptions> = {}) {
        this.intake = new JobIntake({
            store: this.store,
            clock: this.clock,
            logger: { write: () => undefined },
            supervisor: createStrictSupervisor(this.clock),
            ...options,
        });
    }

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

    /** Cancels a job that is not stored. */
    cancelEarly(name: string, team = "t"): { result: Result<string, Failure> | undefined; } {
        const cancellation: { result: Result<string, Failure> | undefined; } = { result: undefined };
        void this.intake.cancelEarly(toId<JobId>(name), toId<TeamId>(team)).then(result => {
            cancellation.result = result;
        });
        return cancellation;
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

    describe("the cancellation of a job that is not stored", () => {
        // Guards against a job that runs after its cancelling was acknowledged, since its submission was on its way.
        it("keeps a later submission at any host from being stored", async () => {
            const fixture = new Fixture();
            const cancelled = fixture.cancelEarly("a");
            await fixture.clock.advance(20);
            expect(cancelled.result?.val).toEqual("stored");
            const job = fixture.submit("a");
            await fixture.clock.advance(20);
            expect(job.result?.val).toEqual("cancelled");
            expect(fixture.isStored("a")).toEqual(false);
        });

        it("keeps a write from being carried out that is late at the store", async () => {
            const fixture = new Fixture();
            fixture.store.commitFault = "late";
            fixture.submit("a");
            await fixture.clock.advance(300);
            fixture.store.commitFault = "none";
            const cancelled = fixture.cancelEarly("a");
            await fixture.clock.advance(50);
            expect(cancelled.result?.val).toEqual("stored");
            await fixture.clock.advance(5_000);
            expect(fixture.isStored("a")).toEqual(false);
        });

        it("leaves the job alone if it was stored meanwhile, and says so", async () => {
            const fixture = new Fixture();
            fixture.submit("a");
            await fixture.clock.advance(20);
            const cancelled = fixture.cancelEarly("a");
            await fixture.clock.advance(20);
            expect(cancelled.result?.val).toEqual("existed");
            const again = fixture.submit("a");
            await fixture.clock.advance(20);
            expect(again.result?.val).toEqual("existed");
        });

        it("excludes the job also if both are stored at the same time", async () => {
            const fixture = new Fixture();
            // The first three transactions are in flight, so that the others wait and are stored together.
            ["x", "y", "z"].forEach(name => fixture.submit(name));
            const job = fixture.submit("a");
            const cancelled = fixture.cancelEarly("a");
            await fixture.clock.advance(50);
            expect([job.result?.val, cancelled.result?.val]).toEqual(["stored", "existed"]);
        });

        it("does not keep the jobs of other teams from being stored", async () => {
            const fixture = new Fixture();
            fixture.cancelEarly("a", "other");
            await fixture.clock.advance(20);
            const job = fixture.submit("a");
            await fixture.clock.advance(20);
            expect(job.result?.val).toEqual("stored");
        });

        it("is kept for its time, and then removed by the store", async () => {
            const fixture = new Fixture();
            fixture.cancelEarly("a");
            // A later one shares the lease of the first.
            await fixture.clock.advance(25_000);
            fixture.cancelEarly("b");
            await fixture.clock.advance(119_000);
            const late = fixture.submit("b");
            await fixture.clock.advance(20);
            expect(late.result?.val).toEqual("cancelled");
            await fixture.clock.advance(60_000);
            fixture.data.expireLeases();
            expect([...fixture.data.items.keys()].filter(key => key.startsWith("waxwing/cancelled/"))).toEqual([]);
        });

        it("is refused, and not acknowledged, beyond the number that a team may have", async () => {
            const fixture = new Fixture({ maxEarlyCancellations: 2 });
            const first = ["a", "b", "c"].map(name => fixture.cancelEarly(name));
            const other = fixture.cancelEarly("d", "other");
            await fixture.clock.advance(50);
            expect(first.map(({ result }) => result?.ok)).toEqual([true, true, false]);
            expect((first[2]!.result!.val as Failure).verdict).toEqual("notRun");
            expect(other.result?.ok).toEqual(true);
            await fixture.clock.advance(121_000);
            const later = fixture.cancelEarly("c");
            await fixture.clock.advance(50);
            expect(later.result?.ok).toEqual(true);
        });

        it("is not acknowledged while the store does not answer", async () => {
            const fixture = new Fixture();
            fixture.store.mode = "silent";
            const cancelled = fixture.cancelEarly("a");
            await fixture.clock.advance(10_000);
            expect(cancelled.result?.ok).toEqual(false);
        });
    });
});
