import { SeededRandom } from "@waxwingroute/core";
import type { RequestKey, TeamId } from "@waxwingroute/core";
import { expect } from "earl";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FakeExecutorBehaviour } from "./testing/fake-executor.js";
import { cutting, quotes, RouterFixture } from "./testing/router-fixture.js";
import type { RouterRequest } from "./types.js";

const faults: readonly FakeExecutorBehaviour["kind"][] = ["error", "refuse", "lose", "silent", "confuse"];
const grants = new Map<TeamId, number>([[quotes, 5], [cutting, 3]]);

/** Sends random requests to a router, injects random faults and records each violation of the router's guarantees. */
class RandomFaultRun {
    readonly random: SeededRandom;
    readonly violations: string[] = [];
    readonly keyedRequests: { key: RequestKey; request: RouterRequest; }[] = [];
    readonly drainingSince = new Map<string, number>();
    fixture: RouterFixture;
    epoch = 1;
    started = 0;
    settled = 0;
    answered = 0;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
        this.fixture = new RouterFixture({ executors: 4, slots: 2, maxWaitingPerTeam: 20 });
        this.updateTeams();
        for (const executor of this.fixture.executors) {
            executor.chooseBehaviour = request => {
                this.checkExecutionStart(executor.executor, request.team);
                const kind = this.random.getFloat() < 0.7 ? "answer" : this.random.pickOne(faults)!;
                return { kind, durationMs: 1 + this.random.getInteger(this.random.getFloat() < 0.1 ? 1500 : 100) };
            };
        }
    }

    updateTeams(): void {
        grants.forEach((slots, team) => this.fixture.router.updateTeam({ team, weight: slots, slots }));
    }

    checkExecutionStart(executor: string, team: TeamId): void {
        const running = this.fixture.executors.flatMap(other => [...other.running]);
        if (running.filter(attempt => attempt.endsWith(`.${team}`)).length >= grants.get(team)!) {
            this.violations.push(`team ${team} exceeds its grant`);
        }
        const drainingMs = this.fixture.clock.getNow() - (this.drainingSince.get(executor) ?? Infinity);
        // An executor without a listing for three intervals is out of rotation, so draining works within 3,000 ms.
        if (drainingMs > 3000) {
            this.violations.push(`draining executor ${executor} got a request after ${drainingMs} ms`);
        }
    }

    performStep(): void {
        const choice = this.random.getFloat();
        const executor = this.random.pickOne(this.fixture.executors)!;
        if (choice < 0.7) {
            this.submit();
        }
        else if (choice < 0.75) {
            executor.isReachable = this.random.getFloat() < 0.7;
        }
        else if (choice < 0.8) {
            const wasDraining = executor.isDraining;
            executor.isDraining = this.random.getFloat() < 0.3;
            if (!executor.isDraining) {
                this.drainingSince.delete(executor.executor);
            }
            else if (!wasDraining) {
                this.drainingSince.set(executor.executor, this.fixture.clock.getNow());
            }
        }
        else if (choice < 0.82) {
            this.fixture.canSend = this.random.getFloat() < 0.7;
        }
        else if (choice < 0.83) {
            this.takeOver();
        }
    }

    submit(): void {
        const { fixture, random } = this;
        const id = this.started++;
        const signal = random.getFloat() < 0.1 ? AbortSignal.abort() : undefined;
        const controller = new AbortController();
        const request = fixture.createRequest(`body ${id}`, {
            team: random.pickOne([...grants.keys()])!,
            isIdempotent: random.getFloat() < 0.5,
            requestKey: random.getFloat() < 0.5 ? fixture.router.issueKey() : undefined,
            signal: signal ?? controller.signal,
        }, 20 + random.getInteger(1000));
        const earlier = random.getFloat() < 0.3 ? random.pickOne(this.keyedRequests) : undefined;
        const sent = earlier === undefined ? request : { ...earlier.request, deadline: request.deadline };
        if (request.requestKey !== undefined) {
            this.keyedRequests.push({ key: request.requestKey, request });
        }
        if (random.getFloat() < 0.1) {
            fixture.clock.schedule(random.getInteger(200), () => controller.abort());
        }
        void fixture.router.execute(sent).then(result => {
            this.settled++;
            if (result.ok) {
                this.answered++;
                this.check(
                    Buffer.compare(result.val.body, sent.body) === 0,
                    `request ${id} got the answer of another request`,
                );
            }
            else if (result.val.verdict === "notRun" && result.val.requestKey !== undefined) {
                this.check(
                    this.countRuns(result.val.requestKey) === 0,
                    `failure "${result.val.code}" has the verdict notRun, but request ${id} ran`,
                );
            }
        });
    }

    /**
     * Replaces the owner. The new one adopts the attempts on reachable executors; all attempts of the old one continue.
     */
    takeOver(): void {
        this.fixture.canSend = false;
        void this.fixture.router.stop(0);
        const fixture = new RouterFixture({ epoch: ++this.epoch, maxWaitingPerTeam: 20 }, this.fixture);
        this.fixture = fixture;
        this.updateTeams();
        for (const executor of fixture.executors.filter(other => other.isReachable)) {
            fixture.router.adoptAttempts(executor.executor, [...executor.running]);
        }
    }

    check(holds: boolean, message: string): void {
        if (!holds) {
            this.violations.push(message);
        }
    }

    countRuns(key: RequestKey): number {
        return this.fixture.executors.reduce((sum, executor) => sum + executor.countRuns(key), 0);
    }

    checkFinalState(): void {
        this.check(this.settled === this.started, `${this.started - this.settled} requests have no result`);
        for (const executor of this.fixture.executors) {
            this.check(
                executor.maxRunning <= 2,
                `executor ${executor.executor} ran ${executor.maxRunning} requests at once`,
            );
            for (const run of executor.runs) {
                this.check(
                    run.isIdempotent || this.countRuns(run.requestKey) === 1,
                    `non-idempotent request ${run.requestKey} ran more than once`,
                );
            }
        }
    }
}

describe("RequestRouter under random requests and faults", () => {
    // Guards against combinations of faults that break a guarantee on slots, grants, single runs, verdicts or answers.
    it("keeps its guarantees in every sequence of events", async t => {
        let started = 0;
        let answered = 0;
        let takeovers = 0;
        for (let seed = 1; seed <= 40; seed++) {
            const faultRun = new RandomFaultRun(seed);
            for (let step = 0; step < 250; step++) {
                faultRun.performStep();
                await faultRun.fixture.run(faultRun.random.getInteger(40), 20);
            }
            await faultRun.fixture.run(2000, 50);
            faultRun.checkFinalState();
            // The assertion shortens long values, so the message repeats them in full.
            assert.deepEqual(faultRun.violations, [], `seed ${seed}: ${faultRun.violations.join(", ")}`);
            started += faultRun.started;
            answered += faultRun.answered;
            takeovers += faultRun.epoch - 1;
        }
        t.diagnostic(`result: ${started} requests, ${answered} answered, ${takeovers} takeovers, 0 violations`);
        // If few requests succeeded, the run would check little.
        expect(answered > started / 4).toEqual(true);
    });
});
