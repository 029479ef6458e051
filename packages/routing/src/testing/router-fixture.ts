/**
 * A router with fake executors under a manual clock.
 */
import { ManualClock, SeededRandom, toId, toShardId } from "@waxwingroute/core";
import type { ExecutorId, QueueId, TeamId, ZoneId } from "@waxwingroute/core";
import { RequestRouter } from "../request-router.js";
import type { RequestRouterOptions, RouterDecision, RouterRequest } from "../types.js";
import type { FakeExecutorBehaviour } from "./fake-executor.js";
import { FakeExecutor } from "./fake-executor.js";

export const quotes = toId<TeamId>("quotes");
export const cutting = toId<TeamId>("cutting");
export const orders = toId<QueueId>("orders");
export const glasgow = toId<ZoneId>("glasgow");

/** Options of a router fixture, and of its router. */
export interface RouterFixtureOptions extends Partial<RequestRouterOptions> {
    /** Number of executors. Default 2. */
    readonly executors?: number;
    /** Slots of each executor. Default 2. */
    readonly slots?: number;
    /** Milliseconds for which each request runs. Default 10. */
    readonly durationMs?: number;
}

/** A router, its executors and a manual clock. With `previous`, the clock and the executors of an earlier fixture. */
export class RouterFixture {
    readonly clock: ManualClock;
    readonly decisions: RouterDecision[] = [];
    readonly executors: FakeExecutor[];
    readonly router: RequestRouter;
    canSend = true;

    constructor(options: RouterFixtureOptions = {}, previous?: RouterFixture) {
        const { executors = 2, slots = 2, durationMs = 10, ...routerOptions } = options;
        const clock = previous?.clock ?? new ManualClock();
        this.clock = clock;
        this.executors = previous?.executors ?? Array.from(
            { length: executors },
            (_, index) => new FakeExecutor(toId<ExecutorId>(`executor-${index}`), slots, clock, durationMs),
        );
        this.router = new RequestRouter({
            clock,
            random: new SeededRandom(1),
            shard: toShardId(glasgow, 0),
            epoch: 1,
            canSend: () => this.canSend,
            onDecision: decision => this.decisions.push(decision),
            ...routerOptions,
        });
        this.router.updateTeam({ team: quotes, weight: 1, slots: 1000 });
        this.executors.forEach(executor => this.addExecutor(executor));
    }

    addExecutor(access: FakeExecutor, isDraining = false): void {
        const { executor, slots } = access;
        this.router.updateExecutor({ executor, access, slots, connections: 64, queues: [], isDraining });
    }

    /** Ticks every `stepMs` for `durationMs` of virtual time. */
    async run(durationMs: number, stepMs = 10): Promise<void> {
        for (let elapsed = 0; elapsed < durationMs; elapsed += stepMs) {
            this.router.tick(this.clock.getNow());
            await this.clock.advance(Math.min(stepMs, durationMs - elapsed));
        }
        this.router.tick(this.clock.getNow());
        await this.clock.advance(0);
    }

    /** Makes all executors handle all requests in the same way. */
    setBehaviour(behaviour: FakeExecutorBehaviour): void {
        this.executors.forEach(executor => {
            executor.chooseBehaviour = () => behaviour;
        });
    }

    /** Creates a request whose body is `text` and whose deadline is `deadlineMs` from now. */
    createRequest(text: string, fields: Partial<RouterRequest> = {}, deadlineMs = 5000): RouterRequest {
        return {
            team: quotes,
            queue: orders,
            isIdempotent: false,
            deadline: this.clock.getNow() + deadlineMs,
            body: Buffer.from(text),
            contentType: "text/plain",
            ...fields,
        };
    }

    /** Returns how many requests have run on all executors. */
    countRuns(): number {
        return this.executors.reduce((sum, executor) => sum + executor.runs.length, 0);
    }
}
