import { ManualClock, SeededRandom } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { hashSecret } from "./key-secret.js";
import { ResourceRepository } from "./resource-repository.js";
import type { TeamResource } from "./schemas.js";
import { MemoryStore } from "./testing/memory-store.js";

const limit = { cpuMillis: 1000, memoryMb: 1024, accelerators: 0, slots: 4 };

function createTeam(version = 0, weight = 1): TeamResource {
    return { kind: "Team", name: "quotes", version, spec: { weight, limit, overLimit: "complete" } };
}

function createFixture() {
    const clock = new ManualClock();
    const store = new MemoryStore(clock);
    const repository = new ResourceRepository({ store, clock, retryDelayMs: 0 });
    /** Advances the clock while an operation waits between its attempts. */
    const settle = async <T>(pending: Promise<T>): Promise<T> => {
        await clock.advance(1000);
        return pending;
    };
    return { clock, store, repository, settle };
}

describe("ResourceRepository", () => {
    it("creates, reads, lists, updates and deletes", async () => {
        const { repository } = createFixture();
        const created = (await repository.create(createTeam())).unwrap();
        expect((await repository.get("Team", "quotes")).unwrap()).toEqual(created);
        const updated = (await repository.update(createTeam(created.version, 5))).unwrap();
        const list = (await repository.list("Team")).unwrap();
        expect(list).toEqual({ items: [updated], problems: [], revision: updated.version });
        expect((await repository.delete("Team", "quotes", updated.version)).ok).toEqual(true);
        expect((await repository.get("Team", "quotes")).val).toLooseEqual({
            code: "not-found",
            message: "Team \"quotes\" does not exist: check the name, or create it",
            verdict: "notRun",
        });
    });

    // Guards against one operator silently overwriting the change of another.
    it("refuses writes and deletions of another version as not run", async () => {
        const { repository } = createFixture();
        const created = (await repository.create(createTeam())).unwrap();
        await repository.update(createTeam(created.version, 5));
        for (
            const [result, code] of [
                [await repository.create(createTeam()), "already-exists"],
                [await repository.update(createTeam(created.version, 7)), "version-conflict"],
                [await repository.delete("Team", "quotes", created.version), "version-conflict"],
            ] as const
        ) {
            expect(result.err ? result.val : {}).toHaveSubset({ code, verdict: "notRun" });
            expect(JSON.stringify(result.val)).toInclude("version 2");
        }
    });

    // Guards against reporting a write as failed although it took effect, and against writing it twice.
    it("resolves lost answers and lost writes", async () => {
        const { repository, store, settle } = createFixture();
        store.responsesToLose = 1;
        const created = (await settle(repository.create(createTeam()))).unwrap();
        expect(created.version).toEqual(1);
        store.writesToLose = 1;
        const updated = (await settle(repository.update(createTeam(created.version, 5)))).unwrap();
        expect(updated.version).toEqual(2);
        store.responsesToLose = 1;
        expect((await settle(repository.delete("Team", "quotes", 2))).ok).toEqual(true);
        expect(store.data.revision).toEqual(3);
    });

    // Guards against a "not run" for a write that took effect and was then overwritten.
    it("reports a conflict after a lost answer as may have run", async () => {
        const { repository, store } = createFixture();
        const created = (await repository.create(createTeam())).unwrap();
        const write = store.write.bind(store);
        store.write = async request => {
            store.write = write;
            const written = (await write(request)).unwrap();
            await repository.update(createTeam(written, 9));
            store.writesToLose = 1;
            return write(request);
        };
        const result = await repository.update(createTeam(created.version, 5));
        expect(result.val).toHaveSubset({ code: "version-conflict", verdict: "mayHaveRun" });
    });

    it("reports an unreachable store with its verdict", async () => {
        const { repository, store, settle } = createFixture();
        store.isPartitioned = true;
        expect((await repository.create(createTeam())).val).toHaveSubset({ verdict: "notRun" });
        store.isPartitioned = false;
        store.writesToLose = 3;
        expect((await settle(repository.create(createTeam()))).val).toHaveSubset({ verdict: "mayHaveRun" });
    });

    // Guards against lost updates and double writes when operators race each other while the store loses messages.
    for (const seed of [1, 2, 3]) {
        it(`counts each accepted update of racing operators once, seed ${seed}`, async t => {
            const { clock, store, repository } = createFixture();
            const random = new SeededRandom(seed);
            await repository.create(createTeam());
            const counts = { accepted: 0, notRun: 0, mayHaveRun: 0 };
            const increment = async (): Promise<void> => {
                await clock.wait(random.getInteger(20));
                const current = (await repository.get("Team", "quotes")).unwrap();
                await clock.wait(random.getInteger(5));
                store.responsesToLose = random.getInteger(3);
                store.writesToLose = random.getInteger(2);
                const result = await repository.update(createTeam(current.version, current.spec.weight + 1));
                counts[result.ok ? "accepted" : result.val.verdict as "notRun"]++;
            };
            const operators = Array.from({ length: 300 }, increment);
            await clock.advance(1_000);
            await Promise.all(operators);
            const { weight } = (await repository.get("Team", "quotes")).unwrap().spec;
            expect(weight - 1 >= counts.accepted).toEqual(true);
            expect(weight - 1 <= counts.accepted + counts.mayHaveRun).toEqual(true);
            expect(counts.accepted > 5 && counts.notRun > 5 && counts.mayHaveRun > 5).toEqual(true);
            t.diagnostic(`result: ${weight - 1} increments, ${JSON.stringify(counts)}`);
        });
    }

    it("returns the secret of a new key once and keeps only its hash", async () => {
        const { repository, store } = createFixture();
        expect((await repository.createKey("quotes-1", "quotes")).val).toHaveSubset({ code: "not-found" });
        await repository.create(createTeam());
        const { key, secret } = (await repository.createKey("quotes-1", "quotes")).unwrap();
        expect(key.spec).toEqual({ team: "quotes", hash: hashSecret(secret) });
        expect(secret.length).toEqual(47);
        expect(JSON.stringify([...store.data.rows.values()]).includes(secret)).toEqual(false);
    });
});
