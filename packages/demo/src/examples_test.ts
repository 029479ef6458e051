import { expect } from "earl";
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const examplesDirectory = fileURLToPath(new URL("../../../examples", import.meta.url));

const expectedOutputs: Readonly<Record<string, string>> = {
    ownership: `right gained: epoch 1, basis store
may place: true
right lost
may place while the store is down and no successor answers: false
`,
    grants: `glasgow/0 5000, aberdeen/0 5000 cpuMillis
together within the limit: true
`,
    relay: `accepted at revision 1
in effect: watcher 1, puller 1
confirmed within 10 s: true
`,
    routing: `first: run 1
repeated: run 1
`,
    placement: `start quotes/0 on worker-1
start quotes/1 on worker-1
wash-batch: capacity of 2000 millis, 1024 MB, 0 accelerators is held until running work ends
`,
    journal: `accepted: true
recovered: tasks below 2 may have started
append of the earlier owner: journal-fenced, notRun
`,
};

// Guards against an interface change that the examples of docs/embedding.md do not follow. The build compiles them.
describe("examples", () => {
    it("each have an expected output", () => {
        const names = readdirSync(join(examplesDirectory, "src")).map(file => file.replace(/\.ts$/, ""));
        expect(names).toEqual(Object.keys(expectedOutputs).sort());
    });

    for (const [name, expected] of Object.entries(expectedOutputs)) {
        it(`${name} exits with status 0 and prints the expected output`, () => {
            const file = join(examplesDirectory, `dist/${name}.js`);
            const { status, stdout, stderr } = spawnSync(process.execPath, [file], {
                encoding: "utf8",
                timeout: 20_000,
            });
            expect({ status, stdout, stderr }).toEqual({ status: 0, stdout: expected, stderr: "" });
        });
    }
});
