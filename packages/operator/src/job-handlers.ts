/**
 * Handles requests about jobs, and requests that query or command the cluster.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result, ShardId } from "@waxwingroute/core";
import { createTextSchema, maxReasonLength, parseName, parseResource, validateValue } from "@waxwingroute/resources";
import type { JobResource } from "@waxwingroute/resources";
import { z } from "zod";
import type { Authorizer } from "./authorizer.js";
import type { Reply } from "./replies.js";
import { parseInteger, parseQuery } from "./request-reader.js";
import type { ClusterGateway, JobGateway, JobStatus } from "./types.js";

/** Maximum and default number of jobs in one list. */
const maxListedJobs = 1_000;
const defaultListedJobs = 500;

const forceReleaseSchema = z.strictObject({ reason: createTextSchema(0, maxReasonLength).default("") }).default({
    reason: "",
});

/** Handlers of the routes of jobs and of the cluster. */
export class JobHandlers {
    constructor(
        private readonly jobGateway: JobGateway,
        private readonly clusterGateway: ClusterGateway,
        private readonly authorizer: Authorizer,
    ) {}

    async list(query: URLSearchParams): Promise<Result<Reply, Failure>> {
        const parameters = parseQuery(query, ["team", "after", "limit"]);
        if (!parameters.ok) {
            return Err(parameters.val);
        }
        const { team, after, limit = String(defaultListedJobs) } = parameters.val;
        for (const [label, name] of Object.entries({ team, after })) {
            const checked = name === undefined ? Ok("") : parseName(name, label);
            if (!checked.ok) {
                return Err(checked.val);
            }
        }
        const count = parseInteger("limit", limit, 1, maxListedJobs);
        if (!count.ok) {
            return Err(count.val);
        }
        const items = await this.jobGateway.list({ team, afterName: after, limit: count.val });
        return items.map(found => ({ status: 200, body: { items: found } }));
    }

    async describe(name: string): Promise<Result<Reply, Failure>> {
        return (await this.jobGateway.describe(name)).map(createJobReply);
    }

    async explain(name: string): Promise<Result<Reply, Failure>> {
        return (await this.jobGateway.explain(name)).map(body => ({ status: 200, body }));
    }

    /** Submits a job, which needs a key of its team. The operator token does not replace the key. */
    async submit(body: unknown, secret: string | undefined): Promise<Result<Reply, Failure>> {
        const resource = parseResource(body);
        if (!resource.ok) {
            return Err(resource.val);
        }
        if (resource.val.kind !== "Job") {
            const message = `kind is "${resource.val.kind}", but the path is for kind Job: use the path of its kind`;
            return Err(createFailure("invalid-resource", message, "notRun"));
        }
        const job: JobResource = resource.val;
        const allowed = this.authorizer.checkTeamKey(secret, job.spec.team);
        if (!allowed.ok) {
            return Err(allowed.val);
        }
        return (await this.jobGateway.submit(job)).map(status => ({ ...createJobReply(status), status: 201 }));
    }

    /** Cancels a job with the operator token or a key of its team. */
    async cancel(name: string, token: string | undefined): Promise<Result<Reply, Failure>> {
        if (!this.authorizer.checkOperatorToken(token).ok) {
            const job = await this.jobGateway.describe(name);
            const allowed = job.andThen(({ team }) => this.authorizer.checkTeamKey(token, team));
            if (!allowed.ok) {
                return Err(allowed.val);
            }
        }
        return (await this.jobGateway.cancel(name)).map(createJobReply);
    }

    async listHostRevisions(): Promise<Result<Reply, Failure>> {
        return (await this.clusterGateway.listHostRevisions()).map(items => ({ status: 200, body: { items } }));
    }

    async releaseShard(shard: ShardId, body: unknown): Promise<Result<Reply, Failure>> {
        const request = validateValue(forceReleaseSchema, body, "force-release");
        if (!request.ok) {
            return Err(request.val);
        }
        const released = await this.clusterGateway.releaseShard(shard, request.val.reason);
        return released.map(epoch => ({ status: 200, body: { shard, epoch } }));
    }
}

function createJobReply(job: JobStatus): Reply {
    return { status: 200, body: job };
}
