import { describe, it } from "node:test";
import { runOverProcesses } from "./run-over-processes.js";

describe("scenarios over real processes", () => {
    it("passes owner-killed", () => runOverProcesses("owner-killed"));
});
