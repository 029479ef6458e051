/**
 * Lists, gets, creates, updates and deletes configuration resources. Reads come from the store, or from the replica
 * while the store cannot be reached.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { ConfigurationReplica } from "@waxwingroute/relay";
import { formatValue, nameSchema, parseResource, validateValue } from "@waxwingroute/resources";
import type { ConfigurationKind, ConfigurationResource, ResourceRepository } from "@waxwingroute/resources";
import { z } from "zod";
import type { Reply } from "./replies.js";

/** A new key without a hash; the server then generates its secret. */
const newKeySchema = z.strictObject({
    kind: z.literal("Key"),
    name: nameSchema,
    version: z.literal(0, "leave it out of a new key").optional(),
    spec: z.strictObject({ team: nameSchema }),
});

/** Failures after which a read is answered from the replica. */
const storeUnreachableCodes = new Set(["store-unavailable", "store-timeout"]);

/** Handlers of the routes of configuration resources. */
export class ResourceHandlers {
    constructor(
        private readonly repository: ResourceRepository,
        private readonly replica: ConfigurationReplica,
    ) {}

    async list(kind: ConfigurationKind): Promise<Result<Reply, Failure>> {
        const list = await this.repository.list(kind);
        if (list.ok) {
            const { items, problems, revision } = list.val;
            return Ok({ status: 200, body: { items, problems, revision, source: "store" } });
        }
        const { revision, view } = this.replica;
        if (!storeUnreachableCodes.has(list.val.code) || revision === undefined) {
            return Err(list.val);
        }
        const problems = view.listProblems();
        return Ok({ status: 200, body: { items: view.list(kind), problems, revision, source: "replica" } });
    }

    async get(kind: ConfigurationKind, name: string): Promise<Result<Reply, Failure>> {
        const resource = await this.repository.get(kind, name);
        if (resource.ok || !storeUnreachableCodes.has(resource.val.code)) {
            return resource.map(found => createResourceReply(200, found));
        }
        const known = this.replica.view.find(kind, name);
        return known === undefined
            ? Err(resource.val)
            : Ok(createResourceReply(200, known, { "Waxwing-Source": "replica" }));
    }

    async create(kind: ConfigurationKind, body: unknown): Promise<Result<Reply, Failure>> {
        if (kind === "Key" && !hasKeyHash(body)) {
            return this.createKey(body);
        }
        const resource = parseResourceOfKind(kind, body);
        if (!resource.ok) {
            return Err(resource.val);
        }
        if (resource.val.version !== 0) {
            const message =
                `version is ${resource.val.version}: leave it out to create the resource, or use PUT to update it`;
            return Err(createFailure("invalid-version", message, "notRun"));
        }
        const created = await this.repository.create(resource.val);
        return created.map(written => createResourceReply(201, written));
    }

    async update(
        kind: ConfigurationKind,
        name: string,
        body: unknown,
        ifMatch: number | undefined,
    ): Promise<Result<Reply, Failure>> {
        const resource = parseResourceOfKind(kind, body);
        if (!resource.ok) {
            return Err(resource.val);
        }
        if (resource.val.name !== name) {
            const message = `name is ${formatValue(resource.val.name)}, but the path has ${
                formatValue(name)
            }: use the same name in both`;
            return Err(createFailure("invalid-resource", message, "notRun"));
        }
        const version = chooseVersion(resource.val.version, ifMatch);
        if (!version.ok) {
            return Err(version.val);
        }
        const updated = await this.repository.update({ ...resource.val, version: version.val });
        return updated.map(written => createResourceReply(200, written));
    }

    async delete(
        kind: ConfigurationKind,
        name: string,
        ifMatch: number | undefined,
    ): Promise<Result<Reply, Failure>> {
        const deleted = await this.repository.delete(kind, name, ifMatch);
        return deleted.map(revision => ({ status: 200, body: { kind, name, revision } }));
    }

    private async createKey(body: unknown): Promise<Result<Reply, Failure>> {
        const request = validateValue(newKeySchema, body, "Key");
        if (!request.ok) {
            return Err(request.val);
        }
        const created = await this.repository.createKey(request.val.name, request.val.spec.team);
        return created.map(({ key, secret }) => ({
            status: 201,
            body: { ...key, secret },
            headers: { ETag: `"${key.version}"` },
        }));
    }
}

function createResourceReply(
    status: number,
    resource: ConfigurationResource,
    headers: Readonly<Record<string, string>> = {},
): Reply {
    return { status, body: resource, headers: { ...headers, ETag: `"${resource.version}"` } };
}

function parseResourceOfKind(kind: ConfigurationKind, body: unknown): Result<ConfigurationResource, Failure> {
    const resource = parseResource(body);
    if (!resource.ok) {
        return Err(resource.val);
    }
    if (resource.val.kind !== kind) {
        const message = `kind is "${resource.val.kind}", but the path is for kind ${kind}: use the path of its kind`;
        return Err(createFailure("invalid-resource", message, "notRun"));
    }
    return Ok(resource.val);
}

/** Returns the version to replace, from the body or `If-Match`; if both have one, they must agree. */
function chooseVersion(version: number, ifMatch: number | undefined): Result<number, Failure> {
    if (ifMatch !== undefined && version !== 0 && version !== ifMatch) {
        const message = `version is ${version}, but If-Match is ${ifMatch}: send one of them, or the same in both`;
        return Err(createFailure("invalid-version", message, "notRun"));
    }
    const chosen = ifMatch ?? version;
    return chosen > 0 ? Ok(chosen) : Err(createFailure(
        "version-required",
        "an update needs the version that it replaces: send it as If-Match or in the body",
        "notRun",
    ));
}

function hasKeyHash(body: unknown): boolean {
    const spec = typeof body === "object" && body !== null ? (body as { spec?: unknown; }).spec : undefined;
    return typeof spec === "object" && spec !== null && Object.hasOwn(spec, "hash");
}
