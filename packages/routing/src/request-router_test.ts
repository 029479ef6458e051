import { toId } from "@waxwingroute/core";
import type { AttemptId, QueueId, RequestKey } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { cutting, quotes, RouterFixture } from "./testing/router-fixture.js";
import type { RouterFixtureOptions } from "./testing/router-fixture.js";
import type { RequestResult, RouterRequest } from "./types.js";

/** Creates a fixture whose executors have been listed. */
async function createListed(options: RouterFixtureOptions = {}): Promise<RouterFixture> {
    const fixture = new RouterFixture(options);
    await fixture.run(10);
    return fixture;
}

/** Executes a request and runs for `durationMs`; returns what the caller got, or "waiting" if it got nothing yet. */
async function executeFor(fixture: RouterFixture, request: RouterRequest, durationMs: number) {
    let result: RequestResult | undefined;
    void fixture.router.execute(request).then(value => {
        result = value;
    });
    await fixture.run(durationMs);
    return describeResult(result);
}

function describeResult(result: RequestResult | undefined): string {
    if (result === undefined) {
        return "waiting";
    }
    return result.ok ? Buffer.from(result.val.body).toString() : `${result.val.code} ${result.val.verdict}`;
}

describe("RequestRouter", () => {
    describe("request keys", () => {
        // Guards against a second run of a request that a caller repeats after it lost the answer.
        it("returns the first answer to a repeated key without a second run", async () => {
            const fixture = await createListed();
            const request = fixture.createRequest("a", { requestKey: fixture.router.issueKey() });
            const first = executeFor(fixture, request, 5);
            expect(await executeFor(fixture, request, 100)).toEqual("a");
            expect(await first).toEqual("waiting");
            expect(await executeFor(fixture, request, 10)).toEqual("a");
            expect(fixture.countRuns()).toEqual(1);
            expect(fixture.router.getCounters().duplicates).toEqual(2);
        });

        // Guards against a caller that receives the answer to another request.
        it("refuses a used key for a request with other content or of another team", async () => {
            const fixture = await createListed();
            fixture.router.updateTeam({ team: cutting, weight: 1, slots: 1 });
            const requestKey = fixture.router.issueKey();
            await executeFor(fixture, fixture.createRequest("a", { requestKey }), 100);
            const conflict = "request-key-conflict mayHaveRun";
            expect(await executeFor(fixture, fixture.createRequest("b", { requestKey }), 100)).toEqual(conflict);
            const other = fixture.createRequest("a", { requestKey, team: cutting });
            expect(await executeFor(fixture, other, 100)).toEqual(conflict);
            expect(fixture.countRuns()).toEqual(1);
        });

        // Guards against a second run of a request that an earlier owner, or another shard, may have run.
        it("refuses keys of other epochs and shards with mayHaveRun, and malformed ones with notRun", async () => {
            const fixture = await createListed({ epoch: 5 });
            const keys = {
                "glasgow.0.4.1.0123456789abcdef": "request-key-expired mayHaveRun",
                "glasgow.0.6.1.0123456789abcdef": "owner-replaced mayHaveRun",
                "glasgow.1.5.1.0123456789abcdef": "wrong-shard mayHaveRun",
                "glasgow.0.5.9.0123456789abcdef": "request-key-unknown mayHaveRun",
                "glasgow.0.5.x.0123456789abcdef": "bad-request-key notRun",
            };
            for (const [key, expected] of Object.entries(keys)) {
                const request = fixture.createRequest("a", { requestKey: toId<RequestKey>(key) });
                expect(await executeFor(fixture, request, 20)).toEqual(expected);
            }
            expect(fixture.countRuns()).toEqual(0);
        });

        // Guards against a limit on waiting requests that operators set for a queue and that has no effect.
        it("refuses a request when its queue has as many waiting requests as its limit", async () => {
            const fixture = await createListed({ executors: 1, slots: 1, findQueueLimit: () => 2, durationMs: 100 });
            const earlier = ["a", "b", "c"].map(text => fixture.router.execute(fixture.createRequest(text)));
            const refused = await executeFor(fixture, fixture.createRequest("d"), 10);
            expect(refused).toEqual("queue-full notRun");
            await fixture.run(500);
            expect((await Promise.all(earlier)).map(describeResult)).toEqual(["a", "b", "c"]);
        });

        // Guards against a key that its caller can no longer use although the request did not run.
        it("accepts a key again after it has refused its request with notRun", async () => {
            const fixture = await createListed({ executors: 1, slots: 1, maxWaitingPerTeam: 1, durationMs: 100 });
            const request = fixture.createRequest("c", { requestKey: fixture.router.issueKey() });
            const earlier = ["a", "b"].map(text => fixture.router.execute(fixture.createRequest(text)));
            expect(await executeFor(fixture, request, 10)).toEqual("queue-full notRun");
            await fixture.run(300);
            expect((await Promise.all(earlier)).map(describeResult)).toEqual(["a", "b"]);
            expect(await executeFor(fixture, request, 200)).toEqual("c");
        });
    });

    describe("executor slots", () => {
        // Guards against an executor that gets more requests than it has slots after an answer was lost.
        it("keeps the slot of a lost answer until a listing shows that the attempt ended", async () => {
            const fixture = await createListed({ executors: 1, slots: 1 });
            fixture.setBehaviour({ kind: "lose", durationMs: 3000 });
            expect(await executeFor(fixture, fixture.createRequest("a"), 1600)).toEqual("executor-lost mayHaveRun");
            fixture.setBehaviour({ kind: "answer", durationMs: 10 });
            expect(await executeFor(fixture, fixture.createRequest("b"), 1300)).toEqual("waiting");
            await fixture.run(300);
            expect(fixture.countRuns()).toEqual(2);
            expect(fixture.executors[0]!.maxRunning).toEqual(1);
        });

        // Guards against slots that stay occupied for ever because their executor is gone and cannot be listed.
        it("frees the slot of an unreachable executor once the attempt can no longer be running", async () => {
            const fixture = await createListed({ slots: 1 });
            fixture.router.updateTeam({ team: quotes, weight: 1, slots: 1 });
            fixture.setBehaviour({ kind: "silent", durationMs: 1 });
            const pending = fixture.router.execute(fixture.createRequest("a", {}, 1000));
            const busyExecutor = fixture.executors.find(executor => executor.runs.length === 1)!;
            busyExecutor.isReachable = false;
            fixture.setBehaviour({ kind: "answer", durationMs: 1 });
            await fixture.run(1000);
            expect(describeResult(await pending)).toEqual("deadline-exceeded mayHaveRun");
            // Occupied until (1,000 ms in flight + 1,000 ms time-out) * 1.01, and while the last listing is recent.
            expect(await executeFor(fixture, fixture.createRequest("b"), 1000)).toEqual("waiting");
            await fixture.run(1100);
            expect(fixture.countRuns()).toEqual(2);
        });

        // Guards against a new owner that fills slots in which attempts of the old owner still run.
        it("keeps the slots of an earlier owner's attempts until a listing no longer contains them", async () => {
            const fixture = new RouterFixture({ executors: 1, slots: 2 });
            const executor = fixture.executors[0]!;
            const foreign = toId<AttemptId>("glasgow.0.0.aaaaaaaa.1.quotes");
            executor.running.add(foreign);
            fixture.router.adoptAttempts(executor.executor, [foreign]);
            fixture.setBehaviour({ kind: "answer", durationMs: 400 });
            const pending = ["a", "b"].map(text => fixture.router.execute(fixture.createRequest(text)));
            await fixture.run(300);
            expect(executor.runs.length).toEqual(1);
            fixture.clock.schedule(0, () => executor.running.delete(foreign));
            await fixture.run(1000);
            expect((await Promise.all(pending)).map(describeResult)).toEqual(["a", "b"]);
        });

        // Guards against a team above its grant: executors that the new owner cannot list may run its attempts.
        it("counts the slots of executors that it could not list after a takeover against each grant", async () => {
            const fixture = new RouterFixture({ executors: 2, slots: 2, durationMs: 300 });
            fixture.router.updateTeam({ team: quotes, weight: 1, slots: 3 });
            fixture.executors[1]!.isReachable = false;
            await fixture.run(10);
            const pending = ["a", "b"].map(text => fixture.router.execute(fixture.createRequest(text)));
            await fixture.run(200);
            expect(fixture.executors[0]!.running.size).toEqual(1);
            await fixture.run(500);
            expect((await Promise.all(pending)).map(describeResult)).toEqual(["a", "b"]);
            // (600,000 + 1,000) * 1.01 ms after its start, no attempt of the earlier owner can run any more.
            await fixture.run(607_100, 1000);
            ["c", "d"].forEach(text => void fixture.router.execute(fixture.createRequest(text)));
            await fixture.run(200);
            expect(fixture.executors[0]!.running.size).toEqual(2);
        });

        // Guards against a send after the right to place has expired between the decision and the send.
        it("checks the right to place immediately before each send", async () => {
            const fixture = await createListed();
            fixture.canSend = false;
            const pending = executeFor(fixture, fixture.createRequest("a", {}, 500), 200);
            expect(await pending).toEqual("waiting");
            expect(fixture.countRuns()).toEqual(0);
            fixture.canSend = true;
            await fixture.run(50);
            expect(fixture.countRuns()).toEqual(1);
        });

        // Guards against new requests to an endpoint that is leaving.
        it("sends nothing to a draining or removed executor", async () => {
            const fixture = await createListed();
            fixture.addExecutor(fixture.executors[0]!, true);
            fixture.router.removeExecutor(fixture.executors[1]!.executor);
            expect(await executeFor(fixture, fixture.createRequest("a", {}, 100), 200)).toEqual(
                "deadline-exceeded notRun",
            );
            fixture.addExecutor(fixture.executors[0]!, false);
            expect(await executeFor(fixture, fixture.createRequest("a"), 200)).toEqual("a");
            expect(fixture.executors.map(executor => executor.runs.length)).toEqual([1, 0]);
        });
    });

    describe("waiting requests", () => {
        // Guards against a request with little time left that waits behind others with more.
        it("sends the waiting requests of a team in the order of their deadlines", async () => {
            const fixture = await createListed({ executors: 1, slots: 1 });
            const deadlines = [1000, 900, 500, 700];
            deadlines.forEach(ms => void fixture.router.execute(fixture.createRequest(`${ms}`, {}, ms)));
            await fixture.run(200);
            const order = fixture.executors[0]!.runs.map(run => Buffer.from(run.body).toString());
            expect(order).toEqual(["1000", "500", "700", "900"]);
        });

        // Guards against a team that takes the slots of others by sending more requests.
        it("divides slots by weight while several teams wait, and keeps each within its grant", async () => {
            const fixture = await createListed({ executors: 1, slots: 4, durationMs: 20 });
            fixture.router.updateTeam({ team: quotes, weight: 3, slots: 4 });
            fixture.router.updateTeam({ team: cutting, weight: 1, slots: 1 });
            for (let index = 0; index < 400; index++) {
                void fixture.router.execute(fixture.createRequest("q"));
                void fixture.router.execute(fixture.createRequest("c", { team: cutting }));
            }
            await fixture.run(1000);
            const runs = fixture.executors[0]!.runs;
            const quotesShare = runs.filter(run => run.team === quotes).length / runs.length;
            expect(quotesShare > 0.7 && quotesShare < 0.8).toEqual(true);
        });

        // Guards against requests that are accepted and then miss their deadline.
        it("refuses a request at once if it cannot meet its deadline", async () => {
            const fixture = await createListed({ executors: 1, slots: 1, durationMs: 50 });
            for (let index = 0; index < 6; index++) {
                expect(await executeFor(fixture, fixture.createRequest("a"), 100)).toEqual("a");
            }
            const late = fixture.createRequest("late", {}, 40);
            expect(await executeFor(fixture, late, 0)).toEqual("deadline-unreachable notRun");
            for (let index = 0; index < 10; index++) {
                void fixture.router.execute(fixture.createRequest("a"));
            }
            const behind = fixture.createRequest("behind", {}, 300);
            expect(await executeFor(fixture, { ...behind, deadline: behind.deadline + 5000 }, 0)).toEqual("waiting");
            expect(await executeFor(fixture, behind, 250)).toEqual("behind");
        });

        // Guards against a request that runs, or keeps its place in the queue, after its caller has aborted it.
        it("removes a waiting request when its caller aborts it", async () => {
            const fixture = await createListed({ executors: 1, slots: 1, maxWaitingPerTeam: 1 });
            const controller = new AbortController();
            void fixture.router.execute(fixture.createRequest("a"));
            const aborted = fixture.router.execute(fixture.createRequest("b", { signal: controller.signal }));
            controller.abort();
            expect(describeResult(await aborted)).toEqual("cancelled notRun");
            expect(await executeFor(fixture, fixture.createRequest("c"), 100)).toEqual("c");
            expect(fixture.countRuns()).toEqual(2);
        });

        // Guards against a request for a busy queue that blocks the same team's requests for another queue.
        it("sends the requests of one queue while those of another have no free executor", async () => {
            const fixture = await createListed({ executors: 1 });
            const { executor, slots } = fixture.executors[0]!;
            const plans = toId<QueueId>("plans");
            const access = fixture.executors[0]!;
            fixture.router.updateExecutor({
                executor,
                access,
                slots,
                connections: 64,
                queues: [plans],
                isDraining: false,
            });
            void fixture.router.execute(fixture.createRequest("a", {}, 100));
            expect(await executeFor(fixture, fixture.createRequest("p", { queue: plans }), 50)).toEqual("p");
        });
    });

    describe("failed attempts", () => {
        // Guards against a second run of a non-idempotent request, and against giving up on one that can be repeated.
        it("retries a request whose answer was lost only if it is idempotent, on another executor", async () => {
            const fixture = await createListed({ slots: 1 });
            fixture.executors.forEach((executor, index) => {
                executor.chooseBehaviour = () => ({
                    kind: fixture.countRuns() < 1 ? "lose" : "answer",
                    durationMs: 10 + index,
                });
            });
            expect(await executeFor(fixture, fixture.createRequest("a"), 50)).toEqual("executor-lost mayHaveRun");
            await fixture.run(2000);
            fixture.executors.forEach(executor => executor.runs.splice(0));
            expect(await executeFor(fixture, fixture.createRequest("b", { isIdempotent: true }), 100)).toEqual("b");
            expect(fixture.executors.map(executor => executor.runs.length)).toEqual([1, 1]);
            expect(fixture.router.getCounters().retries).toEqual(1);
        });

        // Guards against retries that multiply the load while executors fail.
        it("keeps retries within the retry budget of the team", async () => {
            const fixture = await createListed({ executors: 4, slots: 50 });
            fixture.setBehaviour({ kind: "lose", durationMs: 10 });
            for (let index = 0; index < 100; index++) {
                void fixture.router.execute(fixture.createRequest("a", { isIdempotent: true }));
            }
            await fixture.run(500);
            expect(fixture.router.getCounters().retries).toEqual(10);
        });

        // Guards against an answer that reaches a caller after a failure, or a caller to whom it does not belong.
        it("drops and counts late and mismatched answers", async () => {
            const fixture = await createListed({ executors: 1 });
            fixture.setBehaviour({ kind: "confuse", durationMs: 10 });
            expect(await executeFor(fixture, fixture.createRequest("a"), 50)).toEqual("executor-lost mayHaveRun");
            expect(fixture.router.getCounters().mismatchedAnswers).toEqual(1);
            fixture.setBehaviour({ kind: "answer", durationMs: 100 });
            const request = fixture.createRequest("b", { requestKey: fixture.router.issueKey() }, 200);
            const pending = fixture.router.execute(request);
            await fixture.clock.advance(50);
            fixture.router.tick(request.deadline);
            expect(describeResult(await pending)).toEqual("deadline-exceeded mayHaveRun");
            await fixture.run(100);
            expect(fixture.router.getCounters().lateAnswers).toEqual(1);
        });

        // Guards against an executor that fails every request quickly and so attracts all requests.
        it("ejects an executor that fails every request and returns it after three successful probes", async () => {
            const fixture = await createListed({ executors: 4 });
            const [bad] = fixture.executors;
            bad!.chooseBehaviour = () => ({ kind: "error", durationMs: 1 });
            const send = async (count: number) => {
                for (let index = 0; index < count; index++) {
                    void fixture.router.execute(fixture.createRequest("a", { isIdempotent: true }));
                    await fixture.run(20);
                }
            };
            await send(100);
            expect(fixture.router.getCounters().ejections).toEqual(1);
            const runs = bad!.runs.length;
            await send(100);
            expect(bad!.runs.length).toEqual(runs);
            bad!.chooseBehaviour = () => ({ kind: "answer", durationMs: 10 });
            await send(300);
            expect(fixture.decisions.filter(decision => decision.kind === "returned").length).toEqual(1);
            expect(bad!.runs.length > runs + 20).toEqual(true);
        });
    });

    describe("planned stop", () => {
        // Guards against a planned stop that loses requests or accepts new ones.
        it("refuses new requests, finishes what it can and fails the rest with the verdict that applies", async () => {
            const fixture = await createListed({ executors: 1, slots: 1, durationMs: 300 });
            const texts = ["a", "b", "c"];
            const pending = texts.map(text => fixture.router.execute(fixture.createRequest(text)));
            let isStopped = false;
            void fixture.router.stop(400).then(() => {
                isStopped = true;
            });
            expect(await executeFor(fixture, fixture.createRequest("new"), 350)).toEqual("stopping notRun");
            expect(isStopped).toEqual(false);
            await fixture.run(100);
            expect(isStopped).toEqual(true);
            expect((await Promise.all(pending)).map(describeResult)).toEqual([
                "a",
                "stopping mayHaveRun",
                "stopping notRun",
            ]);
        });
    });
});
