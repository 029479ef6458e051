import type { Failure, JobId, NetworkAddress, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok, SeededRandom, SystemClock, toId } from "@waxwingroute/core";
import type { AdviceGrant, JobState, PoolId } from "@waxwingroute/workflow";
import { expect } from "earl";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import { afterEach, describe, it } from "node:test";
import { Advisor } from "./advisor.js";
import { CellHost } from "./cell-host.js";
import { CellOwner } from "./cell-owner.js";
import { ConfigurationTracker } from "./configuration-tracker.js";
import type { CellConfiguration } from "./configuration.js";
import { gatewayFailures } from "./job-gateway.js";
import { storeFailures } from "./store.js";
import {
    createStep,
    limitedTeam,
    TestCodec,
    testConfiguration,
    testQueue,
    testTeam,
} from "./testing/cell-simulation.js";
import { FakeConnector, FakeExecutor, toFakeAddress, toFakeExecutorId } from "./testing/fake-executor.js";
import { InvariantChecker } from "./testing/invariant-checker.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

class NoAdvisor extends Advisor {
    override async ask(): Promise<Result<readonly AdviceGrant[], Failure>> {
        return Err(createFailure("none", "no queue of this test has an advisor", "notRun"));
    }
}

/** Takes the value of the configuration key for its version. The queue has another pool from version 2 on. */
class MovingQueueCodec extends TestCodec {
    override decodeConfiguration(text?: string): Result<CellConfiguration, Failure> {
        const version = Number(text);
        const queues = testConfiguration.queues.map(queue => ({
            ...queue,
            rules: { ...queue.rules, pool: version < 2 ? queue.rules.pool : toId<PoolId>("other") },
        }));
        return Ok({ ...testConfiguration, version, queues });
    }
}

const step = createStep({ taskCount: 2, estimateMs: 100 });
const target = { queue: testQueue, subpath: "job", isPublic: true };

/** Hosts that talk over loopback, with a store and executors in this process. */
class Fixture {
    readonly clock = new SystemClock();
    readonly data = new MemoryStoreData(this.clock);
    readonly stores = new Map<CellHost, MemoryLeaseStore>();
    readonly lines: string[] = [];
    workMs = 150;
    codec = new TestCodec();
    /** Whether no call of a host that reads or watches the configuration is answered. */
    isConfigurationHidden = false;
    private readonly checker = new InvariantChecker({
        executorCpuMillis: 4_000,
        teamCpuMillis: new Map(),
        maxAttempts: 3,
    });
    private readonly executors = [0, 1].map(index =>
        new FakeExecutor({
            executor: toFakeExecutorId(index),
            address: toFakeAddress(index),
            clock: this.clock,
            checker: this.checker,
            planRun: () => ({ workMs: this.workMs, outcome: "done" }),
            maxLeaseMs: 6_000,
        })
    );
    private readonly timer = setInterval(() => this.executors.forEach(executor => executor.advance()), 20);
    private readonly hosts: CellHost[] = [];

    constructor() {
        const writes = [
            { key: "config", value: "1" },
            ...this.executors.map((_, index) => ({ key: `executors/${index}`, value: JSON.stringify({ index }) })),
        ];
        this.data.execute({ kind: "commit", transaction: { conditions: [], writes, removals: [] } });
    }

    get startCount(): number {
        return this.checker.startCount;
    }

    private hideConfigurationFrom(store: MemoryLeaseStore): void {
        const call = store.call.bind(store);
        store.call = async (request, timeoutMs) => {
            const isOfConfiguration = request.kind === "read" && request.key === "config"
                || request.kind === "watch" && request.prefix === "config";
            const wasHidden = this.isConfigurationHidden;
            const answered = await call(request, timeoutMs);
            if (!isOfConfiguration || !wasHidden && !this.isConfigurationHidden) {
                return answered;
            }
            await this.clock.wait(3_000);
            return Err(createFailure(storeFailures.unanswered, "no answer", "mayHaveRun"));
        };
    }

    storeConfiguration(version: number): void {
        const writes = [{ key: "config", value: String(version) }];
        this.data.execute({ kind: "commit", transaction: { conditions: [], writes, removals: [] } });
    }

    get violations(): readonly string[] {
        return this.checker.violations;
    }

    async open(name: string): Promise<CellHost> {
        const store = new MemoryLeaseStore(this.data);
        this.hideConfigurationFrom(store);
        const host = new CellHost({
            host: name,
            address: toId<NetworkAddress>(`127.0.0.1:${await findFreePort()}`),
            seeds: [],
            store,
            codec: this.codec,
            connector: new FakeConnector(new Map(this.executors.map(row => [row.options.address, row]))),
            advisor: new NoAdvisor(),
            clock: this.clock,
            random: new SeededRandom(name.charCodeAt(0)),
            logger: {
                write: (_level, message, fields) => this.lines.push(`${name} ${message} ${JSON.stringify(fields)}`),
            },
            supervisor: createStrictSupervisor(this.clock),
            maxLeaseMs: 6_000,
            retentionMs: 60_000,
            stopMs: 100,
        });
        this.stores.set(host, store);
        this.hosts.push(host);
        await host.start();
        return host;
    }

    submit(host: CellHost, job: string): Promise<Result<void, Failure>> {
        this.checker.registerJob(toId<JobId>(job), { team: testTeam, steps: [step] });
        return host.submit(target, testTeam, toId<JobId>(job), { payload: "", steps: [step] });
    }

    /** Asks a host for the state of a job until it is the expected one, for 10 s at most. */
    async awaitState(host: CellHost, job: string, expected: JobState): Promise<unknown> {
        let state: unknown;
        for (let waitedMs = 0; waitedMs < 10_000; waitedMs += 50) {
            const described = await host.describe(target, testTeam, toId<JobId>(job));
            state = described.ok ? described.val : described.val.code;
            if (state === expected) {
                break;
            }
            await this.clock.wait(50);
        }
        return state;
    }

    async awaitOwner(): Promise<CellHost> {
        for (;;) {
            const owner = this.hosts.find(host => host.listGauges().is_owner === 1);
            if (owner !== undefined) {
                return owner;
            }
            await this.clock.wait(20);
        }
    }

    async close(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.resign()));
        await Promise.all(this.hosts.map(host => host.stop()));
        clearInterval(this.timer);
    }
}

function findFreePort(): Promise<number> {
    return new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });
}

describe("CellHost", () => {
    let fixture: Fixture;

    afterEach(() => fixture.close());

    // Guards against callers who are told an old state for good, because the owner does not know that their host follows
    // the job: it was accepted elsewhere, or before the present owner.
    it("tells callers of every host how a job ends, also across a planned change of owner", async () => {
        fixture = new Fixture();
        const hosts = [await fixture.open("a"), await fixture.open("b"), await fixture.open("c")];
        const owner = await fixture.awaitOwner();
        const [first, second] = hosts.filter(host => host !== owner) as [CellHost, CellHost];
        await fixture.clock.wait(300);
        expect((await fixture.submit(first, "0000000000000001")).ok).toEqual(true);
        expect(await fixture.awaitState(first, "0000000000000001", "succeeded")).toEqual("succeeded");
        expect(await fixture.awaitState(second, "0000000000000001", "succeeded")).toEqual("succeeded");

        fixture.workMs = 1_500;
        expect((await fixture.submit(first, "0000000000000002")).ok).toEqual(true);
        expect(await fixture.awaitState(second, "0000000000000002", "running")).toEqual("running");
        await owner.resign();
        expect(await fixture.awaitState(first, "0000000000000002", "succeeded")).toEqual("succeeded");
        expect(await fixture.awaitState(second, "0000000000000002", "succeeded")).toEqual("succeeded");
        expect(fixture.violations).toEqual([]);
    });

    // Guards against an answer "unknown job", which callers take for a lost job, while the owner cannot be asked.
    it("reads a job from the store when the host has not heard of it and there is no owner to ask", async () => {
        fixture = new Fixture();
        const host = await fixture.open("a");
        await fixture.awaitOwner();
        expect((await fixture.submit(host, "0000000000000003")).ok).toEqual(true);
        await host.resign();
        const other = await fixture.open("b");
        const described = await other.describe(target, testTeam, toId<JobId>("0000000000000003"));
        expect(described.ok).toEqual(true);
        expect((await other.describe(target, testTeam, toId<JobId>("00000000000000ff"))).ok).toEqual(false);
    });

    // Guards against a change of the retention that takes effect only at the next start, on the owner or its copy of states.
    it("forgets jobs after a retention that was changed at run time", async () => {
        fixture = new Fixture();
        const host = await fixture.open("a");
        await fixture.awaitOwner();
        host.setRetention(200);
        expect((await fixture.submit(host, "0000000000000004")).ok).toEqual(true);
        expect(await fixture.awaitState(host, "0000000000000004", "succeeded")).toEqual("succeeded");
        await fixture.clock.wait(1_200);
        // Records are removed together with the next ones that are written.
        expect((await fixture.submit(host, "0000000000000005")).ok).toEqual(true);
        expect(await fixture.awaitState(host, "0000000000000004", "unknown-job" as JobState)).toEqual("unknown-job");
    });

    // Guards against a caller who is told for good that a queue or key does not exist, by a host that missed its addition.
    it("asks callers to retry instead of rejecting them while it cannot confirm its configuration", async () => {
        fixture = new Fixture();
        const host = await fixture.open("a");
        await fixture.awaitOwner();
        await host.confirmConfiguration();
        const rejected = host.resolveQueue("unknown", "/");
        expect((rejected.val as Failure).code).toEqual("unknown-queue");
        fixture.stores.get(host)!.mode = "silent";
        await fixture.clock.wait(2_500);
        const postponed = host.resolveQueue("unknown", "/").val as Failure;
        expect(postponed.code).toEqual("unavailable");
        expect(postponed.verdict).toEqual("notRun");
        fixture.stores.get(host)!.mode = "up";
    });

    // Guards against executors that are used again after a takeover though the queue had left them, because the next owner
    // was paused or cut off when the configuration changed.
    it("starts nothing by an old configuration after it has become the owner", async () => {
        fixture = new Fixture();
        fixture.codec = new MovingQueueCodec();
        const hosts = [await fixture.open("a"), await fixture.open("b")];
        const first = await fixture.awaitOwner();
        const second = hosts.find(host => host !== first)!;
        await fixture.clock.wait(500);
        fixture.isConfigurationHidden = true;
        await fixture.clock.wait(2_200);
        fixture.storeConfiguration(2);
        expect(second.listGauges()["configuration_version"]).toEqual(1);
        await first.resign();
        expect((await fixture.submit(second, "0000000000000006")).ok).toEqual(true);
        await fixture.clock.wait(200);
        fixture.isConfigurationHidden = false;
        expect(await fixture.awaitOwner() === second).toEqual(true);
        await fixture.clock.wait(2_000);
        expect(second.listGauges()["configuration_version"]).toEqual(2);
        expect(fixture.startCount).toEqual(0);
    });

    // Guards against an owner that starts tasks by a version which arrived late, before the confirming read has ended.
    it("does not become the owner by a newer configuration while a confirmation is under way", async () => {
        fixture = new Fixture();
        const confirmForOwner = Reflect.get(ConfigurationTracker.prototype, "confirmForOwner") as unknown;
        let endConfirmation: (() => void) | undefined;
        Reflect.set(ConfigurationTracker.prototype, "confirmForOwner", () =>
            new Promise<void>(resolve => {
                endConfirmation = resolve;
            }));
        try {
            fixture.codec = new MovingQueueCodec();
            const host = await fixture.open("a");
            for (let waitedMs = 0; waitedMs < 5_000 && endConfirmation === undefined; waitedMs += 20) {
                await fixture.clock.wait(20);
            }
            fixture.storeConfiguration(2);
            await fixture.clock.wait(300);
            expect(host.listGauges()["configuration_version"]).toEqual(2);
            expect(host.listGauges()["is_owner"]).toEqual(0);
            endConfirmation?.();
            await fixture.clock.wait(20);
            expect(host.listGauges()["is_owner"]).toEqual(1);
        }
        finally {
            Reflect.set(ConfigurationTracker.prototype, "confirmForOwner", confirmForOwner);
        }
    });

    // Guards against tasks that an owner starts because it has not heard of the cancellation that was acknowledged.
    for (const caller of ["the owner", "another host"]) {
        it(`acknowledges a cancellation at ${caller} only once the owner has applied it, or 2 s later`, async () => {
            fixture = new Fixture();
            fixture.workMs = 8_000;
            const hosts = [await fixture.open("a"), await fixture.open("b")];
            const owner = await fixture.awaitOwner();
            const host = hosts.find(candidate => (candidate === owner) === (caller === "the owner"))!;
            await fixture.clock.wait(300);
            const job = toId<JobId>("0000000000000007");
            expect((await fixture.submit(host, job)).ok).toEqual(true);
            expect(await fixture.awaitState(host, job, "running")).toEqual("running");
            const acceptAnnounced = Reflect.get(CellOwner.prototype, "acceptAnnounced") as unknown;
            Reflect.set(CellOwner.prototype, "acceptAnnounced", () => false);
            let isAcknowledged = false;
            try {
                void host.cancel(target, testTeam, job).then(() => {
                    isAcknowledged = true;
                });
                await fixture.clock.wait(1_000);
                expect(isAcknowledged).toEqual(false);
            }
            finally {
                Reflect.set(CellOwner.prototype, "acceptAnnounced", acceptAnnounced);
            }
            for (let waitedMs = 0; waitedMs < 2_000 && !isAcknowledged; waitedMs += 20) {
                await fixture.clock.wait(20);
            }
            expect(isAcknowledged).toEqual(true);
        });
    }

    // Guards against a caller who reads or cancels the jobs of another team because it knows their ids.
    for (const isEnded of [false, true]) {
        it(`answers a call of another team as for an unknown job, at each host (${isEnded ? "ended" : "running"} job)`, async () => {
            fixture = new Fixture();
            fixture.workMs = isEnded ? 150 : 8_000;
            const hosts = [await fixture.open("a"), await fixture.open("b"), await fixture.open("c")];
            await fixture.awaitOwner();
            await fixture.clock.wait(300);
            const job = toId<JobId>("000000000000000a");
            expect((await fixture.submit(hosts[0]!, job)).ok).toEqual(true);
            const state = isEnded ? "succeeded" : "running";
            expect(await fixture.awaitState(hosts[0]!, job, state)).toEqual(state);
            // The last host knows the job only from the store.
            const last = await fixture.open("d");
            const ownerClient = Reflect.get(last, "ownerClient") as { follow: () => Promise<undefined>; };
            ownerClient.follow = async () => undefined;
            for (const host of [...hosts, last]) {
                const privateTarget = { ...target, isPublic: false };
                const calls = [
                    await host.describe(privateTarget, limitedTeam, job),
                    await host.cancel(privateTarget, limitedTeam, job),
                ];
                expect(calls.map(({ ok, val }) => !ok && val.code)).toEqual([
                    gatewayFailures.unknownJob,
                    gatewayFailures.unknownJob,
                ]);
                const again = await host.submit(privateTarget, limitedTeam, job, { payload: "", steps: [step] });
                expect((again.val as Failure).code).toEqual(gatewayFailures.takenId);
            }
            expect(await fixture.awaitState(hosts[1]!, job, state)).toEqual(state);
            // The queue of the job is public here, so that anybody may ask about it.
            expect((await hosts[2]!.describe(target, limitedTeam, job)).val).toEqual(state);
        });
    }

    // Guards against a job that runs after its cancelling was answered with "unknown": its submission was on its way.
    for (const caller of ["the owner", "another host"]) {
        it(`accepts no job after its early cancellation, at ${caller} and at others`, async () => {
            fixture = new Fixture();
            const hosts = [await fixture.open("a"), await fixture.open("b")];
            const owner = await fixture.awaitOwner();
            const host = hosts.find(candidate => (candidate === owner) === (caller === "the owner"))!;
            await fixture.clock.wait(300);
            const job = toId<JobId>("0000000000000009");
            const cancelled = await host.cancel(target, testTeam, job);
            expect((cancelled.val as Failure).code).toEqual(gatewayFailures.unknownJob);
            for (const other of hosts) {
                const submitted = await fixture.submit(other, job);
                const { code, verdict } = submitted.val as Failure;
                expect([code, verdict]).toEqual([gatewayFailures.cancelledJob, "notRun"]);
                expect((await other.describe(target, testTeam, job)).ok).toEqual(false);
            }
            await fixture.clock.wait(500);
            expect(fixture.startCount).toEqual(0);
        });
    }

    // Guards against a stopping host that no owner can confirm a cancellation to, so that it waits for its bound.
    for (const caller of ["the last owner", "another host"]) {
        it(`has a later owner confirm a cancellation after it has resigned (${caller})`, async () => {
            fixture = new Fixture();
            fixture.workMs = 8_000;
            const hosts = [await fixture.open("a"), await fixture.open("b"), await fixture.open("c")];
            const owner = await fixture.awaitOwner();
            const host = hosts.find(candidate => (candidate === owner) === (caller === "the last owner"))!;
            await fixture.clock.wait(300);
            const job = toId<JobId>("0000000000000008");
            expect((await fixture.submit(host, job)).ok).toEqual(true);
            expect(await fixture.awaitState(host, job, "running")).toEqual("running");
            await host.resign();
            await owner.resign();
            await fixture.clock.wait(1_000);
            const startedAt = fixture.clock.getNow();
            expect((await host.cancel(target, testTeam, job)).ok).toEqual(true);
            expect(fixture.clock.getNow() - startedAt < 1_000).toEqual(true);
            expect(fixture.lines.filter(line => line.includes("cell ownership acquired")).length).toEqual(2);
        });
    }
});
