/**
 * The operator's command that frees the grants of a shard that is permanently gone.
 */
import { Ok, SystemRandom } from "@waxwingroute/core";
import type { Failure, RandomSource, Result, ShardId } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";
import { BucketReplica } from "./bucket-replica.js";
import { bucketCount } from "./bucket.js";
import type { GrantBucket } from "./bucket.js";

/**
 * Removes a shard's grants from all buckets and returns the number of teams of which it held grants. Teams can exceed
 * their limits if the shard still runs work: the caller must make sure that it does not, and must log who issued the
 * command. After a failure it can be called again.
 */
export async function reclaimGrants(
    store: Store,
    shard: ShardId,
    random: RandomSource = new SystemRandom(),
): Promise<Result<number, Failure>> {
    let teamCount = 0;
    for (let bucketNumber = 0; bucketNumber < bucketCount; bucketNumber++) {
        const replica = new BucketReplica(bucketNumber, store, random);
        const result = await reclaimBucket(replica, shard);
        if (!result.ok) {
            return result;
        }
        teamCount += result.val;
    }
    return Ok(teamCount);
}

/** Retries until no other shard's write comes between the read and the write. Returns how many teams the shard held. */
async function reclaimBucket(replica: BucketReplica, shard: ShardId): Promise<Result<number, Failure>> {
    for (;;) {
        const read = await replica.read();
        if (!read.ok) {
            return read;
        }
        const heldCount = Object.values(read.val.teams).filter(grants => grants.shards[shard] !== undefined).length;
        if (heldCount === 0) {
            return Ok(0);
        }
        const written = await replica.write(removeShard(read.val, shard));
        if (written.ok) {
            return Ok(heldCount);
        }
        if (written.val.code !== "store-conflict") {
            return written;
        }
    }
}

function removeShard(bucket: GrantBucket, shard: ShardId): GrantBucket {
    const teams = Object.entries(bucket.teams).map(([team, grants]) => {
        const shards = Object.fromEntries(Object.entries(grants.shards).filter(([other]) => other !== shard));
        return [team, { ...grants, shards }];
    });
    return { ...bucket, teams: Object.fromEntries(teams) as GrantBucket["teams"] };
}
