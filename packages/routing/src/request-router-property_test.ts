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

/** Drives a router with random requests and faults and checks the guarantees at each step. */
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
                this.checkStart(executor.executor, request.team);
                const kind = this.random.getFloat() < 0.7 ? "answer" : this.random.pickOne(faults)!;
                return { kind, durationMs: 1 + this.random.getInteger(this.random.getFloat() < 0.1 ? 1500 : 100) };
            };
        }
    }

    updateTeams(): void {
        grants.forEach((slots, team) => this.fixture.router.updateTeam({ team, weight: slots, slots }));
    }

    checkStart(executor: string, team: TeamId): void {
        const running = this.fixture.executors.flatMap(other => [...other.running]);
        if (running.filter(attempt => attempt.endsWith(`.${team}`)).length >= grants.get(team)!) {
            this.violations.push(`team ${team} is above its grant`);
        }
        const drainingMs = this.fixture.clock.getNow() - (this.drainingSince.get(executor) ?? Infinity);
        // An executor without a list for three intervals is out of rotation, so a draining one shows within 3,000 ms.
        if (drainingMs > 3000) {
            this.violations.push(`draining executor ${executor} got work after ${drainingMs} ms`);
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
                this.check(Buffer.compare(result.val.body, sent.body) === 0, `request ${id} got another answer`);
            }
            else if (result.val.verdict === "notRun" && result.val.requestKey !== undefined) {
                this.check(this.countRuns(result.val.requestKey) === 0, `"${result.val.code}" of request ${id} ran`);
            }
        });
    }

    /** A new owner lists the executors and replaces the old one, whose attempts go on. */
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
            this.check(executor.maxRunning <= 2, `executor ${executor.executor} ran ${executor.maxRunning} at once`);
            for (const run of executor.runs) {
                this.check(run.isIdempotent || this.countRuns(run.requestKey) === 1, `${run.requestKey} ran twice`);
            }
        }
    }
}

describe("RequestRouter under random events", () => {
    // Guards the guarantees on slots, grants, single execution, verdicts and answers against combinations of faults.
    it("keeps its guarantees in every sequence of events", async t => {
        let started = 0;
        let answered = 0;
        let takeovers = 0;
        for (let seed = 1; seed <= 40; seed++) {
            const exploration = new RandomFaultRun(seed);
            for (let step = 0; step < 250; step++) {
                exploration.performStep();
                await exploration.fixture.run(exploration.random.getInteger(40), 20);
            }
            await exploration.fixture.run(2000, 50);
            exploration.checkFinalState();
            // The assertion library shortens long values, so the message carries them.
            assert.deepEqual(exploration.violations, [], `seed ${seed}: ${exploration.violations.join(", ")}`);
            started += exploration.started;
            answered += exploration.answered;
            takeovers += exploration.epoch - 1;
        }
        t.diagnostic(`result: ${started} requests, ${answered} answered, ${takeovers} takeovers, 0 violations`);
        // A run in which little succeeds would check little.
        expect(answered > started / 4).toEqual(true);
    });
});
