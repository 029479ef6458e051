/** Troubles of executors that restart at moments in which their owner has no call on its way to them. */
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Latest origin of an executor's clock, ms: a machine that has run for ten days. */
const maxOriginMs = 864_000_000;

/**
 * The owner stores ends slowly, and so waits between its listings, while executors crash and start again at once under
 * their ids. The clock of a new life begins anew or at another origin, and some answers of it are lost.
 */
export class RestartsBetweenListings extends Trouble {
    readonly name = "restarts-between-listings";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const owner = site.findOwner() ?? site.hosts[0]!;
        const delayMs = this.pickMs(random, 150, 600);
        const times = 2 + random.getInteger(5);
        const answerLossShare = random.pickOne([0, 0.3, 0.6])!;
        const end = this.begin(context, site.hostNames, { owner: owner.name, delayMs, times, answerLossShare });
        const restores = [
            ...site.listStores(site.hostNames).map(store => store.addFaults({ delayMs })),
            ...site.executors.map(front => front.addFaults({ answerLossShare, kinds: ["start", "hold"] })),
        ];
        for (let time = 0; time < times; time++) {
            await wait(this.pickMs(random, 300, 1_200));
            const front = random.pickOne(site.executors)!;
            if (front.executor.life !== undefined) {
                front.endLife();
                await wait(this.pickMs(random, 2, 30));
                front.executor.beginLife(random.pickOne([0, Math.floor(random.getFloat() * maxOriginMs)]));
            }
        }
        restores.forEach(restore => restore());
        end();
    }
}
