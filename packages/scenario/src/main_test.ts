import { expect } from "earl";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { readWorldFile } from "./world-file.js";

const toPath = (file: string) => fileURLToPath(new URL(file, import.meta.url));
const worlds = toPath("../worlds/");

describe("waxwing-scenario", () => {
    const directory = mkdtempSync(join(tmpdir(), "waxwing-scenario-test-"));

    after(() => rmSync(directory, { recursive: true }));

    function run(...args: readonly string[]): { readonly status: number | null; readonly output: string; } {
        const { status, stdout } = spawnSync(process.execPath, [toPath("main.js"), ...args], { timeout: 30_000 });
        return { status, output: stdout.toString() };
    }

    it("reads every committed world", () => {
        const files = readdirSync(worlds);
        expect(files.length).toBeGreaterThan(0);
        for (const file of files) {
            expect(readWorldFile(`${worlds}${file}`, "packages").ok).toEqual(true);
        }
    });

    // Guards against a run that ends with status 0 although a scenario failed.
    it("runs each scenario in its own world and ends with 1 if one fails", () => {
        const failing = join(directory, "failing.scenario");
        writeFileSync(failing, "wait 1ms\nexpect tasks started 1\n");
        const passing = toPath("../scenarios/stand-ins.scenario");
        const { status, output } = run("--world", `${worlds}one-zone.json`, "--logs", directory, passing, failing);
        expect(output).toEqual(expect.includes("1 passed, 1 failed"));
        expect(output).toEqual(expect.includes("failing.scenario:2:1: \"expect tasks started 1\" does not hold"));
        expect(status).toEqual(1);
        expect(readdirSync(join(directory, "failing"))).toEqual(expect.includes("layout.json"));
    });

    it("ends with 2 for a world that is not valid", () => {
        const world = join(directory, "world.json");
        writeFileSync(world, JSON.stringify({ layout: { zones: [] }, hosts: [] }));
        const { status, output } = run("--world", world, "none.scenario");
        expect([status, output.includes("layout.zones")]).toEqual([2, true]);
    });
});
