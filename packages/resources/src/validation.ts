/**
 * Checks of resources that come from outside. Every message names the field's path, its value and the remedy.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { match, P } from "ts-pattern";
import { z } from "zod";
import { createEnumSchema, createIntegerSchema, nameSchema } from "./field-schemas.js";
import { maxRevision } from "./limits.js";
import { resourceKinds, specSchemas } from "./schemas.js";
import type { Resource, ResourceKind, ResourceOf } from "./schemas.js";

/** Most problems that one message names; the rest are counted. */
const maxReportedIssues = 5;
/** Longest part of a value that a message repeats, in characters. */
const maxShownLength = 60;

const envelopeSchema = z.strictObject({
    kind: createEnumSchema(resourceKinds),
    name: nameSchema,
    version: createIntegerSchema(0, maxRevision).default(0),
    spec: z.unknown().optional(),
});

/**
 * Checks a value against a schema. Failure: `invalid-resource` (`notRun`).
 *
 * @param label What the value is, for the message, for example `Team "orders"`.
 */
export function validateValue<Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
    label: string,
    basePath: readonly PropertyKey[] = [],
): Result<z.output<Schema>, Failure> {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const { issues } = parsed.error;
    const shown = issues.slice(0, maxReportedIssues).map(issue => formatIssue(issue, value, basePath));
    const rest = issues.length > shown.length ? `; and ${issues.length - shown.length} more` : "";
    return Err(createFailure("invalid-resource", `${label}: ${shown.join("; ")}${rest}`, "notRun"));
}

/**
 * Checks a whole resource. Absent optional fields get their defaults.
 *
 * @example
 * ```ts
 * const team = parseResource({
 *     kind: "Team",
 *     name: "quotes",
 *     spec: { limit: { cpuMillis: 64000, memoryMb: 131072, accelerators: 0, slots: 40 } },
 * });
 * ```
 */
export function parseResource(value: unknown): Result<Resource, Failure> {
    const envelope = validateValue(envelopeSchema, value, "resource");
    if (!envelope.ok) {
        return Err(envelope.val);
    }
    const { kind, name, version, spec } = envelope.val;
    return parseSpec(kind, name, spec).map(checked => ({ kind, name, version, spec: checked }) as Resource);
}

/** Checks the spec of a resource of a known kind. */
export function parseSpec<Kind extends ResourceKind>(
    kind: Kind,
    name: string,
    spec: unknown,
): Result<ResourceOf<Kind>["spec"], Failure> {
    return validateValue(specSchemas[kind] as z.ZodType, spec, `${kind} "${name}"`, ["spec"]) as Result<
        ResourceOf<Kind>["spec"],
        Failure
    >;
}

/** Checks a name, for example from a path. Failure: `invalid-name` (`notRun`). */
export function parseName(value: string, label = "name"): Result<string, Failure> {
    const parsed = nameSchema.safeParse(value);
    return parsed.success
        ? Ok(parsed.data)
        : Err(
            createFailure(
                "invalid-name",
                `${label} ${formatValue(value)}: ${parsed.error.issues[0]?.message}`,
                "notRun",
            ),
        );
}

/** Formats a value for a message: JSON, cut to 60 characters. */
export function formatValue(value: unknown): string {
    const text = value === undefined ? "(absent)" : JSON.stringify(value) ?? typeof value;
    return text.length > maxShownLength ? `${text.slice(0, maxShownLength)}…` : text;
}

function formatIssue(issue: z.core.$ZodIssue, root: unknown, basePath: readonly PropertyKey[]): string {
    const path = formatPath([...basePath, ...issue.path]);
    return match(issue)
        .with({ code: "unrecognized_keys", keys: P.select() }, keys => {
            const names = keys.slice(0, maxReportedIssues).map(formatValue).join(", ");
            return `${path} has unknown field ${names}: remove or correct it`;
        })
        .with({ code: "invalid_type", expected: "object" }, () => {
            return `${path} is ${formatValue(findValue(root, issue.path))}: use an object`;
        })
        .otherwise(() => `${path} is ${formatValue(findValue(root, issue.path))}: ${issue.message}`);
}

function formatPath(path: readonly PropertyKey[]): string {
    return path.length === 0 ? "the value" : path.map(String).join(".");
}

function findValue(root: unknown, path: readonly PropertyKey[]): unknown {
    let value = root;
    for (const part of path) {
        if (typeof value !== "object" || value === null || !Object.hasOwn(value, part)) {
            return undefined;
        }
        value = (value as Record<PropertyKey, unknown>)[part];
    }
    return value;
}
