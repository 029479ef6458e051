/**
 * The operator's command that returns the grants of a shard that has ended for good.
 */
import { Ok, SystemRandom } from "@waxwingroute/core";
import type { Failure, RandomSource, Result, ShardId } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { BucketReplica } from "./bucket-replica.js";
import { bucketCount } from "./bucket.js";
import type { GrantBucket } from "./bucket.js";

/**
 * Removes a shard's grants from all buckets and returns how many teams it held. If the shard runs work nevertheless, teams
 * can exceed their limits, so that the caller makes sure that it does not and logs who issued the command. Safe to repeat
 * after a failure.
 */
export async function reclaimGrants(
    store: Store,
    shard: ShardId,
    random: RandomSource = new SystemRandom(),
): Promise<Result<number, Failure>> {
    let count = 0;
    for (let number = 0; number < bucketCount; number++) {
        const replica = new BucketReplica(number, store, random);
        const result = await reclaimBucket(replica, shard);
        if (!result.ok) {
            return result;
        }
        count += result.val;
    }
    return Ok(count);
}

async function reclaimBucket(replica: BucketReplica, shard: ShardId): Promise<Result<number, Failure>> {
    for (;;) {
        const read = await replica.read();
        if (!read.ok) {
            return read;
        }
        const held = Object.values(read.val.teams).filter(row => row.shards[shard] !== undefined).length;
        if (held === 0) {
            return Ok(0);
        }
        const written = await replica.write(removeShard(read.val, shard));
        if (written.ok) {
            return Ok(held);
        }
        if (written.val.code !== "store-conflict") {
            return written;
        }
    }
}

function removeShard(bucket: GrantBucket, shard: ShardId): GrantBucket {
    const teams = Object.entries(bucket.teams).map(([team, row]) => {
        const shards = Object.fromEntries(Object.entries(row.shards).filter(([other]) => other !== shard));
        return [team, { ...row, shards }];
    });
    return { ...bucket, teams: Object.fromEntries(teams) as GrantBucket["teams"] };
}
