/**
 * Reads and validates a settings file. Every problem is reported with the path of the field, its value and the remedy.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { readFileSync } from "node:fs";
import { match } from "ts-pattern";
import type { z } from "zod";
import { listHosts } from "./layout.js";
import { settingsSchema } from "./schema.js";
import type { Settings } from "./schema.js";

/** Reads and validates the file at `path`. Adds `settings-unreadable` to the failures of `parseSettings`. */
export function loadSettings(path: string): Result<Settings, Failure> {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch (error) {
        return Err(createFailure("settings-unreadable", `cannot read ${path}: ${String(error)}`, "notRun"));
    }
    return parseSettings(text, path);
}

/**
 * Parses and validates the text of a settings file; `source` names it in messages. Failures (`notRun`): `settings-malformed`
 * (not JSON), `settings-invalid` (the message lists all problems).
 */
export function parseSettings(text: string, source: string): Result<Settings, Failure> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        return Err(createFailure("settings-malformed", `${source} is not JSON: ${String(error)}`, "notRun"));
    }
    const parsed = settingsSchema.safeParse(value, { reportInput: true });
    const problems = parsed.success
        ? checkConsistency(parsed.data)
        : parsed.error.issues.map(issue => describeIssue(issue, value));
    if (!parsed.success || problems.length > 0) {
        return Err(
            createFailure(
                "settings-invalid",
                `${source}:\n${problems.map(problem => `  ${problem}`).join("\n")}`,
                "notRun",
            ),
        );
    }
    return Ok(parsed.data);
}

/** Describes a violation of the schema: path, found value and remedy. */
function describeIssue(issue: z.core.$ZodIssue, root: unknown): string {
    const path = issue.path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("").replace(
        /^\./,
        "",
    );
    const value = issue.path.reduce<unknown>(
        (current, part) =>
            typeof current === "object" && current !== null
                ? (current as Record<PropertyKey, unknown>)[part]
                : undefined,
        root,
    );
    const found = value === undefined ? "it is missing" : `found ${JSON.stringify(value).slice(0, 80)}`;
    return match(issue)
        .with(
            { code: "unrecognized_keys" },
            ({ keys }) =>
                `${path === "" ? "(top level)" : path}: unknown field ${
                    keys.map(key => `"${key}"`).join(", ")
                }; remove it or correct its spelling`,
        )
        .with(
            { code: "too_small" },
            ({ minimum }) => `${path}: ${found}; must be at least ${minimum}${describeUnit(path)}`,
        )
        .with(
            { code: "too_big" },
            ({ maximum }) => `${path}: ${found}; must be at most ${maximum}${describeUnit(path)}`,
        )
        .with(
            { code: "invalid_type" },
            ({ expected }) => `${path}: ${found}; set a value of type ${expected}${describeUnit(path)}`,
        )
        .with(
            { code: "invalid_value" },
            ({ values }) => `${path}: ${found}; use one of ${values.map(String).join(", ")}`,
        )
        .otherwise(other => `${path}: ${found}; expected ${other.message}`);
}

function describeUnit(path: string): string {
    return path.endsWith("Ms") ? " (milliseconds, a number without a unit)" : path.endsWith("Bytes") ? " (bytes)" : "";
}

/** Checks the rules that concern several fields; returns one message for each violation. */
function checkConsistency(settings: Settings): readonly string[] {
    const { ownership, tasks } = settings;
    const problems: string[] = [];
    if (ownership.renewIntervalMs * 2 > ownership.storeRightMs) {
        problems.push(
            `ownership.renewIntervalMs: found ${ownership.renewIntervalMs}; must be at most half of storeRightMs (${ownership.storeRightMs}), so that the owner keeps its right when one renewal is lost`,
        );
    }
    if (ownership.heartbeatMs * 2 > ownership.consentMs) {
        problems.push(
            `ownership.heartbeatMs: found ${ownership.heartbeatMs}; must be at most half of consentMs (${ownership.consentMs})`,
        );
    }
    if (tasks.renewIntervalMs * 2 > tasks.leaseMs) {
        problems.push(
            `tasks.renewIntervalMs: found ${tasks.renewIntervalMs}; must be at most half of leaseMs (${tasks.leaseMs})`,
        );
    }
    const names = new Set<string>();
    const addresses = new Set<string>();
    for (const { host, settings: hostSettings } of listHosts(settings)) {
        if (names.has(host)) {
            problems.push(`regions: two hosts are named "${host}"; give each host its own name`);
        }
        names.add(host);
        for (const [program, port] of Object.entries(hostSettings.ports)) {
            const address = `${hostSettings.address}:${port}`;
            if (addresses.has(address)) {
                problems.push(
                    `regions: ${address} (${program} of "${host}") is used twice; give each program its own port`,
                );
            }
            addresses.add(address);
        }
    }
    const zones = settings.regions.flatMap(region => region.zones.map(zone => zone.name));
    for (const zone of new Set(zones.filter((other, index) => zones.indexOf(other) !== index))) {
        problems.push(`regions: two zones are named "${zone}"; give each zone its own name`);
    }
    return problems;
}
