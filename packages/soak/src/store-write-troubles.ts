/** Troubles of single kinds of writes of the store: records of the owner, and what the owner stores of jobs and run ends. */
import { replaceOwner } from "./owner-changes.js";
import type { StoreFaults } from "./store-front.js";
import { Trouble } from "./trouble.js";
import type { TroubleContext } from "./trouble.js";

/** Key of the owner's record, under its lease. */
export const ownerRecordKey = "waxwing/lead/owner";
const ownershipKeys = ["waxwing/lead/"];
const journalKeys = ["waxwing/jobs/", "waxwing/ends/"];

/** Commits of one kind lose their answers, or are carried out seconds late, while the owner changes. */
export class RecordWritesLost extends Trouble {
    readonly name = "record-writes-lost";

    async run(context: TroubleContext): Promise<void> {
        const { site, random, wait } = context;
        const owner = site.findOwner() ?? site.hosts[0]!;
        const keyPrefixes = random.pickOne([ownershipKeys, journalKeys, [...ownershipKeys, ...journalKeys]])!;
        const share = random.pickOne([0.3, 0.7, 1])!;
        const maxLateMs = this.pickMs(random, 1_500, 9_000);
        const faults = random.pickOne<StoreFaults>([
            { keyPrefixes, lossShare: share },
            { keyPrefixes, lateShare: share, maxLateMs },
            { keyPrefixes, lateShare: share / 2, lossShare: share, maxLateMs },
        ])!;
        // The successor's writes of these keys are as much in question as the owner's.
        const hosts = random.getFloat() < 0.5 ? [owner.name] : site.hostNames;
        const change = random.pickOne(["none", "pause", "kill", "stop"] as const)!;
        const beforeMs = this.pickMs(random, 200, 2_500);
        const afterMs = this.pickMs(random, 500, 4_000);
        const end = this.begin(context, hosts, { change, beforeMs, afterMs, ...faults });
        const restores = site.listStores(hosts).map(store => store.addFaults(faults));
        await wait(beforeMs);
        await replaceOwner(context, owner, change);
        await wait(afterMs);
        restores.forEach(restore => restore());
        end();
    }
}
