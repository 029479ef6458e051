import type { JobId, NetworkAddress, QueueId } from "@waxwingroute/core";
import { ManualClock, toId } from "@waxwingroute/core";
import type { StreamWriter } from "@waxwingroute/transport";
import type { JobState } from "@waxwingroute/workflow";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellPublisher } from "./cell-publisher.js";
import type { CellUpdate } from "./cell-service.js";
import { decodeStates } from "./cell-service.js";

class FakeWriter implements StreamWriter<CellUpdate> {
    isOpen = true;
    readonly sent: CellUpdate[] = [];
    private readonly callbacks: (() => void)[] = [];

    send(message: CellUpdate): void {
        this.sent.push(message);
    }

    end(): void {
        this.isOpen = false;
        this.callbacks.forEach(callback => callback());
    }

    onClose(callback: () => void): void {
        this.callbacks.push(callback);
    }

    /** Returns the states of all messages since the previous call. */
    takeStates(): string[] {
        return this.sent.splice(0).flatMap(({ changes }) =>
            decodeStates(changes).map(({ job, state }) => `${job} ${state}`)
        );
    }
}

const queue = toId<QueueId>("orders");

class Fixture {
    readonly clock = new ManualClock();
    readonly states = new Map<JobId, JobState>();
    readonly writers = new Map<string, FakeWriter>();
    readonly publisher = new CellPublisher({
        clock: this.clock,
        address: toId<NetworkAddress>("10.0.0.1:1"),
        getStatus: job => {
            const state = this.states.get(job);
            return state === undefined ? undefined : { job, queue, state };
        },
        getConfigurationVersion: () => 7,
    });

    subscribe(host: string, jobs: readonly string[] = []): FakeWriter {
        const writer = new FakeWriter();
        this.writers.set(host, writer);
        this.publisher.addSubscriber(
            { host, address: toId<NetworkAddress>(`${host}:1`), jobs: jobs.map(toId<JobId>) },
            writer,
        );
        return writer;
    }

    change(job: string, state: JobState): void {
        this.states.set(toId<JobId>(job), state);
        this.publisher.publishChanges([{ job: toId<JobId>(job), queue, state }]);
    }
}

describe("CellPublisher", () => {
    describe("states of jobs", () => {
        // Guards against messages that grow with the product of jobs and hosts.
        it("sends a change only to the hosts that follow the job", async () => {
            const fixture = new Fixture();
            const [first, second] = [fixture.subscribe("a"), fixture.subscribe("b")];
            fixture.change("j1", "queued");
            fixture.publisher.follow("a", [toId<JobId>("j1")]);
            first.takeStates();
            second.takeStates();
            fixture.change("j1", "running");
            await fixture.clock.advance(20);
            expect(first.takeStates()).toEqual(["j1 running"]);
            expect(second.sent).toEqual([]);
            fixture.publisher.close();
        });

        // Guards against callers of a host who are told an old state for good after a change of owner.
        it("sends the states of followed jobs that the owner learns of after the subscription", async () => {
            const fixture = new Fixture();
            fixture.states.set(toId<JobId>("known"), "running");
            const writer = fixture.subscribe("a", ["known", "read later"]);
            expect(writer.takeStates()).toEqual(["known running"]);
            fixture.change("read later", "succeeded");
            await fixture.clock.advance(20);
            expect(writer.takeStates()).toEqual(["read later succeeded"]);
            fixture.publisher.close();
        });

        // Guards against tables that grow with questions about jobs that do not exist.
        it("reports and follows no job that it does not know", async () => {
            const fixture = new Fixture();
            const writer = fixture.subscribe("a");
            expect(fixture.publisher.follow("a", [toId<JobId>("unknown")])).toEqual([]);
            writer.takeStates();
            fixture.change("unknown", "queued");
            await fixture.clock.advance(20);
            expect(writer.takeStates()).toEqual([]);
            fixture.publisher.close();
        });
    });

    describe("heartbeats", () => {
        // Guards against hosts that take a busy owner for lost, and against bursts of messages to all hosts.
        it("sends each host two a second, and never to all hosts at once", async () => {
            const fixture = new Fixture();
            const writers = Array.from({ length: 40 }, (_, index) => fixture.subscribe(`host-${index}`));
            await fixture.clock.advance(1_000);
            writers.forEach(writer => writer.sent.splice(0));
            let most = 0;
            for (let elapsed = 0; elapsed < 1_000; elapsed += 50) {
                const before = writers.reduce((sum, { sent }) => sum + sent.length, 0);
                await fixture.clock.advance(50);
                most = Math.max(most, writers.reduce((sum, { sent }) => sum + sent.length, 0) - before);
            }
            expect(writers.every(({ sent }) => sent.length === 2)).toEqual(true);
            expect(most <= 4).toEqual(true);
            expect(writers[0]!.sent[0]!.configurationVersion).toEqual(7);
            fixture.publisher.close();
        });

        // Guards against messages of which each holds the addresses of all hosts.
        it("sends few peers, and only after the membership has changed", async () => {
            const fixture = new Fixture();
            const writers = Array.from({ length: 64 }, (_, index) => fixture.subscribe(`host-${index}`));
            await fixture.clock.advance(1_000);
            const last = writers[0]!.sent.filter(({ peers }) => peers !== undefined).at(-1)!;
            expect(last.peers!.length).toEqual(7);
            expect(last.peers!.includes(toId<NetworkAddress>("10.0.0.1:1"))).toEqual(true);
            writers[0]!.sent.splice(0);
            await fixture.clock.advance(2_000);
            expect(writers[0]!.sent.every(({ peers }) => peers === undefined)).toEqual(true);
            fixture.publisher.close();
        });
    });
});
