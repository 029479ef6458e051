import { expect } from "earl";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { StoppedHosts } from "./planned-stops.js";
import { SoakRun } from "./soak-run.js";

const program = fileURLToPath(new URL("../../node/dist/main.js", import.meta.url));

describe("a planned stop of a host's process", () => {
    let directory: string;
    before(() => {
        directory = mkdtempSync(join(tmpdir(), "waxwing-stops-"));
    });
    after(() => rmSync(directory, { recursive: true, force: true }));

    // Guards against requests that a stopping host has read and whose connections it closes without an answer.
    const rows = [
        { title: "the owner of the cell", order: ["owner"] },
        { title: "another host, and the owner 400 ms later", order: ["other", "owner"] },
    ] as const;
    for (const { title, order } of rows) {
        it(`leaves no request on an open connection without an answer (${title})`, async () => {
            const outputDirectory = join(directory, order.join("-"));
            const result = await new SoakRun({
                seed: 1,
                program,
                shape: {
                    troubles: [[new StoppedHosts({ order, gapMs: 400 }), 1]],
                    workload: { jobsPerSecond: 8, cancelShare: 0, taskMs: [6_000] },
                    executors: 8,
                    lanes: 1,
                },
                hosts: 5,
                troubleMs: 5_000,
                calmMs: 25_000,
                outputDirectory,
            }).run();
            const broken = Object.entries(result.breaks).flatMap(([rule, texts]) =>
                texts.map(text => `${rule}: ${text}`)
            );
            expect(broken).toEqual([]);
            const cut = readdirSync(outputDirectory)
                .filter(name => name.endsWith(".log"))
                .flatMap(name => readFileSync(join(outputDirectory, name), "utf8").split("\n"))
                .filter(line => line.includes("\"calls cut\"") && !line.includes("\"calls\":\"\""));
            expect(cut).toEqual([]);
            // A run in which no caller meets a stopping host would prove nothing.
            expect(result.keptCalls > 20).toEqual(true);
        });
    }
});
