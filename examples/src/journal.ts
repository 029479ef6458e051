/**
 * Journal: an accepted job survives its owner, and a later owner fences the earlier one.
 */
import { SystemClock, toId } from "@waxwingroute/core";
import type { HostId, JobId, ShardId } from "@waxwingroute/core";
import { Journal } from "@waxwingroute/journal";
import { FakeStore } from "@waxwingroute/stand-ins";

const clock = new SystemClock();
const store = new FakeStore({ clock });
const shard = toId<ShardId>("glasgow/0");
const job = toId<JobId>("glasgow.nightly-quotes");

const first = (await Journal.open({ shard, epoch: 1, host: toId<HostId>("glasgow-1"), store, clock })).unwrap();
const spec = { taskCount: 3 };
const accepted = await first.append({ kind: "jobAccepted", job, spec, at: clock.getWallTime() });
console.log(`accepted: ${accepted.ok}`);
await first.append({ kind: "windowReserved", job, startedThrough: 2 });

const second = (await Journal.open({ shard, epoch: 2, host: toId<HostId>("glasgow-2"), store, clock })).unwrap();
const recovered = second.getJobs().get(job);
console.log(`recovered: tasks below ${recovered?.startedThrough} may have started`);

const late = await first.append({ kind: "jobCancelled", job, at: clock.getWallTime() });
console.log(`append of the earlier owner: ${late.err ? `${late.val.code}, ${late.val.verdict}` : "committed"}`);
second.close();
