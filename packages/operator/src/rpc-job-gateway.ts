/**
 * Submits, finds and watches jobs on the owners of their shards, over gRPC.
 *
 * A hash of the job's name selects its shard: among the shards of its zone if the job names one, otherwise among all
 * shards of the cluster. Each operator process selects the same shard, so that a repeated submission finds the existing
 * job.
 */
import type { SchedulerClients, ShardClient } from "@waxwingroute/cluster";
import { createFailure, Err, getShardZone, Ok, toId } from "@waxwingroute/core";
import type { Failure, Result, ShardId, ZoneId } from "@waxwingroute/core";
import type { JobResource } from "@waxwingroute/resources";
import { listShards, listZoneShards } from "@waxwingroute/settings";
import type { Settings } from "@waxwingroute/settings";
import { schedulerService } from "@waxwingroute/transport";
import type { JobStatus as WireStatus, RpcStream, UnaryMethod } from "@waxwingroute/transport";
import { createHash } from "node:crypto";
import { match } from "ts-pattern";
import { JobGateway } from "./types.js";
import type { JobExplanation, JobQuery, JobStatus, JobWatchOptions } from "./types.js";

/** Maximum wait for the owner of a shard, in milliseconds; a change of owner takes up to 5 seconds. */
const callTimeoutMs = 8_000;
/**
 * Maximum wait of a search over all shards, in milliseconds; shards without an answer, as in a partitioned zone, are
 * left out.
 */
const searchTimeoutMs = 2_000;
/** Delay before the watch of a shard is opened again, in milliseconds. */
const watchRetryDelayMs = 500;
/** How far before its revision a watch resumes, because revisions are wall-clock times and the hosts' clocks differ. */
const resumeOverlapMicroseconds = 5_000_000;

/** Options of an `RpcJobGateway`. */
export interface RpcJobGatewayOptions {
    readonly settings: Settings;
    readonly shardClient: ShardClient;
    /** Opens the streams of watches. Default: watches report no changes. */
    readonly clients?: SchedulerClients;
}

/** Access to jobs over gRPC. */
export class RpcJobGateway extends JobGateway {
    constructor(private readonly options: RpcJobGatewayOptions) {
        super();
    }

    async submit(job: JobResource): Promise<Result<JobStatus, Failure>> {
        const { settings, shardClient } = this.options;
        const { zone } = job.spec;
        const candidates = zone === undefined ? listShards(settings) : listZoneShards(settings, toId<ZoneId>(zone));
        const shard = chooseShardByName(candidates, job.name);
        if (shard === undefined) {
            const known = settings.regions.flatMap(region => region.zones).map(other => other.name).join(", ");
            return Err(
                createFailure(
                    "unknown-zone",
                    `spec.zone: zone "${zone}" does not exist: use one of ${known}`,
                    "notRun",
                ),
            );
        }
        const request = { shard, name: job.name, spec: JSON.stringify(job.spec), timeoutMs: callTimeoutMs };
        const result = await shardClient.call(shard, schedulerService.submitJob, request, callTimeoutMs);
        return result.map(toJobStatus).mapErr(toGatewayFailure);
    }

    async cancel(name: string): Promise<Result<JobStatus, Failure>> {
        const called = await this.callJobMethod(name, schedulerService.cancelJob);
        return called.map(({ response }) => toJobStatus(response));
    }

    async describe(name: string): Promise<Result<JobStatus, Failure>> {
        return (await this.findJob(name)).map(toJobStatus);
    }

    async list({ team, afterName = "", limit }: JobQuery): Promise<Result<readonly JobStatus[], Failure>> {
        const { settings, shardClient } = this.options;
        const lists = await Promise.all(
            listShards(settings).map(shard =>
                shardClient.call(shard, schedulerService.listJobs, { shard }, searchTimeoutMs)
            ),
        );
        const failure = lists.find(list => list.err);
        if (failure?.err === true && lists.every(list => list.err)) {
            return Err(failure.val);
        }
        const jobs = lists.flatMap(list => list.ok ? list.val.jobs : [])
            .filter(job => job.name > afterName && (team === undefined || job.team === team))
            .sort((first, second) => first.name < second.name ? -1 : 1);
        return Ok(jobs.slice(0, limit).map(toJobStatus));
    }

    async explain(name: string): Promise<Result<JobExplanation, Failure>> {
        const called = await this.callJobMethod(name, schedulerService.explainJob);
        return called.map(({ found, response }) => ({
            job: toJobStatus(found),
            reasons: response.reasons.map(parseReason),
        }));
    }

    async watch({ team, afterRevision, onEvent, signal }: JobWatchOptions): Promise<Result<void, Failure>> {
        const startRevision = afterRevision === undefined
            ? Date.now() * 1_000
            : afterRevision - resumeOverlapMicroseconds;
        await Promise.all(
            listShards(this.options.settings).map(shard =>
                this.watchShard(shard, startRevision, signal, status => {
                    if (team === undefined || status.team === team) {
                        onEvent(toJobStatus(status));
                    }
                })
            ),
        );
        return Ok(undefined);
    }

    /** Watches one shard until `signal` is aborted, and reopens the watch when it ends, as when the owner changes. */
    private async watchShard(
        shard: ShardId,
        startRevision: number,
        signal: AbortSignal,
        onStatus: (status: WireStatus) => void,
    ): Promise<void> {
        let nextRevision = startRevision;
        while (!signal.aborted) {
            const { shardClient, clients } = this.options;
            const listed = await shardClient.call(shard, schedulerService.listJobs, { shard }, searchTimeoutMs);
            const owner = shardClient.getLastOwner(shard);
            const client = owner === undefined ? undefined : clients?.get(owner);
            if (listed.ok && client !== undefined) {
                listed.val.jobs.filter(job => job.revision >= nextRevision).forEach(onStatus);
                nextRevision = Math.max(nextRevision, ...listed.val.jobs.map(job => job.revision + 1));
                await new Promise<void>(resolve => {
                    const stream: RpcStream = client.openStream(schedulerService.watchJobs, {
                        shard,
                        from: nextRevision,
                    }, {
                        onMessage: ({ status, sequence }) => {
                            nextRevision = Math.max(nextRevision, sequence + 1);
                            if (status !== undefined) {
                                onStatus(status);
                            }
                        },
                        onEnd: () => resolve(),
                    });
                    signal.addEventListener("abort", () => stream.cancel(), { once: true });
                });
            }
            if (!signal.aborted) {
                await new Promise(resolve => setTimeout(resolve, watchRetryDelayMs));
            }
        }
    }

    /** Finds a job and calls a method with the job's id on the owner of its shard. */
    private async callJobMethod<Response>(
        name: string,
        method: UnaryMethod<{ shard: string; job: string; }, Response>,
    ): Promise<Result<{ readonly found: WireStatus; readonly response: Response; }, Failure>> {
        const found = await this.findJob(name);
        if (!found.ok) {
            return Err(found.val);
        }
        const { shard, job } = found.val;
        const result = await this.options.shardClient.call(toId<ShardId>(shard), method, { shard, job }, callTimeoutMs);
        return result.map(response => ({ found: found.val, response })).mapErr(toGatewayFailure);
    }

    /** Finds a job by name: first in the shard that a job without a zone belongs to, then in all others. */
    private async findJob(name: string): Promise<Result<WireStatus, Failure>> {
        const { settings } = this.options;
        const all = listShards(settings);
        const likelyShard = chooseShardByName(all, name);
        const first = likelyShard === undefined ? undefined : await this.describeInShard(likelyShard, name);
        if (first?.ok === true) {
            return first;
        }
        const others = await Promise.all(
            all.filter(shard => shard !== likelyShard).map(shard => this.describeInShard(shard, name)),
        );
        const found = others.find(result => result.ok);
        const unreachable = [...first === undefined ? [] : [first], ...others]
            .find(result => result.err && result.val.code !== "unknown-job");
        return found ?? unreachable?.mapErr(toGatewayFailure)
            ?? Err(createFailure("not-found", `job "${name}" does not exist`, "notRun"));
    }

    private describeInShard(shard: ShardId, name: string): Promise<Result<WireStatus, Failure>> {
        const request = { shard, job: `${getShardZone(shard)}.${name}` };
        return this.options.shardClient.call(shard, schedulerService.describeJob, request, searchTimeoutMs);
    }
}

function chooseShardByName(shards: readonly ShardId[], name: string): ShardId | undefined {
    const hash = createHash("sha256").update(name).digest().readUInt32BE();
    return shards[hash % shards.length];
}

function toGatewayFailure(failure: Failure): Failure {
    return match(failure.code)
        .with("job-exists", () => ({ ...failure, code: "already-exists" }))
        .with("unknown-job", () => ({ ...failure, code: "not-found" }))
        .otherwise(() => failure);
}

function parseReason(text: string): { readonly code: string; readonly message: string; } {
    const separator = text.indexOf(": ");
    return { code: text.slice(0, separator), message: text.slice(separator + 2) };
}

function toJobStatus(status: WireStatus): JobStatus {
    const { name, team, kind, shard, waiting, starting, running, succeeded, failed, stopped, mayHaveRun, revision } =
        status;
    const state = match(status.state)
        .with(
            "finished",
            () =>
                mayHaveRun > 0
                    ? "mayHaveRun" as const
                    : failed + stopped > 0
                    ? "failed" as const
                    : "succeeded" as const,
        )
        .otherwise(other => other);
    return {
        name,
        team,
        kind: kind as JobStatus["kind"],
        state,
        shard,
        tasks: { waiting, starting, running, succeeded, failed, stopped, mayHaveRun },
        revision,
    };
}
