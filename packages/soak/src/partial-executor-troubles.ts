/** Troubles of executors that some hosts reach and others do not, whose clocks are slow, or that act late beside a restart. */
import type { RandomSource } from "@waxwingroute/core";
import { slowestRate } from "./executor-clock.js";
import type { ExecutorFaults } from "./executor-front.js";
import type { HostProcess } from "./host-process.js";
import { replaceOwner } from "./owner-changes.js";
import type { Site } from "./site.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Latest origin of an executor's clock, ms: a machine that has run for ten days. */
const maxOriginMs = 864_000_000;

/** Draws one to half of the executors. */
function pickFronts(site: Site, random: RandomSource): Site["executors"] {
    const count = 1 + random.getInteger(Math.max(1, Math.floor(site.executors.length / 2)));
    const first = random.getInteger(site.executors.length);
    return Array.from({ length: count }, (_, index) => site.executors[(first + index) % site.executors.length]!);
}

/** Executors whose clock is slow, so that their leases last longer, and which are then silent until these have lapsed. */
export class SlowClocks extends Trouble {
    readonly name = "slow-clocks";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const fronts = pickFronts(site, random);
        const ids = fronts.map(front => front.executor.id);
        const slowMs = this.pickMs(random, 500, 5_000);
        const silentMs = this.pickMs(random, 4_000, 10_000);
        const faults = random.pickOne<ExecutorFaults>([
            { callLossShare: 1 },
            { answerLossShare: 1 },
            { cutHosts: site.hostNames },
        ])!;
        const end = this.begin(context, site.hostNames, { ids, slowMs, silentMs, ...faults });
        fronts.forEach(front => front.executor.steadyClock.setRate(slowestRate));
        await wait(slowMs);
        const restores = fronts.map(front => front.addFaults(faults));
        await wait(silentMs);
        restores.forEach(restore => restore());
        fronts.forEach(front => front.executor.steadyClock.setRate(1));
        end();
    }
}

/** Executors that some hosts do not reach, in one direction or both, while the owner changes. */
export class PartlyCutExecutors extends Trouble {
    readonly name = "partly-cut-executors";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const fronts = pickFronts(site, random);
        const owner = site.findOwner() ?? site.hosts[0]!;
        const hosts = this.pickHosts(context, owner);
        const faults = random.pickOne<ExecutorFaults>([
            { cutHosts: hosts },
            { hosts, callLossShare: 1 },
            { hosts, answerLossShare: 1 },
            { hosts, answerLossShare: 1, kinds: ["start", "stop"] },
        ])!;
        const beforeMs = this.pickMs(random, 100, 4_000);
        const afterMs = this.pickMs(random, 1_000, 7_000);
        const change = random.pickOne(["none", "pause", "kill", "stop"] as const)!;
        const ids = fronts.map(front => front.executor.id);
        const end = this.begin(context, [...new Set([...hosts, owner.name])], { ids, change, beforeMs, ...faults });
        const restores = fronts.map(front => front.addFaults(faults));
        await wait(beforeMs);
        await replaceOwner(context, owner, change);
        await wait(afterMs);
        restores.forEach(restore => restore());
        end();
    }

    /** The owner, one host, all but one, or half. */
    private pickHosts({ site, random }: TroubleContext, owner: HostProcess): string[] {
        const names = site.hostNames;
        const one = random.pickOne(names)!;
        return random.pickOne([
            [owner.name],
            [one],
            names.filter(name => name !== one),
            names.filter(name => name !== owner.name),
            names.filter((_, index) => index % 2 === 0),
        ])!;
    }
}

/**
 * An executor that carries starts out seconds late, so that other orders overtake them, and restarts meanwhile under its id
 * with another clock. Starts that wait end with the life for which they were sent.
 */
export class LateStartsBesideRestart extends Trouble {
    readonly name = "late-starts-beside-restart";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const front = random.pickOne(site.executors)!;
        const lateShare = 0.3 + 0.7 * random.getFloat();
        const maxLateMs = this.pickMs(random, 1_500, 8_000);
        const beforeMs = this.pickMs(random, 300, 4_000);
        const awayMs = this.pickMs(random, 5, 800);
        const afterMs = this.pickMs(random, 2_000, 8_000);
        const answerLossShare = random.pickOne([0, 0.5, 1])!;
        const originMs = random.pickOne([0, Math.floor(random.getFloat() * maxOriginMs)])!;
        const details = {
            executor: front.executor.id,
            lateShare,
            maxLateMs,
            beforeMs,
            awayMs,
            afterMs,
            answerLossShare,
        };
        const end = this.begin(context, site.hostNames, details);
        const restores = [front.addFaults({ lateShare, maxLateMs, kinds: ["start"] })];
        await wait(beforeMs);
        if (front.executor.life !== undefined) {
            front.endLife();
            await wait(awayMs);
            restores.push(front.addFaults({ answerLossShare }));
            front.executor.beginLife(originMs);
        }
        await wait(afterMs);
        restores.forEach(restore => restore());
        end();
    }
}
