/**
 * An operator server on loopback with an in-memory store, and gateways that record calls.
 */
import { createFailure, Err, Ok, SystemClock } from "@waxwingroute/core";
import type { Failure, HostId, Result, ShardId, ZoneId } from "@waxwingroute/core";
import { ConfigurationReplica } from "@waxwingroute/relay";
import { ResourceRepository } from "@waxwingroute/resources";
import type { JobResource } from "@waxwingroute/resources";
import { MemoryStore } from "@waxwingroute/resources/testing";
import { OperatorServer } from "../operator-server.js";
import type { OperatorServerOptions, OperatorWrite } from "../operator-server.js";
import { ClusterGateway, JobGateway } from "../types.js";
import type { HostRevision, JobExplanation, JobQuery, JobStatus, JobWatchOptions } from "../types.js";

/** Keeps jobs in memory. */
export class MemoryJobGateway extends JobGateway {
    readonly jobs = new Map<string, JobStatus>();
    private readonly watches = new Set<JobWatchOptions>();
    private revision = 0;

    async submit(job: JobResource): Promise<Result<JobStatus, Failure>> {
        const { name, spec: { team, kind, taskCount } } = job;
        if (this.jobs.has(name)) {
            return Err(createFailure("already-exists", `job "${name}" exists: choose another name`, "notRun"));
        }
        const tasks = {
            waiting: taskCount,
            starting: 0,
            running: 0,
            succeeded: 0,
            failed: 0,
            stopped: 0,
            mayHaveRun: 0,
        };
        return Ok(this.record({ name, team, kind, state: "waiting", shard: "glasgow/0", tasks, revision: 0 }));
    }

    async cancel(name: string): Promise<Result<JobStatus, Failure>> {
        return (await this.describe(name)).map(job => this.record({ ...job, state: "cancelled" }));
    }

    async describe(name: string): Promise<Result<JobStatus, Failure>> {
        const job = this.jobs.get(name);
        return job === undefined
            ? Err(createFailure("not-found", `job "${name}" does not exist: check the name`, "notRun"))
            : Ok(job);
    }

    async list({ team, limit }: JobQuery): Promise<Result<readonly JobStatus[], Failure>> {
        return Ok([...this.jobs.values()].filter(job => team === undefined || job.team === team).slice(0, limit));
    }

    async watch(watch: JobWatchOptions): Promise<Result<void, Failure>> {
        this.watches.add(watch);
        return new Promise(resolve => {
            watch.signal.addEventListener("abort", () => resolve(Ok(undefined)));
        });
    }

    async explain(name: string): Promise<Result<JobExplanation, Failure>> {
        const reasons = [{ code: "no-capacity", message: "no worker has 500 free cpuMillis" }];
        return (await this.describe(name)).map(job => ({ job, reasons, estimatedWaitMs: 1_500 }));
    }

    private record(job: JobStatus): JobStatus {
        const recorded = { ...job, revision: ++this.revision };
        this.jobs.set(job.name, recorded);
        this.watches.forEach(watch => watch.onEvent(recorded));
        return recorded;
    }
}

/** A cluster of one host, which records the calls of `releaseShard`. */
export class MemoryClusterGateway extends ClusterGateway {
    readonly releaseCalls: string[] = [];

    constructor(private readonly replica: ConfigurationReplica) {
        super();
    }

    async listHostRevisions(): Promise<Result<readonly HostRevision[], Failure>> {
        const { revision } = this.replica;
        return Ok([{ host: "g1" as HostId, zone: "glasgow" as ZoneId, revision, confirmedAgoMs: 0 }]);
    }

    async releaseShard(shard: ShardId, reason: string): Promise<Result<number, Failure>> {
        this.releaseCalls.push(`${shard}: ${reason}`);
        return Ok(8);
    }
}

/** Starts a server. `syncReplica` applies the store's changes to the replica of the server. */
export async function startOperator(options: Partial<OperatorServerOptions> = {}) {
    const store = new MemoryStore(new SystemClock());
    const replica = new ConfigurationReplica();
    const repository = new ResourceRepository({ store, retryDelayMs: 1 });
    const jobs = new MemoryJobGateway();
    const cluster = new MemoryClusterGateway(replica);
    const writes: OperatorWrite[] = [];
    const errors: unknown[] = [];
    const syncReplica = (): void => {
        const { changes, revision } = store.data;
        const from = replica.revision ?? 0;
        const newer = changes.filter(change => change.revision > from);
        replica.applyUpdate({ kind: "delta", from, revision, changes: newer }).unwrap();
        replica.confirm(revision, performance.now());
    };
    replica.applyUpdate({ kind: "snapshot", revision: 0, entries: [] }).unwrap();
    syncReplica();
    const server = new OperatorServer({
        repository,
        replica,
        jobs,
        cluster,
        onWrite: write => writes.push(write),
        onError: error => errors.push(error),
        ...options,
    });
    const port = await server.start();
    return { server, port, store, replica, repository, jobs, cluster, writes, errors, syncReplica };
}
