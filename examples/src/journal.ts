/**
 * Journal: an accepted job survives the failure of its owner, and the successor fences the earlier owner.
 */
import { SystemClock, toId } from "@waxwingroute/core";
import type { HostId, JobId, ShardId } from "@waxwingroute/core";
import { Journal } from "@waxwingroute/journal";
import { FakeStore } from "@waxwingroute/stand-ins";

const clock = new SystemClock();
const store = new FakeStore({ clock });
const shard = toId<ShardId>("glasgow/0");
const job = toId<JobId>("glasgow.nightly-quotes");

const journal = (await Journal.open({ shard, epoch: 1, host: toId<HostId>("glasgow-1"), store, clock })).unwrap();
const spec = { taskCount: 3 };
const accepted = await journal.append({ kind: "jobAccepted", job, spec, at: clock.getWallTime() });
console.log(`accepted: ${accepted.ok}`);
await journal.append({ kind: "windowReserved", job, startedThrough: 2 });

const successorJournal = (await Journal.open({ shard, epoch: 2, host: toId<HostId>("glasgow-2"), store, clock }))
    .unwrap();
const recovered = successorJournal.getJobs().get(job);
console.log(`recovered: tasks below ${recovered?.startedThrough} may have started`);

const lateAppend = await journal.append({ kind: "jobCancelled", job, at: clock.getWallTime() });
console.log(
    `append of the earlier owner: ${
        lateAppend.err ? `${lateAppend.val.code}, ${lateAppend.val.verdict}` : "committed"
    }`,
);
successorJournal.close();
