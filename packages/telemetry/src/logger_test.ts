import { expect } from "earl";
import { describe, it } from "node:test";
import { createLogger } from "./logger.js";

describe("Logger", () => {
    // Guards against programs that log nothing: the log library prints only if `ROARR_LOG` is set before it is loaded.
    it("writes lines in batches, with the program's context and without levels below `info`", async () => {
        const batches: string[] = [];
        const logger = await createLogger({
            program: "waxwing-test",
            host: "a-1",
            zone: "a",
            write: lines => batches.push(lines),
        });
        logger.write("info", "task placed", { task: "job/1", worker: "w-1" });
        logger.write("info", "task placed", { task: "job/2", worker: "w-1" });
        logger.write("debug", "not written");
        expect(batches).toEqual([]);
        logger.flush();
        expect(batches.length).toEqual(1);
        const lines = (batches[0] ?? "").trim().split("\n").map(line => JSON.parse(line) as Record<string, any>);
        expect(lines.length).toEqual(2);
        expect(lines[1]?.message).toEqual("task placed");
        expect(lines[1]?.context.task).toEqual("job/2");
        expect(lines[1]?.context.program).toEqual("waxwing-test");
    });
});
