import { ManualClock, Ok, toId } from "@waxwingroute/core";
import type { Failure, JobId, QueueId, Result, TeamId } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { JobFeed } from "./job-feed.js";
import { encodeAcceptedJob, toJobKey } from "./store-keys.js";
import type { StoreReply, StoreRequest } from "./store.js";
import { LeaseStore } from "./store.js";
import { createStep } from "./testing/cell-simulation.js";
import { MemoryLeaseStore, MemoryStoreData } from "./testing/memory-lease-store.js";
import { createStrictSupervisor } from "./testing/strict-supervisor.js";

/** Longest time for which a job that was accepted may stay unknown to the owner, ms: what the platform allows at its end. */
const knownWithinMs = 14_000;

/** A store whose watches report all jobs but one. */
class ForgetfulStore extends LeaseStore {
    readonly store: MemoryLeaseStore;

    constructor(data: MemoryStoreData, private readonly hiddenKey: string) {
        super();
        this.store = new MemoryLeaseStore(data);
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const result: Result<StoreReply<StoreRequest>, Failure> = await this.store.call(request, timeoutMs);
        const isFiltered = result.ok && "changes" in result.val;
        const reply = isFiltered
            ? Ok({ ...result.val, changes: result.val.changes.filter(({ key }) => key !== this.hiddenKey) })
            : result;
        return reply as unknown as Result<StoreReply<Request>, Failure>;
    }
}

describe("JobFeed", () => {
    it("delivers a job that neither a watch nor a host reported, also while watches report others all the time", async () => {
        // Guards against an accepted job that no owner starts, because nothing contradicts the watch.
        const clock = new ManualClock();
        const data = new MemoryStoreData(clock);
        const hidden = toId<JobId>("00000000000000aa");
        const known = new Set<string>();
        const feed = new JobFeed({
            store: new ForgetfulStore(data, toJobKey(hidden)),
            clock,
            logger: { write: () => {} },
            supervisor: createStrictSupervisor(clock),
            onEvent: ({ job }) => known.add(job),
            onFullRead: () => undefined,
        });
        const storeJob = (job: JobId) => {
            const value = encodeAcceptedJob({
                kind: "accepted",
                queue: toId<QueueId>("queue"),
                team: toId<TeamId>("team"),
                acceptedAtWallMs: 0,
                epoch: 1,
                spec: { payload: "", steps: [createStep({})] },
            });
            const writes = [{ key: toJobKey(job), value }];
            data.execute({ kind: "commit", transaction: { conditions: [], writes, removals: [] } });
        };
        void feed.run(data.revision);
        storeJob(hidden);
        for (let waitedMs = 0; waitedMs < knownWithinMs; waitedMs += 200) {
            storeJob(toId<JobId>(waitedMs.toString(16).padStart(16, "0")));
            await clock.advance(200);
        }
        expect(known.size > 50).toEqual(true);
        expect(known.has(hidden)).toEqual(true);
        feed.close();
    });
});
