/**
 * World files: the layout, hosts and settings of a `ProcessWorld` as JSON.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { layoutSchema } from "@waxwingroute/stand-ins";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import type { ProcessWorldOptions } from "./process-world.js";

const worldSchema = z.strictObject({
    layout: layoutSchema,
    hosts: z.array(z.strictObject({
        name: z.string().min(1),
        zone: z.string().min(1),
        region: z.string().min(1).optional(),
    })),
    shards: z.number().int().min(1).optional(),
    settings: z.record(z.string(), z.unknown()).optional(),
    stopMs: z.number().min(0).optional(),
});

/** Packages whose `dist/main.js` a world starts. */
const packageByMain = {
    standIn: "stand-ins",
    scheduler: "scheduler",
    operator: "operator",
    entry: "entry",
} as const;

/**
 * Reads a world file. `packages` is the directory of the workspace's packages, which must be built.
 *
 * Fails with `world-invalid` and the path of each field that is wrong.
 */
export function readWorldFile(file: string, packages: string): Result<ProcessWorldOptions, Failure> {
    let content: unknown;
    try {
        content = JSON.parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return Err(createFailure("world-invalid", `cannot read "${file}": ${reason}`, "notRun"));
    }
    const checked = worldSchema.safeParse(content);
    if (!checked.success) {
        const message = `world "${file}" is not valid:\n${z.prettifyError(checked.error)}`;
        return Err(createFailure("world-invalid", message, "notRun"));
    }
    const toMain = (name: keyof typeof packageByMain) => join(packages, packageByMain[name], "dist", "main.js");
    const mains = {
        standIn: toMain("standIn"),
        scheduler: toMain("scheduler"),
        operator: toMain("operator"),
        entry: toMain("entry"),
    };
    return Ok({ ...checked.data, mains });
}
