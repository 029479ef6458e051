/**
 * The operator and job submitter of a scenario: writes resources and submits jobs over HTTP, and keeps the secrets of keys.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { ClientPool, JsonCall } from "./http-exchange.js";
import { sendJson } from "./http-exchange.js";
import type { ResourceWrite } from "./scenario-world.js";
import type { JobSubmission } from "./types.js";

interface DeclaredKey {
    readonly team: string;
    readonly secret: string;
}

/** Options of `OperatorClient`. */
export interface OperatorClientOptions {
    readonly clients: ClientPool;
    /** Returns the base URLs of the operator processes to try in order. */
    readonly listUrls: (at: string | undefined) => readonly string[];
}

/** Calls the operator processes. */
export class OperatorClient {
    private readonly keys = new Map<string, DeclaredKey>();
    private readonly teamByQueue = new Map<string, string>();

    constructor(private readonly options: OperatorClientOptions) {}

    /** Returns the secret of a key by name, or of the first key of the queue's team; `undefined` if there is none. */
    findSecret(key: string | undefined, queue: string): string | undefined {
        return key === undefined ? this.findTeamSecret(this.teamByQueue.get(queue)) : this.keys.get(key)?.secret;
    }

    async create({ resource, name, spec, at }: ResourceWrite): Promise<Result<void, Failure>> {
        const content = { kind: resource, name, spec };
        const result = await this.send({ operation: "create", method: "POST", path: toPath(resource), content }, at);
        return result.map(created => this.recordCreated(resource, name, spec, created));
    }

    async replace({ resource, name, spec, at }: ResourceWrite): Promise<Result<void, Failure>> {
        const path = `${toPath(resource)}/${name}`;
        const found = await this.send({ operation: "get", method: "GET", path }, at);
        if (!found.ok) {
            return found;
        }
        const { version } = found.val as { version: number; };
        const content = { kind: resource, name, version, spec };
        const result = await this.send({ operation: "update", method: "PUT", path, content }, at);
        return result.map(() => undefined);
    }

    /** Deletes a key. Its secret is kept, so that the scenario can go on presenting it. */
    async revokeKey(name: string, at?: string): Promise<Result<void, Failure>> {
        const path = `${toPath("Key")}/${name}`;
        const result = await this.send({ operation: "delete", method: "DELETE", path }, at);
        return result.map(() => undefined);
    }

    async submitJob(job: JobSubmission): Promise<Result<void, Failure>> {
        const secret = job.key === undefined ? this.findTeamSecret(job.team) : this.keys.get(job.key)?.secret;
        const result = await this.send({
            operation: "submitJob",
            method: "POST",
            path: "/v1/jobs",
            headers: secret === undefined ? {} : { authorization: `Bearer ${secret}` },
            content: { kind: "Job", name: job.name, spec: createJobSpec(job) },
            // A job may be held while the store is down.
            timeoutMs: 30_000,
        }, job.at);
        return result.map(() => undefined);
    }

    private findTeamSecret(team: string | undefined): string | undefined {
        return [...this.keys.values()].find(key => key.team === team)?.secret;
    }

    private recordCreated(kind: string, name: string, spec: ResourceWrite["spec"], created: unknown): void {
        const team = String(spec["team"]);
        const { secret } = created as { secret?: string; };
        if (kind === "Key" && secret !== undefined) {
            this.keys.set(name, { team, secret });
        }
        if (kind === "Queue" && spec["access"] === "team") {
            this.teamByQueue.set(name, team);
        }
    }

    /** Tries the operator processes in turn for as long as nothing was sent. */
    private async send(call: JsonCall, at?: string): Promise<Result<unknown, Failure>> {
        let last: Result<unknown, Failure> = Err(
            createFailure("no-operator", "no operator process of the world is running", "notRun"),
        );
        for (const url of this.options.listUrls(at)) {
            last = await sendJson(this.options.clients.get(url), call);
            if (last.ok || last.val.code !== "call-failed" || last.val.verdict !== "notRun") {
                return last.ok ? Ok(last.val) : last;
            }
        }
        return last;
    }
}

const toPath = (kind: string) => `/v1/${kind.toLowerCase()}s`;

/** Returns the spec of a submitted job, with the defaults of the language. */
export function createJobSpec(job: JobSubmission): Readonly<Record<string, unknown>> {
    return {
        kind: job.jobKind ?? "batch",
        team: job.team,
        taskCount: job.tasks ?? 1,
        resources: {
            cpuMillis: job.cpuMillis ?? 100,
            memoryMb: job.memoryMb ?? 64,
            accelerators: job.accelerators ?? 0,
        },
        command: job.command ?? "run 200ms",
        safeToRepeat: job.isSafeToRepeat ?? false,
        priority: job.priority,
        estimatedRunMs: job.estimatedRunMs,
        zone: job.zone,
    };
}
