import { createFailure, Err, ManualClock, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ConfigurationTracker } from "./configuration-tracker.js";
import type { CellConfiguration } from "./configuration.js";
import { FallbackStore } from "./fallback-store.js";
import type { StoreItem, StoreReply, StoreRequest } from "./store.js";
import { LeaseStore, storeFailures } from "./store.js";
import { TestCodec, testConfiguration } from "./testing/cell-simulation.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

/** The shortest time that operators allow until a confirmed change is in force everywhere, ms. */
const applyBoundMs = 3_000;

class VersionCodec extends TestCodec {
    override decodeConfiguration(text?: string): Result<CellConfiguration, Failure> {
        const version = Number(text);
        return Number.isNaN(version)
            ? Err(createFailure("invalid", "the version is not a number", "ran"))
            : Ok({ ...testConfiguration, version });
    }
}

/** A route to the store on which calls of some kinds get no answer. */
class FaultyRoute extends LeaseStore {
    silentKinds: readonly StoreRequest["kind"][] = [];
    /** Whether watches report no change, though they are answered. */
    isDeaf = false;
    readonly store: MemoryLeaseStore;
    readsSent = 0;
    /** Time after which reads fail, ms; `undefined` if they do not. */
    readsFailAfterMs: number | undefined;
    /** Rate at which values are received, bytes/ms. */
    bytesPerMs = Infinity;

    constructor(data: MemoryStoreData) {
        super();
        this.store = new MemoryLeaseStore(data);
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs = 1_000,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const { clock, revision } = this.store.data;
        this.readsSent += request.kind === "read" ? 1 : 0;
        const waitMs = request.kind === "watch" ? request.waitMs : 0;
        if (this.silentKinds.includes(request.kind)) {
            await clock.wait(waitMs + timeoutMs);
            return Err(createFailure(storeFailures.unanswered, "the store has not answered in time", "mayHaveRun"));
        }
        if (this.readsFailAfterMs !== undefined && request.kind === "read") {
            await clock.wait(this.readsFailAfterMs);
            return Err(createFailure(storeFailures.unanswered, "the connection was closed", "mayHaveRun"));
        }
        if (this.isDeaf && request.kind === "watch") {
            await clock.wait(waitMs);
            return Ok({ changes: [], storeRevision: revision }) as unknown as Result<StoreReply<Request>, Failure>;
        }
        const result: Result<StoreReply<StoreRequest>, Failure> = await this.store.call(request, timeoutMs);
        if (request.kind === "read" && result.ok && "item" in result.val) {
            const transferMs = (result.val.item?.value.length ?? 0) / this.bytesPerMs;
            await clock.wait(Math.min(transferMs, timeoutMs));
            if (transferMs > timeoutMs) {
                return Err(createFailure(storeFailures.unanswered, "the answer was not whole in time", "mayHaveRun"));
            }
        }
        return result as Result<StoreReply<Request>, Failure>;
    }
}

class Fixture {
    readonly clock = new ManualClock();
    readonly codec = new VersionCodec();
    readonly data = new MemoryStoreData(this.clock);
    readonly routes = Array.from({ length: 4 }, () => new FaultyRoute(this.data));
    readonly lines: string[] = [];
    readonly applied: number[] = [];
    ownerVersion: number | undefined;
    readonly tracker: ConfigurationTracker;

    constructor() {
        const logger = { write: (_level: string, message: string) => this.lines.push(message) };
        const supervisor = createStrictSupervisor(this.clock);
        this.tracker = new ConfigurationTracker({
            store: new FallbackStore({
                direct: this.routes[0]!,
                listPeers: () => this.routes.slice(1),
                clock: this.clock,
                logger,
                supervisor,
            }),
            codec: this.codec,
            clock: this.clock,
            logger,
            supervisor,
            onChange: configuration => this.applied.push(configuration.version),
            getOwnerVersion: () => this.ownerVersion,
        });
    }

    get version(): number | undefined {
        return this.tracker.current?.configuration.version;
    }

    /** Stores a version, starts the tracker and lets it run for a while. */
    async start(): Promise<void> {
        this.store("1");
        this.tracker.start();
        await this.clock.advance(100);
        expect(this.version).toEqual(1);
    }

    store(value: string): StoreItem {
        const writes = [{ key: this.codec.configurationKey, value }];
        this.data.execute({ kind: "commit", transaction: { conditions: [], writes, removals: [] } });
        return this.data.items.get(this.codec.configurationKey)!;
    }

    forEachRoute(change: (route: FaultyRoute) => void): void {
        this.routes.forEach(change);
    }
}

describe("ConfigurationTracker", () => {
    describe("reads that do not depend on watches", () => {
        it("applies a change in time while the watches of all routes are silent", async () => {
            // Guards against a read that waits behind a watch on one silent connection after the other.
            const fixture = new Fixture();
            await fixture.start();
            fixture.forEachRoute(route => {
                route.silentKinds = ["watch"];
            });
            await fixture.clock.advance(6_000);
            fixture.store("2");
            await fixture.clock.advance(applyBoundMs);
            expect(fixture.version).toEqual(2);
        });

        it("applies a change in time that no watch reports while the owner names the old version", async () => {
            // Guards against a version that is believed because neither a watch nor the owner says otherwise.
            const fixture = new Fixture();
            fixture.ownerVersion = 1;
            await fixture.start();
            fixture.forEachRoute(route => {
                route.isDeaf = true;
            });
            await fixture.clock.advance(6_000);
            fixture.store("2");
            await fixture.clock.advance(applyBoundMs);
            expect(fixture.version).toEqual(2);
        });

        it("applies a change in time while only the last route answers", async () => {
            // Guards against reads that try one silent route after the other.
            const fixture = new Fixture();
            await fixture.start();
            fixture.routes.slice(0, 3).forEach(route => {
                route.silentKinds = ["read", "list", "watch"];
            });
            await fixture.clock.advance(6_000);
            fixture.store("2");
            await fixture.clock.advance(applyBoundMs);
            expect(fixture.version).toEqual(2);
        });

        it("reads at once when the owner names a newer version", async () => {
            const fixture = new Fixture();
            await fixture.start();
            fixture.forEachRoute(route => {
                route.silentKinds = ["watch"];
            });
            await fixture.clock.advance(5_100);
            fixture.store("2");
            fixture.ownerVersion = 2;
            void fixture.tracker.refresh();
            await fixture.clock.advance(50);
            expect(fixture.version).toEqual(2);
        });
    });

    describe("a large configuration", () => {
        it("is read without being cut off by the timeout, and seldom", async () => {
            // Guards against reads of many routes over a slow link that never end in time and leave no room for others.
            const sizeBytes = 600_000;
            const fixture = new Fixture();
            fixture.forEachRoute(route => {
                route.bytesPerMs = 400;
            });
            await fixture.start();
            fixture.forEachRoute(route => {
                route.silentKinds = ["watch"];
            });
            fixture.store("2".padEnd(sizeBytes));
            await fixture.clock.advance(10_000);
            expect(fixture.version).toEqual(2);
            const reads = fixture.routes.reduce((sum, route) => sum + route.readsSent, 0);
            await fixture.clock.advance(30_000);
            expect(fixture.routes.reduce((sum, route) => sum + route.readsSent, 0) - reads <= 6).toEqual(true);
        });
    });

    describe("confirm", () => {
        it("finds a change that was made while this host was paused or cut off before a call is decided", async () => {
            // Guards against a process that acts on a key which was withdrawn while it did not run.
            const fixture = new Fixture();
            await fixture.start();
            fixture.forEachRoute(route => {
                route.silentKinds = ["read", "list", "watch"];
            });
            await fixture.clock.advance(5_000);
            fixture.store("2");
            expect(fixture.tracker.isConfirmed).toEqual(false);
            fixture.forEachRoute(route => {
                route.silentKinds = [];
            });
            await Promise.all([fixture.tracker.confirm(), fixture.clock.advance(20)]);
            expect(fixture.version).toEqual(2);
            expect(fixture.tracker.isConfirmed).toEqual(true);
        });

        it("delays only the first call while the store is away", async () => {
            const fixture = new Fixture();
            await fixture.start();
            fixture.forEachRoute(route => {
                route.silentKinds = ["read", "list", "watch"];
            });
            await fixture.clock.advance(5_000);
            await Promise.all([fixture.tracker.confirm(), fixture.clock.advance(500)]);
            const reads = fixture.routes[0]!.readsSent;
            await fixture.tracker.confirm();
            expect(fixture.routes[0]!.readsSent).toEqual(reads);
            expect(fixture.lines.filter(line => line === "configuration not confirmed").length).toEqual(1);
        });

        it("sends no read while the configuration is recent", async () => {
            const fixture = new Fixture();
            await fixture.start();
            const reads = fixture.routes[0]!.readsSent;
            await fixture.tracker.confirm();
            expect(fixture.routes[0]!.readsSent).toEqual(reads);
        });
    });

    describe("confirmForOwner", () => {
        async function createUnconfirmed(readsFailAfterMs: number): Promise<Fixture> {
            const fixture = new Fixture();
            fixture.forEachRoute(route => {
                route.isDeaf = true;
            });
            await fixture.start();
            fixture.forEachRoute(route => {
                route.readsFailAfterMs = readsFailAfterMs;
            });
            await fixture.clock.advance(4_000);
            expect(fixture.tracker.isConfirmed).toEqual(false);
            fixture.store("2");
            return fixture;
        }

        function measureWait(fixture: Fixture): { endedAfterMs: number | undefined; version: number | undefined; } {
            const startedAt = fixture.clock.getNow();
            const measured: ReturnType<typeof measureWait> = { endedAfterMs: undefined, version: undefined };
            void fixture.tracker.confirmForOwner().then(() => {
                measured.endedAfterMs = fixture.clock.getNow() - startedAt;
                measured.version = fixture.version;
            });
            return measured;
        }

        // Guards against an owner that starts tasks by an old configuration because its first read fails at once, or is not
        // sent for the reads that wait already.
        for (const readsFailAfterMs of [0, 1, 5_000]) {
            it(`waits 1 s and no longer while reads fail after ${readsFailAfterMs} ms`, async () => {
                const fixture = await createUnconfirmed(readsFailAfterMs);
                const measured = measureWait(fixture);
                await fixture.clock.advance(990);
                expect(measured.endedAfterMs).toEqual(undefined);
                await fixture.clock.advance(20);
                expect(measured).toEqual({ endedAfterMs: 1_000, version: 1 });
            });
        }

        it("finds a change when reads are answered again after some that failed", async () => {
            const fixture = await createUnconfirmed(1);
            const measured = measureWait(fixture);
            await fixture.clock.advance(500);
            fixture.forEachRoute(route => {
                route.readsFailAfterMs = undefined;
            });
            await fixture.clock.advance(510);
            expect(measured.version).toEqual(2);
            expect((measured.endedAfterMs ?? Infinity) <= 700).toEqual(true);
        });

        it("finds a change at once though as many reads as allowed wait for answers", async () => {
            const fixture = await createUnconfirmed(5_000);
            fixture.forEachRoute(route => {
                route.readsFailAfterMs = undefined;
            });
            const measured = measureWait(fixture);
            await fixture.clock.advance(50);
            expect(measured.version).toEqual(2);
        });
    });

    describe("versions", () => {
        it("keeps the newest version that can be read, and never goes back", async () => {
            const fixture = new Fixture();
            await fixture.start();
            fixture.store("5");
            await fixture.clock.advance(1_000);
            fixture.store("4");
            fixture.store("not a number");
            await fixture.clock.advance(5_000);
            expect(fixture.applied).toEqual([1, 5]);
            expect(fixture.lines.filter(line => line === "configuration cannot be read").length).toEqual(1);
        });
    });
});
