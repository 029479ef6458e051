import { ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { HostId, JobId, Result, ShardId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Journal } from "./journal.js";
import type { JournalOptions } from "./options.js";
import { MemoryStore } from "./testing/memory-store.js";
import type { JournalRecord } from "./types.js";

const shard = toId<ShardId>("glasgow/0");
const toJobId = (name: string | number): JobId => toId<JobId>(`job-${name}`);
const makeAccepted = (name: string | number, spec: unknown = {}): JournalRecord => ({
    kind: "jobAccepted",
    job: toJobId(name),
    spec,
    at: 0,
});

/** A store, a clock and the journals that a test opens on them. */
class Fixture {
    readonly store = new MemoryStore();
    readonly clock = new ManualClock();
    private seed = 0;

    async open(epoch: number, options: Partial<JournalOptions> = {}): Promise<Result<Journal, { code: string; }>> {
        this.seed++;
        const random = new SeededRandom(this.seed);
        const { store, clock } = this;
        return this.settle(Journal.open({ shard, epoch, host: toId<HostId>("a"), store, clock, random, ...options }));
    }

    async openOk(epoch: number, options: Partial<JournalOptions> = {}): Promise<Journal> {
        return (await this.open(epoch, options)).unwrap();
    }

    /** Advances the clock until a promise has settled. */
    async settle<T>(promise: Promise<T>): Promise<T> {
        let isSettled = false;
        void promise.finally(() => {
            isSettled = true;
        });
        for (let step = 0; step < 400 && !isSettled; step++) {
            await this.clock.advance(50);
        }
        return promise;
    }

    async append(journal: Journal, record: JournalRecord): Promise<string> {
        const result = await this.settle(journal.append(record));
        return result.ok ? "ok" : `${result.val.code} ${result.val.verdict}`;
    }
}

describe("Journal", () => {
    describe("appending records", () => {
        // Guards against one write per record: thousands of records per second must fit into 10 commits.
        it("commits many records in at most 10 writes per second", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            const writesBefore = fixture.store.writeCount;
            const appends = [];
            // 990 ms: commits can start at 0, 100, ..., 900.
            for (let step = 0; step < 99; step++) {
                for (let count = 0; count < 20; count++) {
                    appends.push(journal.append(makeAccepted(`${step}-${count}`)));
                }
                await fixture.clock.advance(10);
            }
            const writes = fixture.store.writeCount - writesBefore;
            expect(writes <= 10).toEqual(true);
            await fixture.settle(Promise.all(appends));
            expect(journal.getJobs().size).toEqual(1_980);
        });

        // Guards against a value that the store refuses because it is too large.
        it("splits a batch that is too long for one value and refuses a record that is", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1, { maxValueLength: 2_000 });
            const text = "x".repeat(900);
            await fixture.settle(Promise.all([1, 2, 3, 4, 5].map(name => journal.append(makeAccepted(name, text)))));
            expect(Math.max(...[...fixture.store.values.values()].map(({ value }) => value.length)) <= 2_000)
                .toEqual(true);
            expect(journal.getJobs().size).toEqual(5);
            expect(await fixture.append(journal, makeAccepted(6, text.repeat(3)))).toEqual(
                "journal-record-too-large notRun",
            );
        });

        // Guards against the verdict `notRun` for a job that is in the journal, and against accepting the job twice.
        it("finds out by the token whether a write without a response took effect", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            let remainingFaults = 2;
            fixture.store.chooseFault = operation =>
                operation === "write" && remainingFaults-- > 0
                    ? remainingFaults === 1 ? "lostCall" : "lostAnswer"
                    : "none";
            expect(await fixture.append(journal, makeAccepted(1))).toEqual("ok");
            expect(await fixture.append(journal, makeAccepted(1))).toEqual("journal-job-exists notRun");
            expect([...fixture.store.values.keys()].length).toEqual(2);
        });

        // Guards against the verdict `notRun` for a record that is committed after its timeout.
        it("fails with notRun while the store is down and with mayHaveRun while a response is missing", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            fixture.store.chooseFault = () => "down";
            expect(await fixture.append(journal, makeAccepted(1))).toEqual("journal-timeout notRun");
            fixture.store.chooseFault = () => "lostAnswer";
            const uncertain = fixture.append(journal, makeAccepted(2));
            await fixture.clock.advance(500);
            const queued = fixture.append(journal, makeAccepted(3));
            expect(await uncertain).toEqual("journal-timeout mayHaveRun");
            expect(await queued).toEqual("journal-timeout notRun");
            fixture.store.chooseFault = () => "none";
            await fixture.clock.advance(1_000);
            expect([...journal.getJobs().keys()]).toEqual([toJobId(2)]);
        });

        // Guards against a record that makes the journal unreadable for the next owner.
        it("refuses a record that recovery could not read", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            const records: JournalRecord[] = [
                makeAccepted(1, { size: 1n }),
                { kind: "windowReserved", job: toJobId(1), startedThrough: NaN },
                { kind: "outcomesRecorded", job: toJobId(1), outcome: "failed", ranges: [[3, 2]] },
            ];
            for (const record of records) {
                expect(await fixture.append(journal, record)).toEqual("journal-bad-record notRun");
            }
        });

        // Guards against a journal that grows until recovery no longer fits in memory.
        it("refuses a job that exceeds the maximum total length", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1, { maxTotalLength: 1_000 });
            expect(await fixture.append(journal, makeAccepted(1, "x".repeat(700)))).toEqual("ok");
            expect(await fixture.append(journal, makeAccepted(2, "x".repeat(700)))).toEqual("journal-full notRun");
        });
    });

    describe("fencing of deposed writers", () => {
        // Guards against two owners that both append, although only the owner of the later epoch may.
        it("refuses the deposed writer and tells it the later epoch", async () => {
            const fixture = new Fixture();
            const fencedMessages: string[] = [];
            const deposed = await fixture.openOk(1, { onFenced: failure => fencedMessages.push(failure.message) });
            expect(await fixture.append(deposed, makeAccepted(1))).toEqual("ok");
            const successor = await fixture.openOk(2);
            expect(successor.getJobs().has(toJobId(1))).toEqual(true);
            expect(await fixture.append(deposed, makeAccepted(2))).toEqual("journal-fenced notRun");
            expect(await fixture.append(deposed, makeAccepted(3))).toEqual("journal-fenced notRun");
            expect(fencedMessages).toEqual([`the journal of "glasgow/0" belongs to epoch 2, not to epoch 1`]);
            expect(await fixture.append(successor, makeAccepted(2))).toEqual("ok");
            const reopened = await fixture.open(1);
            expect(reopened.ok ? "" : reopened.val.code).toEqual("journal-fenced");
        });

        // Guards against a deposed writer that appends because its successor's checkpoint has deleted the entries.
        it("refuses the deposed writer after the successor has written a checkpoint", async () => {
            const fixture = new Fixture();
            const deposed = await fixture.openOk(1);
            const successor = await fixture.openOk(2, { entriesPerCheckpoint: 3 });
            for (let name = 0; name < 10; name++) {
                expect(await fixture.append(successor, makeAccepted(name))).toEqual("ok");
            }
            await fixture.clock.advance(1_000);
            expect(await fixture.append(deposed, makeAccepted("late"))).toEqual("journal-fenced notRun");
            expect((await fixture.openOk(3)).getJobs().has(toJobId("late"))).toEqual(false);
        });

        // Guards against an owner that takes its own fence for that of another writer.
        it("opens when the response to the write of the fence is lost", async () => {
            const fixture = new Fixture();
            let remainingFaults = 1;
            fixture.store.chooseFault = operation =>
                operation === "write" && remainingFaults-- > 0 ? "lostAnswer" : "none";
            const journal = await fixture.openOk(1);
            expect([await fixture.append(journal, makeAccepted(1)), fixture.store.values.size]).toEqual(["ok", 2]);
        });
    });

    describe("recovery of stored journals", () => {
        // Guards against windows or outcomes that are lost when a checkpoint replaces entries.
        it("returns the same jobs, windows and outcomes from entries and from checkpoints", async () => {
            const records: JournalRecord[] = [
                makeAccepted(1, { command: "cut", tasks: 40 }),
                { kind: "windowReserved", job: toJobId(1), startedThrough: 16 },
                { kind: "outcomesRecorded", job: toJobId(1), outcome: "succeeded", ranges: [[0, 3], [5, 5]] },
                { kind: "outcomesRecorded", job: toJobId(1), outcome: "failed", ranges: [[4, 5]] },
                { kind: "windowReserved", job: toJobId(1), startedThrough: 8 },
                { kind: "jobCancelled", job: toJobId(1), at: 9 },
                makeAccepted(2),
                { kind: "jobFinished", job: toJobId(2), state: "succeeded", at: 10 },
            ];
            const recoveredRows = [];
            for (const entriesPerCheckpoint of [1_000, 2]) {
                const fixture = new Fixture();
                const journal = await fixture.openOk(1, { entriesPerCheckpoint, maxValueLength: 250 });
                for (const record of records) {
                    expect(await fixture.append(journal, record)).toEqual("ok");
                }
                await fixture.clock.advance(1_000);
                const recovered = await fixture.openOk(2);
                expect([...recovered.getJobs().values()]).toEqual([...journal.getJobs().values()]);
                recoveredRows.push([...recovered.getJobs().values()]);
            }
            expect(recoveredRows[1]).toEqual(recoveredRows[0] ?? []);
            expect(recoveredRows[0]?.[0]).toEqual({
                job: toJobId(1),
                spec: { command: "cut", tasks: 40 },
                acceptedAt: 0,
                startedThrough: 16,
                outcomes: { succeeded: [[0, 3], [5, 5]], failed: [[4, 4]] },
                cancelledAt: 9,
                finished: undefined,
            });
        });

        // Guards against a journal that grows without bound, and against unfinished jobs that are removed with it.
        it("keeps a bounded number of values and finished jobs, and all unfinished jobs", async t => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1, {
                entriesPerCheckpoint: 20,
                retention: { maxCount: 5, maxAgeMs: 1e9 },
            });
            for (let name = 0; name < 150; name++) {
                await fixture.append(journal, makeAccepted(name));
                if (name % 10 !== 0) {
                    const at = fixture.clock.getWallTime();
                    await fixture.append(journal, { kind: "jobFinished", job: toJobId(name), state: "succeeded", at });
                }
            }
            await fixture.clock.advance(5_000);
            t.diagnostic(`result: ${fixture.store.values.size} values after 285 entries`);
            expect(fixture.store.values.size < 30).toEqual(true);
            const rows = [...(await fixture.openOk(2)).getJobs().values()];
            expect(rows.filter(row => row.finished === undefined).length).toEqual(15);
            expect(rows.filter(row => row.finished !== undefined).length < 30).toEqual(true);
        });

        for (
            const [name, value, code] of [
                ["of a newer version", `{"version":2}`, "journal-newer-version"],
                ["that is damaged", `{"version":1,"records":3}`, "journal-damaged"],
                ["that is not JSON", "\u0000", "journal-damaged"],
            ] as const
        ) {
            it(`fails to open a journal with a value ${name} and writes nothing`, async () => {
                const fixture = new Fixture();
                fixture.store.values.set("journal/glasgow/0/entry/000000000001", {
                    value,
                    revision: 1,
                    token: toId("x"),
                });
                const opened = await fixture.open(1);
                expect([opened.ok ? "" : opened.val.code, fixture.store.writeCount]).toEqual([code, 0]);
            });
        }

        // Guards against a gap in the entries that is recovered as if no record were missing.
        it("fails with journal-damaged if an entry is missing", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            await fixture.append(journal, makeAccepted(1));
            await fixture.append(journal, makeAccepted(2));
            fixture.store.values.delete("journal/glasgow/0/entry/000000000002");
            const opened = await fixture.open(2);
            expect(opened.ok ? "" : opened.val.code).toEqual("journal-damaged");
        });
    });
});
