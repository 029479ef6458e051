/**
 * `waxwing apply`: creates or updates the resources in a JSON file.
 */
import { parseResource, resourceKinds } from "@waxwingroute/resources";
import type { Resource } from "@waxwingroute/resources";
import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { parseJson } from "../http-client.js";
import { CommandError, exitCodes } from "../program-io.js";
import type { ProgramIo } from "../program-io.js";
import { parseSuccessBody, toPathSegment } from "../session.js";
import type { Session } from "../session.js";

/** Maximum number of resources in one file. */
const maxResources = 1_000;
/** Kinds that other resources refer to come first, so that references resolve when a resource is written. */
const kindsInDependencyOrder: readonly string[] = ["Team", "Queue", "Key", "Drain", "Job"];

/** A key that is given without a hash; the server generates its secret. */
const newKeySchema = z.strictObject({
    kind: z.literal("Key"),
    name: z.string(),
    spec: z.strictObject({ team: z.string() }),
});

type AppliedResource = Resource | z.output<typeof newKeySchema>;
type ApplyOutcome = "created" | "updated" | "unchanged" | "failed";

/**
 * Applies a file. All resources are validated before the first one is written. If a server refuses a resource, the rest
 * are still applied.
 */
export async function applyFile(session: Session, path: string, key: string | undefined): Promise<number> {
    const resources = parseFile(await readFile(session.io, path), path);
    const rows: object[] = [];
    let exitCode: number = exitCodes.done;
    for (const resource of resources) {
        const { kind, name } = resource;
        try {
            const { outcome, ...details } = await applyResource(session, resource, key);
            rows.push({ kind, name, outcome, ...details });
        }
        catch (error) {
            if (!(error instanceof CommandError) || error.exitCode !== exitCodes.failed) {
                throw error;
            }
            exitCode = error.exitCode;
            session.io.writeError(`waxwing: ${kind} "${name}": ${error.message}\n`);
            rows.push({ kind, name, outcome: "failed" satisfies ApplyOutcome });
        }
    }
    session.printList(rows);
    return exitCode;
}

async function readFile(io: ProgramIo, path: string): Promise<string> {
    try {
        return await io.readTextFile(path);
    }
    catch (error) {
        throw new CommandError(
            `file "${path}" cannot be read (${error instanceof Error ? error.message : String(error)}): check the path`,
            exitCodes.usage,
        );
    }
}

function parseFile(text: string, path: string): readonly AppliedResource[] {
    const value = parseJson(text);
    const values: readonly unknown[] = Array.isArray(value) ? value : [value];
    if (value === undefined) {
        throw new CommandError(`file "${path}" is not JSON: write one resource or an array of them`, exitCodes.failed);
    }
    if (values.length > maxResources) {
        const message = `file "${path}" has ${values.length} resources: write at most ${maxResources} in one file`;
        throw new CommandError(message, exitCodes.failed);
    }
    const resources = values.map((item, index) => parseResourceItem(item, `file "${path}", resource ${index}`));
    return resources.sort((first, second) =>
        kindsInDependencyOrder.indexOf(first.kind) - kindsInDependencyOrder.indexOf(second.kind)
    );
}

function parseResourceItem(value: unknown, label: string): AppliedResource {
    const newKey = newKeySchema.safeParse(value);
    if (newKey.success) {
        return newKey.data;
    }
    const resource = parseResource(value);
    if (!resource.ok) {
        throw new CommandError(`${label}: ${resource.val.message}; nothing was applied`, exitCodes.failed);
    }
    return resource.val;
}

async function applyResource(
    session: Session,
    resource: AppliedResource,
    key: string | undefined,
): Promise<{ readonly outcome: ApplyOutcome; readonly version?: unknown; readonly secret?: unknown; }> {
    const path = `/v1/${toPathSegment(resource.kind)}`;
    if (resource.kind === "Job") {
        const { kind, name, spec } = resource;
        await session.requestJson("POST", path, { body: { kind, name, spec }, bearer: key });
        return { outcome: "created" };
    }
    const response = await session.send("GET", `${path}/${resource.name}`);
    if (response.status === 404) {
        const { kind, name, spec } = resource;
        const { version, secret } = await session.requestJson("POST", path, { body: { kind, name, spec } });
        return { outcome: "created", version, secret };
    }
    const current = parseSuccessBody(response);
    if (!("version" in resource)) {
        return verifyTeamOfKey(resource, current);
    }
    const { kind, name, spec } = resource;
    if (isDeepStrictEqual(current["spec"], JSON.parse(JSON.stringify(spec)))) {
        return { outcome: "unchanged", version: current["version"] };
    }
    const version = resource.version === 0 ? Number(current["version"]) : resource.version;
    const updated = await session.requestJson("PUT", `${path}/${name}`, { body: { kind, name, spec }, version });
    return { outcome: "updated", version: updated["version"] };
}

function verifyTeamOfKey(
    resource: z.output<typeof newKeySchema>,
    current: Record<string, unknown>,
): { readonly outcome: ApplyOutcome; readonly version: unknown; } {
    const { team } = current["spec"] as { readonly team?: string; };
    if (team !== resource.spec.team) {
        const message =
            `it exists for team "${team}", not "${resource.spec.team}": withdraw it, or choose another name`;
        throw new CommandError(message, exitCodes.failed);
    }
    return { outcome: "unchanged", version: current["version"] };
}

/** Kinds of resources that a file may contain, for help texts. */
export const applicableKinds = resourceKinds.join(", ");
