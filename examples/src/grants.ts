/**
 * Grants: two shards divide the resource limit of a team. The sum of their grants never exceeds it.
 */
import { ManualClock, toId } from "@waxwingroute/core";
import type { ShardId, TeamId } from "@waxwingroute/core";
import { fitsGrant, GrantsDriver, sumGrants, zeroGrant } from "@waxwingroute/grants";
import type { TeamUsage } from "@waxwingroute/grants";
import { FakeStore } from "@waxwingroute/stand-ins";

const clock = new ManualClock();
const store = new FakeStore({ clock });
const team = toId<TeamId>("quotes");
const limit = { cpuMillis: 10_000, memoryMb: 20_480, accelerators: 0, slots: 10 };
const taskResources = { ...zeroGrant, cpuMillis: 1_000, memoryMb: 2_048 };

async function openDriver(shard: string, waitingTasks: number): Promise<GrantsDriver> {
    const demand = sumGrants(Array.from({ length: waitingTasks }, () => taskResources));
    const usage: TeamUsage = { used: zeroGrant, demand, largestWaiting: taskResources };
    const driver = new GrantsDriver({
        shard: toId<ShardId>(shard),
        epoch: 1,
        store,
        clock,
        listUsage: () => new Map([[team, usage]]),
    });
    // `revision` is the configuration revision that set the limit.
    driver.setLimits(new Map([[team, { limit, revision: 1 }]]));
    const opened = await driver.open();
    if (opened.err) {
        throw new Error(opened.val.message);
    }
    return driver;
}

const glasgow = await openDriver("glasgow/0", 8);
const aberdeen = await openDriver("aberdeen/0", 8);
// Each shard writes to the store at most once every 2 seconds.
await clock.advance(20_000);
const total = sumGrants([glasgow.getGrant(team), aberdeen.getGrant(team)]);
console.log(`glasgow/0 ${glasgow.getGrant(team).cpuMillis}, aberdeen/0 ${aberdeen.getGrant(team).cpuMillis} cpuMillis`);
console.log(`together within the limit: ${fitsGrant(total, limit)}`);
glasgow.close();
aberdeen.close();
