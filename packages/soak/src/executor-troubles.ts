/** Troubles of executors and of the ways to them. */
import type { ExecutorFaults } from "./executor-front.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** An executor that loses calls or answers, carries calls out late, or rejects starts. */
export class FaultyExecutor extends Trouble {
    readonly name = "faulty-executor";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const front = random.pickOne(site.executors)!;
        const share = 0.3 + 0.7 * random.getFloat();
        const faults = random.pickOne<ExecutorFaults>([
            { callLossShare: share },
            { answerLossShare: share },
            { lateShare: share, maxLateMs: this.pickMs(random, 1_000, 10_000) },
            { lateShare: share / 2, answerLossShare: share },
            { isUnhealthy: true },
        ])!;
        // Links of all hosts are harmed, so none counts as in touch.
        const end = this.begin(context, site.hostNames, { executor: front.executor.id, ...faults });
        const restore = front.addFaults(faults);
        await wait(this.pickMs(random, 1_000, 12_000));
        restore();
        end();
    }
}

/** An executor that crashes and starts again under its id. */
export class RestartedExecutor extends Trouble {
    readonly name = "restarted-executor";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const front = random.pickOne(site.executors)!;
        const ms = this.pickMs(random, 20, 4_000);
        if (front.executor.life !== undefined) {
            const end = this.begin(context, [], { executor: front.executor.id, ms });
            front.endLife();
            await wait(ms);
            front.executor.beginLife();
            end();
        }
    }
}

/**
 * Executors that crash at the begin of an outage of the store, and others that take their addresses before its end, when
 * the lease of the owner has ended.
 */
export class ReplacedInOutage extends Trouble {
    readonly name = "replaced-in-outage";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const fronts = [...site.executors].filter(() => random.getFloat() < 0.3);
        const crashAfterMs = this.pickMs(random, 0, 500);
        const downMs = this.pickMs(random, 500, 2_500);
        const restMs = this.pickMs(random, 300, 3_000);
        const mode = random.pickOne(["busy", "silent"] as const)!;
        const details = { executors: fronts.map(front => front.executor.id), crashAfterMs, downMs, restMs, mode };
        const end = this.begin(context, site.hostNames, details);
        const restores = site.listStores(site.hostNames).map(store => store.addFaults({ mode }));
        await wait(crashAfterMs);
        const crashed = fronts.filter(front => front.executor.life !== undefined);
        crashed.forEach(front => front.endLife());
        await wait(downMs);
        crashed.forEach(front => front.executor.beginLifeOfSuccessor());
        await wait(restMs);
        restores.forEach(restore => restore());
        end();
    }
}

/** An executor that crashes, starts again at once under its id, and loses all its answers from then on. */
export class RestartedSilentExecutor extends Trouble {
    readonly name = "restarted-silent-executor";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const front = random.pickOne(site.executors)!;
        if (front.executor.life === undefined) {
            return;
        }
        const awayMs = this.pickMs(random, 5, 100);
        const silentMs = this.pickMs(random, 6_000, 12_000);
        const end = this.begin(context, site.hostNames, { executor: front.executor.id, awayMs, silentMs });
        front.endLife();
        await wait(awayMs);
        const restore = front.addFaults({ answerLossShare: 1 });
        front.executor.beginLife();
        await wait(silentMs);
        restore();
        end();
    }
}
