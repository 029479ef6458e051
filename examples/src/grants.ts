/**
 * Grants: two shards divide the upper limit of a team, and never exceed it together.
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
const task = { ...zeroGrant, cpuMillis: 1_000, memoryMb: 2_048 };

async function openShard(shard: string, waitingTasks: number): Promise<GrantsDriver> {
    const demand = sumGrants(Array.from({ length: waitingTasks }, () => task));
    const use: TeamUsage = { used: zeroGrant, demand, largestWaiting: task };
    const grants = new GrantsDriver({
        shard: toId<ShardId>(shard),
        epoch: 1,
        store,
        clock,
        listUsage: () => new Map([[team, use]]),
    });
    // The revision is that of the configuration that set the limit.
    grants.setLimits(new Map([[team, { limit, revision: 1 }]]));
    const opened = await grants.open();
    if (opened.err) {
        throw new Error(opened.val.message);
    }
    return grants;
}

const glasgow = await openShard("glasgow/0", 8);
const aberdeen = await openShard("aberdeen/0", 8);
// Each shard writes at most once every 2 seconds.
await clock.advance(20_000);
const total = sumGrants([glasgow.getGrant(team), aberdeen.getGrant(team)]);
console.log(`glasgow/0 ${glasgow.getGrant(team).cpuMillis}, aberdeen/0 ${aberdeen.getGrant(team).cpuMillis} cpuMillis`);
console.log(`together within the limit: ${fitsGrant(total, limit)}`);
glasgow.close();
aberdeen.close();
