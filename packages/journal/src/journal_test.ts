import { ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { HostId, JobId, Result, ShardId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Journal } from "./journal.js";
import type { JournalOptions } from "./options.js";
import { MemoryStore } from "./testing/memory-store.js";
import type { JournalRecord } from "./types.js";

const shard = toId<ShardId>("glasgow/0");
const job = (name: string | number): JobId => toId<JobId>(`job-${name}`);
const accept = (name: string | number, spec: unknown = {}): JournalRecord => ({
    kind: "jobAccepted",
    job: job(name),
    spec,
    at: 0,
});

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
    describe("append", () => {
        // Guards against a write per record: thousands of records per second must fit 10 commits.
        it("commits many records in at most 10 writes per second", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            const before = fixture.store.writeCount;
            const appends = [];
            // 990 ms: commits can start at 0, 100, ..., 900.
            for (let step = 0; step < 99; step++) {
                for (let count = 0; count < 20; count++) {
                    appends.push(journal.append(accept(`${step}-${count}`)));
                }
                await fixture.clock.advance(10);
            }
            const writes = fixture.store.writeCount - before;
            expect(writes <= 10).toEqual(true);
            await fixture.settle(Promise.all(appends));
            expect(journal.getJobs().size).toEqual(1_980);
        });

        it("splits a batch whose value would be too long and refuses a record that never fits", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1, { maxValueLength: 2_000 });
            const text = "x".repeat(900);
            await fixture.settle(Promise.all([1, 2, 3, 4, 5].map(name => journal.append(accept(name, text)))));
            expect(Math.max(...[...fixture.store.values.values()].map(({ value }) => value.length)) <= 2_000)
                .toEqual(true);
            expect(journal.getJobs().size).toEqual(5);
            expect(await fixture.append(journal, accept(6, text.repeat(3)))).toEqual("journal-record-too-large notRun");
        });

        // Guards against "not run" for a job that is in the journal, and against accepting it twice.
        it("resolves lost answers by the token", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            let losses = 2;
            fixture.store.chooseFault = operation =>
                operation === "write" && losses-- > 0 ? losses === 1 ? "lostCall" : "lostAnswer" : "none";
            expect(await fixture.append(journal, accept(1))).toEqual("ok");
            expect(await fixture.append(journal, accept(1))).toEqual("journal-job-exists notRun");
            expect([...fixture.store.values.keys()].length).toEqual(2);
        });

        it("reports not run while the store is down, and may have run when an answer stays lost", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            fixture.store.chooseFault = () => "down";
            expect(await fixture.append(journal, accept(1))).toEqual("journal-timeout notRun");
            fixture.store.chooseFault = () => "lostAnswer";
            const uncertain = fixture.append(journal, accept(2));
            await fixture.clock.advance(500);
            const queued = fixture.append(journal, accept(3));
            expect(await uncertain).toEqual("journal-timeout mayHaveRun");
            expect(await queued).toEqual("journal-timeout notRun");
            fixture.store.chooseFault = () => "none";
            await fixture.clock.advance(1_000);
            expect([...journal.getJobs().keys()]).toEqual([job(2)]);
        });

        // Guards against a record that makes the journal unreadable for the next owner.
        it("refuses records that cannot be read again", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            const records: JournalRecord[] = [
                accept(1, { size: 1n }),
                { kind: "windowReserved", job: job(1), startedThrough: NaN },
                { kind: "outcomesRecorded", job: job(1), outcome: "failed", ranges: [[3, 2]] },
            ];
            for (const record of records) {
                expect(await fixture.append(journal, record)).toEqual("journal-bad-record notRun");
            }
        });

        it("refuses jobs beyond the bound of the total size", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1, { maxTotalLength: 1_000 });
            expect(await fixture.append(journal, accept(1, "x".repeat(700)))).toEqual("ok");
            expect(await fixture.append(journal, accept(2, "x".repeat(700)))).toEqual("journal-full notRun");
        });
    });

    describe("fencing", () => {
        // Guards against two owners that both append: the later epoch alone may.
        it("refuses the deposed writer, which learns the later epoch", async () => {
            const fixture = new Fixture();
            const codes: string[] = [];
            const old = await fixture.openOk(1, { onFenced: failure => codes.push(failure.message) });
            expect(await fixture.append(old, accept(1))).toEqual("ok");
            const next = await fixture.openOk(2);
            expect(next.getJobs().has(job(1))).toEqual(true);
            expect(await fixture.append(old, accept(2))).toEqual("journal-fenced notRun");
            expect(await fixture.append(old, accept(3))).toEqual("journal-fenced notRun");
            expect(codes).toEqual([`the journal of "glasgow/0" belongs to epoch 2, not 1`]);
            expect(await fixture.append(next, accept(2))).toEqual("ok");
            const reopened = await fixture.open(1);
            expect(reopened.ok ? "" : reopened.val.code).toEqual("journal-fenced");
        });

        // Guards against a deposed writer that resumes after its successor has trimmed the entries.
        it("refuses the deposed writer also after a checkpoint", async () => {
            const fixture = new Fixture();
            const old = await fixture.openOk(1);
            const next = await fixture.openOk(2, { entriesPerCheckpoint: 3 });
            for (let name = 0; name < 10; name++) {
                expect(await fixture.append(next, accept(name))).toEqual("ok");
            }
            await fixture.clock.advance(1_000);
            expect(await fixture.append(old, accept("late"))).toEqual("journal-fenced notRun");
            expect((await fixture.openOk(3)).getJobs().has(job("late"))).toEqual(false);
        });

        it("opens over lost answers", async () => {
            const fixture = new Fixture();
            let losses = 1;
            fixture.store.chooseFault = operation => operation === "write" && losses-- > 0 ? "lostAnswer" : "none";
            const journal = await fixture.openOk(1);
            expect([await fixture.append(journal, accept(1)), fixture.store.values.size]).toEqual(["ok", 2]);
        });
    });

    describe("recovery", () => {
        it("returns jobs with their windows and outcomes, from entries and from checkpoints alike", async () => {
            const records: JournalRecord[] = [
                accept(1, { command: "cut", tasks: 40 }),
                { kind: "windowReserved", job: job(1), startedThrough: 16 },
                { kind: "outcomesRecorded", job: job(1), outcome: "succeeded", ranges: [[0, 3], [5, 5]] },
                { kind: "outcomesRecorded", job: job(1), outcome: "failed", ranges: [[4, 5]] },
                { kind: "windowReserved", job: job(1), startedThrough: 8 },
                { kind: "jobCancelled", job: job(1), at: 9 },
                accept(2),
                { kind: "jobFinished", job: job(2), state: "succeeded", at: 10 },
            ];
            const rows = [];
            for (const entriesPerCheckpoint of [1_000, 2]) {
                const fixture = new Fixture();
                const journal = await fixture.openOk(1, { entriesPerCheckpoint, maxValueLength: 250 });
                for (const record of records) {
                    expect(await fixture.append(journal, record)).toEqual("ok");
                }
                await fixture.clock.advance(1_000);
                const recovered = await fixture.openOk(2);
                expect([...recovered.getJobs().values()]).toEqual([...journal.getJobs().values()]);
                rows.push([...recovered.getJobs().values()]);
            }
            expect(rows[1]).toEqual(rows[0] ?? []);
            expect(rows[0]?.[0]).toEqual({
                job: job(1),
                spec: { command: "cut", tasks: 40 },
                acceptedAt: 0,
                startedThrough: 16,
                outcomes: { succeeded: [[0, 3], [5, 5]], failed: [[4, 4]] },
                cancelledAt: 9,
                finished: undefined,
            });
        });

        // Guards against a journal that grows without bound, and against losing unfinished jobs with it.
        it("keeps a bounded number of values and finished jobs", async t => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1, {
                entriesPerCheckpoint: 20,
                retention: { maxCount: 5, maxAgeMs: 1e9 },
            });
            for (let name = 0; name < 150; name++) {
                await fixture.append(journal, accept(name));
                if (name % 10 !== 0) {
                    const at = fixture.clock.getWallTime();
                    await fixture.append(journal, { kind: "jobFinished", job: job(name), state: "succeeded", at });
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
            it(`leaves a journal alone with a value ${name}`, async () => {
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

        it("reports a missing entry as damage", async () => {
            const fixture = new Fixture();
            const journal = await fixture.openOk(1);
            await fixture.append(journal, accept(1));
            await fixture.append(journal, accept(2));
            fixture.store.values.delete("journal/glasgow/0/entry/000000000002");
            const opened = await fixture.open(2);
            expect(opened.ok ? "" : opened.val.code).toEqual("journal-damaged");
        });
    });
});
