import { expect } from "earl";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import type { StandInAddresses } from "./stand-in.js";

const programPath = fileURLToPath(new URL("main.js", import.meta.url));
const zones = [{
    zone: "glasgow",
    workers: { count: 1, capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } },
    executors: { count: 1 },
}];

describe("waxwing-stand-in", () => {
    const directory = mkdtempSync(join(tmpdir(), "waxwing-stand-in-"));

    after(() => rmSync(directory, { recursive: true }));

    function startProgram(layout: unknown): ChildProcess {
        const file = join(directory, "layout.json");
        writeFileSync(file, typeof layout === "string" ? layout : JSON.stringify(layout));
        return spawn(process.execPath, [programPath, "--config", file], { stdio: ["ignore", "pipe", "pipe"] });
    }

    async function readFirstChunk(child: ChildProcess, name: "stdout" | "stderr"): Promise<string> {
        const [chunk] = await once(child[name]!, "data") as [Buffer];
        return chunk.toString();
    }

    // Guards against a stand-in that outlives its test.
    it("prints its addresses, serves calls, and exits on SIGTERM while a task runs", async () => {
        const child = startProgram({ zones });
        const addresses = JSON.parse(await readFirstChunk(child, "stdout")) as StandInAddresses;
        const body = JSON.stringify({
            task: "job/0",
            team: "t",
            job: "job",
            resources: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
            command: "run forever",
            leaseMs: 60_000,
            expiresInMs: 1_000,
            epoch: 1,
        });
        const response = await fetch(`${addresses.workers[0]?.url}/v1/start`, { method: "POST", body });
        expect(response.status).toEqual(200);
        child.kill("SIGTERM");
        expect(await once(child, "exit")).toEqual([0, null]);
    });

    it("names the unknown property of a layout and exits with status 2", async () => {
        const child = startProgram({ zones: [{ zone: "glasgow", workerz: 3 }] });
        const message = readFirstChunk(child, "stderr");
        expect(await once(child, "exit")).toEqual([2, null]);
        expect(await message).toEqual(expect.includes("workerz"));
    });

    it("exits with status 2 when a port is in use", async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const child = startProgram({ ports: { store: (server.address() as AddressInfo).port }, zones });
        const message = readFirstChunk(child, "stderr");
        expect(await once(child, "exit")).toEqual([2, null]);
        expect(await message).toEqual(expect.includes("EADDRINUSE"));
        server.close();
    });
});
