/**
 * The functions behind the scheduler's gRPC services.
 */
import { ownershipService, relayService } from "@waxwingroute/cluster";
import { createFailure, Err, getShardZone, Ok, toId } from "@waxwingroute/core";
import type { Failure, HostId, JobId, Result } from "@waxwingroute/core";
import type { RelayDriver } from "@waxwingroute/relay";
import { jobSpecSchema } from "@waxwingroute/resources";
import { schedulerService } from "@waxwingroute/transport";
import type { ServiceRegistry } from "@waxwingroute/transport";
import { toJobId } from "./job-row.js";
import type { ShardOwner } from "./shard-owner.js";
import type { ShardRunner } from "./shard-runner.js";

export interface SchedulerServicesOptions {
    readonly host: HostId;
    readonly runners: ReadonlyMap<string, ShardRunner>;
    readonly relay: RelayDriver;
    readonly getConfigurationRevision: () => number;
    readonly logger: { write(level: "warn", message: string, fields: Record<string, string>): void; };
}

/** Adds the scheduler's services to a server. */
export function installSchedulerServices(server: ServiceRegistry, options: SchedulerServicesOptions): void {
    installSchedulerService(server, options);
    installOwnershipService(server, options.runners);
    server.addService(relayService, {
        digest: async digest => Ok(options.relay.handleDigest(digest)),
        pull: async ({ revision }) => Ok(options.relay.handlePull(revision)),
    });
}

function installSchedulerService(
    server: ServiceRegistry,
    { host, runners, getConfigurationRevision, logger }: SchedulerServicesOptions,
): void {
    const findOwner = (shard: string): Result<ShardOwner, Failure> =>
        findRunner(runners, shard).andThen(runner => runner.findOwner());
    const withOwner = async <T>(
        shard: string,
        run: (owner: ShardOwner) => Promise<Result<T, Failure>> | Result<T, Failure>,
    ) => {
        const owner = findOwner(shard);
        return owner.ok ? run(owner.val) : Err(owner.val) as Result<T, Failure>;
    };
    server.addService(schedulerService, {
        execute: request => withOwner(request.shard, owner => owner.execute(request)),
        issueKey: ({ shard }) => withOwner(shard, owner => Ok({ requestKey: owner.router.issueKey() })),
        submitJob: ({ shard, name, spec }) => withOwner(shard, owner => submitJob(owner, shard, name, spec)),
        cancelJob: ({ shard, job }) => withOwner(shard, owner => owner.tracker.cancelJob(toId<JobId>(job))),
        describeJob: ({ shard, job }) => withOwner(shard, owner => describeJob(owner, job)),
        explainJob: ({ shard, job }) =>
            withOwner(shard, owner => owner.explainJob(toId<JobId>(job)).map(reasons => ({ reasons: [...reasons] }))),
        listJobs: ({ shard }) =>
            withOwner(shard, owner => Ok({ jobs: [...owner.tracker.jobs.values()].map(row => row.toStatus()) })),
        watchJobs: ({ shard, from }, writer) => {
            const owner = findOwner(shard);
            if (!owner.ok) {
                writer.end();
                return;
            }
            writer.onClose(owner.val.tracker.events.subscribe(from, event => writer.send(event)));
        },
        describeShards: async () =>
            Ok({
                host,
                revision: getConfigurationRevision(),
                shards: [...runners.values()].map(runner => runner.describe()),
            }),
        forceRelease: async ({ shard, reason }) => {
            logger.write("warn", "operator forces a release", { shard, reason });
            return findRunner(runners, shard).map(runner => {
                runner.ownership.applyForceRelease();
                return {};
            });
        },
    });
}

function installOwnershipService(server: ServiceRegistry, runners: ReadonlyMap<string, ShardRunner>): void {
    const findOwnership = (shard: string) => findRunner(runners, shard).map(runner => runner.ownership);
    server.addService(ownershipService, {
        heartbeat: async ({ shard, message }) =>
            findOwnership(shard).map(ownership => {
                ownership.handleHeartbeat(message);
                return {};
            }),
        arm: async ({ shard, message }) => findOwnership(shard).andThen(ownership => ownership.handleArm(message)),
        disarm: async ({ shard, message }) =>
            findOwnership(shard).andThen(ownership => ownership.handleDisarm(message)),
        release: async ({ shard, message }) =>
            findOwnership(shard).andThen(ownership => ownership.handleRelease(message)),
        identify: async ({ shard, message }) =>
            findOwnership(shard).andThen(ownership => ownership.handleIdentify(message)),
    });
}

function findRunner(runners: ReadonlyMap<string, ShardRunner>, shard: string): Result<ShardRunner, Failure> {
    const runner = runners.get(shard);
    return runner === undefined
        ? Err(createFailure("not-owner", `shard "${shard}" is not in the zone of this host`, "notRun"))
        : Ok(runner);
}

async function submitJob(owner: ShardOwner, shard: string, name: string, text: string) {
    const parsed = jobSpecSchema.safeParse(JSON.parse(text));
    return parsed.success
        ? owner.tracker.submitJob(toJobId(getShardZone(toId(shard)), name), parsed.data)
        : Err(createFailure("invalid-job", parsed.error.message, "notRun"));
}

function describeJob(owner: ShardOwner, job: string) {
    const row = owner.tracker.jobs.get(toId<JobId>(job));
    return row === undefined
        ? Err(createFailure("unknown-job", `job "${job}" does not exist`, "notRun"))
        : Ok(row.toStatus());
}
