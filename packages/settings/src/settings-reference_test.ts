import { expect } from "earl";
import { spawnSync } from "node:child_process";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../..", import.meta.url));

describe("settings reference of docs/install.md", () => {
    // Guards against a field, bound or default that changes in the schema but not on the page that operators read.
    it("equals what the schema generates", () => {
        const script = join(root, "scripts/settings-reference.js");
        const { status, stderr } = spawnSync(process.execPath, [script, "check"], { cwd: root, encoding: "utf8" });
        expect({ status, stderr }).toEqual({ status: 0, stderr: "" });
    });
});
