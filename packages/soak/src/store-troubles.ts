/** Troubles of the store and of the ways to it. */
import type { StoreFaults } from "./store-front.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Time after an outage in which answers overtake each other, and longest delay of one, ms. */
const overtakingMs = 600;
const maxAnswerDelayMs = 250;

/** A fault of the store for one host or for all. */
abstract class StoreTrouble extends Trouble {
    /** Draws the fault and how long it lasts. */
    protected abstract pickFault(context: TroubleContext): { readonly faults: StoreFaults; readonly ms: number; };

    /** Share of the troubles that hit all hosts. */
    protected abstract readonly shareOfAll: number;

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const isForAll = random.getFloat() < this.shareOfAll;
        const hosts = isForAll ? site.hostNames : [site.chooseHost(random, 0.5).name];
        const { faults, ms } = this.pickFault(context);
        const end = this.begin(context, hosts, { ...faults, ms });
        const restores = site.listStores(hosts).map(store => store.addFaults(faults));
        await wait(ms);
        restores.forEach(restore => restore());
        end();
    }
}

/** The store does not answer, refuses calls, or is slow. */
export class StoreAway extends StoreTrouble {
    readonly name = "store-away";
    protected readonly shareOfAll = 0.5;

    protected pickFault({ random }: TroubleContext): { faults: StoreFaults; ms: number; } {
        const faults = random.pickOne<StoreFaults>([
            { mode: "silent" },
            { mode: "busy" },
            { delayMs: this.pickMs(random, 100, 1_500) },
        ])!;
        return { faults, ms: this.pickMs(random, 1_000, 9_000) };
    }
}

/** The store is away for all while leases expire; its first answers afterwards overtake each other. */
export class StoreLapse extends Trouble {
    readonly name = "store-lapse";

    async run(context: TroubleContext): Promise<void> {
        const { random, site, wait } = context;
        const stores = site.listStores(site.hostNames);
        const awayMs = this.pickMs(random, 1_500, 6_900);
        const end = this.begin(context, site.hostNames, { awayMs });
        const restores = stores.map(store => store.addFaults({ mode: "silent" }));
        await wait(awayMs);
        restores.forEach(restore => restore());
        const delays = stores.map(store => store.addFaults({ maxAnswerDelayMs }));
        await wait(overtakingMs);
        delays.forEach(restore => restore());
        end();
    }
}

/** Connections end in place of answers, after the call was carried out. */
export class StoreAnswersLost extends StoreTrouble {
    readonly name = "store-answers-lost";
    protected readonly shareOfAll = 0.6;

    protected pickFault({ random }: TroubleContext): { faults: StoreFaults; ms: number; } {
        return {
            faults: { lossShare: [0.1, 0.3, 0.6][random.getInteger(3)]! },
            ms: this.pickMs(random, 3_000, 12_000),
        };
    }
}

/** Writes are held back for seconds and then carried out if their conditions still hold. */
export class StoreWritesLate extends StoreTrouble {
    readonly name = "store-writes-late";
    protected readonly shareOfAll = 0.4;

    protected pickFault({ random }: TroubleContext): { faults: StoreFaults; ms: number; } {
        const lateShare = [0.1, 0.3, 0.7][random.getInteger(3)]!;
        return {
            faults: { lateShare, maxLateMs: this.pickMs(random, 2_000, 20_000) },
            ms: this.pickMs(random, 2_000, 10_000),
        };
    }
}
