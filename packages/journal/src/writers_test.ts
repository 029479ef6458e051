import { ManualClock, SeededRandom, toId } from "@waxwingroute/core";
import type { HostId, JobId, ShardId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Journal } from "./journal.js";
import { MemoryStore } from "./testing/memory-store.js";

const shard = toId<ShardId>("glasgow/0");

/** Owners that succeed each other while earlier ones still write, on a store that loses calls and delays responses. */
class WritersSimulation {
    readonly clock = new ManualClock();
    readonly store = new MemoryStore();
    readonly random: SeededRandom;
    readonly writers: Journal[] = [];
    /** `committed`, or the verdict of the failure, for each append that was answered. */
    readonly results = new Map<JobId, string>();
    readonly failedCheckpoints: string[] = [];
    opens = 0;

    constructor(private readonly seed: number) {
        this.random = new SeededRandom(seed);
        this.store.waitBeforeResponse = () =>
            this.clock.wait(this.random.getInteger(this.random.getInteger(5) === 0 ? 4_000 : 50));
    }

    async run(): Promise<void> {
        for (let step = 0; step < 60; step++) {
            if (step % 12 === 0) {
                void this.openWriter(step / 12 + 1);
            }
            this.store.chooseFault = this.random.getInteger(3) === 0 ? () => this.chooseFault() : () => "none";
            for (const writer of this.writers.slice(-2)) {
                this.appendJobs(writer, step);
            }
            await this.clock.advance(this.random.getInteger(800));
        }
        this.store.chooseFault = () => "none";
        await this.clock.advance(30_000);
    }

    private chooseFault(): "lostAnswer" | "lostCall" | "down" | "none" {
        return this.random.pickOne(["lostAnswer", "lostCall", "down", "none", "none"] as const) ?? "none";
    }

    async openWriter(epoch: number): Promise<Journal | undefined> {
        const opened = await Journal.open({
            shard,
            epoch,
            host: toId<HostId>("a"),
            store: this.store,
            clock: this.clock,
            random: new SeededRandom(this.seed * 100 + epoch),
            entriesPerCheckpoint: 4,
            onCheckpointFailed: failure => this.failedCheckpoints.push(failure.code),
        });
        if (opened.ok) {
            this.opens++;
            this.writers.push(opened.val);
            return opened.val;
        }
        return undefined;
    }

    private appendJobs(writer: Journal, step: number): void {
        for (let count = this.random.getInteger(3); count > 0; count--) {
            const job = toId<JobId>(`${this.writers.indexOf(writer)}-${step}-${count}`);
            void writer.append({ kind: "jobAccepted", job, spec: {}, at: 0 }).then(result => {
                this.results.set(job, result.ok ? "committed" : result.val.verdict);
            });
        }
    }
}

describe("Journal with writers of several epochs", () => {
    // Guards against accepted jobs that are lost, and against jobs in the journal that were refused with `notRun`.
    it("recovers every committed record and none that was refused", async t => {
        const violations: string[] = [];
        const counts: Record<string, number> = {};
        for (let seed = 1; seed <= 25; seed++) {
            const simulation = new WritersSimulation(seed);
            await simulation.run();
            let recovered: Journal | undefined;
            void simulation.openWriter(100).then(journal => {
                recovered = journal;
            });
            await simulation.clock.advance(15_000);
            const jobs = recovered?.getJobs();
            expect(jobs === undefined).toEqual(false);
            for (const [job, result] of simulation.results) {
                counts[result] = (counts[result] ?? 0) + 1;
                const isKept = jobs?.has(job) ?? false;
                if (result === "committed" && !isKept || result === "notRun" && isKept) {
                    violations.push(
                        `seed ${seed}: append of job ${job} returned ${result}, which recovery contradicts`,
                    );
                }
            }
        }
        t.diagnostic(`result: 25 runs, appends ${JSON.stringify(counts)}, ${violations.length} violations`);
        expect(violations.join("\n")).toEqual("");
    });
});
