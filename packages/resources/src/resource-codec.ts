/**
 * Encoding of resources in the store: the key is `config/<kind>/<name>`, the value is `{ format, spec }`. The version
 * of a resource is the revision of its key and is not part of the value.
 */
import { createFailure, Err, isValidName, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { StoreEntry } from "@waxwingroute/platform";
import { z } from "zod";
import { configurationKinds } from "./schemas.js";
import type { ConfigurationKind, ConfigurationResource } from "./schemas.js";
import { parseSpec } from "./validation.js";

/** Prefix of all configuration keys in the store. */
export const configurationPrefix = "config/";
/** Format that this program writes, and the newest that it reads. */
const currentFormat = 1;

const kindsBySegment = new Map<string, ConfigurationKind>(configurationKinds.map(kind => [kind.toLowerCase(), kind]));
const versionedValueSchema = z.looseObject({ format: z.number().int() });
const storedValueSchema = z.strictObject({ format: z.literal(currentFormat), spec: z.unknown().optional() });

/** Returns the prefix of the store keys of a kind. */
export function toKindPrefix(kind: ConfigurationKind): string {
    return `${configurationPrefix}${kind.toLowerCase()}/`;
}

/** Returns the store key of a resource. */
export function toStoreKey(kind: ConfigurationKind, name: string): string {
    return `${toKindPrefix(kind)}${name}`;
}

/** Parses a store key. Returns `undefined` unless it is the key of a resource of a known kind. */
export function parseStoreKey(key: string): { readonly kind: ConfigurationKind; readonly name: string; } | undefined {
    const [prefix, segment, name, ...rest] = key.split("/");
    const kind = kindsBySegment.get(segment ?? "");
    if (prefix !== "config" || kind === undefined || name === undefined || !isValidName(name) || rest.length > 0) {
        return undefined;
    }
    return { kind, name };
}

/** Returns the value that the store holds for a resource. */
export function encodeResource(resource: ConfigurationResource): string {
    return JSON.stringify({ format: currentFormat, spec: resource.spec });
}

/**
 * Decodes a resource from a store entry. Failure codes (`notRun`): `unknown-key`, `newer-format` (written by a newer
 * program), `damaged-value`.
 */
export function decodeResource(entry: StoreEntry): Result<ConfigurationResource, Failure> {
    const parsedKey = parseStoreKey(entry.key);
    if (parsedKey === undefined) {
        return Err(
            createFailure(
                "unknown-key",
                `store key "${entry.key}" does not name a resource of a known kind`,
                "notRun",
            ),
        );
    }
    const { kind, name } = parsedKey;
    const value = parseJson(entry.value);
    const versioned = versionedValueSchema.safeParse(value);
    if (versioned.success && versioned.data.format > currentFormat) {
        const message =
            `${kind} "${name}" at revision ${entry.revision} has format ${versioned.data.format}; this program reads `
            + `up to ${currentFormat}: update the program`;
        return Err(createFailure("newer-format", message, "notRun"));
    }
    const parsedValue = storedValueSchema.safeParse(value);
    const spec = parsedValue.success
        ? parseSpec(kind, name, parsedValue.data.spec)
        : Err(
            createFailure(
                "damaged-value",
                "the value must be a JSON object with a known format and a spec only",
                "notRun",
            ),
        );
    if (!spec.ok) {
        const message =
            `${kind} "${name}" at revision ${entry.revision} is damaged: ${spec.val.message}; write it again`;
        return Err(createFailure("damaged-value", message, "notRun"));
    }
    return Ok({ kind, name, version: entry.revision, spec: spec.val } as ConfigurationResource);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
