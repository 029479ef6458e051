import { expect } from "earl";
import { describe, it } from "node:test";
import { runProgram } from "../run-program.js";

const formatLogLine = (time: number, host: string, message: string, fields: Record<string, unknown>) =>
    JSON.stringify({ context: { program: "waxwing-node", host, zone: "z", logLevel: 30, ...fields }, message, time });

const files: Record<string, string> = {
    "a.log": [
        formatLogLine(1_000, "a", "job accepted", { job: "aa11", outcome: "stored", tookMs: 12 }),
        formatLogLine(1_500, "a", "job accepted", { job: "bb22", outcome: "stored", tookMs: 12 }),
        "not a log line",
        `{"context":{"program":"waxwing-node","job":"aa11`,
    ].join("\n"),
    "b.log": [
        `12.5 host-b ${formatLogLine(2_000, "b", "start", { task: "aa11.0.0.0", executor: "e1", run: 1 })}`,
        formatLogLine(1_800, "b", "cell ownership acquired", { epoch: 4 }),
        formatLogLine(90_000, "b", "cell ownership lost", { epoch: 4 }),
        formatLogLine(3_000, "b", "job finished", { job: "aa11", state: "succeeded" }),
    ].join("\n"),
    "waits.log": [
        formatLogLine(1_000, "a", "job known", { job: "dd44", path: "announced", ageMs: 30 }),
        ...[["dd44.0.0", "adviceInFlight"], ["dd44.0.1", "noRoom"]].map(([step, reason]) =>
            formatLogLine(5_000, "a", "step waits", { step, task: `${step}.0`, reason, reasonSinceMs: 1_500 })
        ),
        formatLogLine(5_500, "a", "advice calls", { rounds: 40, roundsWithoutHost: 40, usePercent: 98 }),
        formatLogLine(6_000, "a", "start", { task: "dd44.0.0.0", executor: "e1", run: 1 }),
    ].join("\n"),
};

files["unasked.log"] = formatLogLine(5_000, "a", "step waits", {
    step: "ee55.0.0",
    task: "ee55.0.0.0",
    reason: "adviceNotAsked",
    reasonSinceMs: 3_000,
    adviceDueMs: 2_900,
});

files["again.log"] = [
    formatLogLine(1_000, "a", "run ended", {
        executor: "e1",
        task: "ff66.0.0.0",
        run: 1,
        outcome: "done",
        sequence: 7,
    }),
    formatLogLine(1_100, "a", "ends acknowledged", { executor: "e1", through: 7, batch: "ends/1/2", revision: 90 }),
    formatLogLine(1_100, "a", "ends acknowledged", { executor: "e9", through: 3, batch: "ends/1/2", revision: 90 }),
    formatLogLine(1_200, "a", "journal closed", { epoch: 1, lastBatch: "ends/1/2", lastRevision: 90, endsInFlight: 0 }),
    formatLogLine(2_000, "b", "task starts again", {
        executor: "e2",
        task: "ff66.0.0.0",
        run: 10_001,
        earlierRun: 1,
        earlierExecutor: "e1",
        outcome: "lost",
        source: "leaseEnd",
        ageMs: 40,
    }),
].join("\n");
files["outranked.log"] = formatLogLine(5_000, "a", "step waits", {
    step: "ff66.0.0",
    task: "ff66.0.0.0",
    reason: "tickDue",
    reasonSinceMs: 3_000,
    takenBy: "aa11.0.1",
    reservedFor: "bb22.0.0",
    awaitedExecutor: "e1",
    awaitedState: "starting",
});

async function run(commandLine: string): Promise<{ exitCode: number; out: string; error: string; }> {
    let out = "";
    let error = "";
    const exitCode = await runProgram(commandLine.split(" "), {
        environment: {},
        writeOut: data => {
            out += Buffer.from(data).toString("utf8");
        },
        writeError: text => {
            error += text;
        },
        readTextFile: async path => {
            const text = files[path];
            if (text === undefined) {
                throw new Error("no such file");
            }
            return text;
        },
    });
    return { exitCode, out, error };
}

describe("waxwing explain", () => {
    it("prints the lines of one job from several logs in order, with changes of the owner between them", async () => {
        const { exitCode, out } = await run("explain aa11 --logs a.log,b.log");
        expect(exitCode).toEqual(0);
        const messages = out.trimEnd().split("\n").map(text => text.slice(33).split(":")[0]);
        expect(messages).toEqual(["job accepted", "cell ownership acquired", "start", "job finished"]);
        expect(out.includes("bb22")).toEqual(false);
    });

    it("says what the tasks that could start wait for, and since when", async () => {
        const { out } = await run("explain dd44 --logs waits.log");
        const summary = out.trimEnd().split("\n").filter(text => text.includes("could start"));
        expect(summary).toEqual(["task dd44.0.1.0 could start, waits for room (noRoom) since 2.500"]);
    });

    it("prints JSON on request", async () => {
        const { out } = await run("explain aa11 --logs a.log,b.log --output json");
        expect((JSON.parse(out) as unknown[]).length).toEqual(4);
    });

    it("reports what to pass when no line names the job or a log file is missing", async () => {
        const unknown = await run("explain cc33 --logs a.log");
        expect(unknown.exitCode).toEqual(1);
        expect(unknown.error.includes("all hosts")).toEqual(true);
        const missing = await run("explain aa11 --logs c.log");
        expect(missing.exitCode).toEqual(2);
        expect(missing.error.includes("--logs")).toEqual(true);
    });

    it("prints the state of the calls to the advisor, and for how long the call of a waiting step has been due", async () => {
        const waits = await run("explain dd44 --logs waits.log");
        expect(waits.out.includes("advice calls: rounds=40 roundsWithoutHost=40 usePercent=98")).toEqual(true);
        const unasked = await run("explain ee55 --logs unasked.log");
        expect(unasked.out.trimEnd().endsWith("(adviceNotAsked) since -3.000, a call has been due for 2.900 s"))
            .toEqual(
                true,
            );
    });

    it("shows what the owner believed of the earlier run of a task, and what the owner before had stored", async () => {
        // Guards against a second start of a task that nothing explains.
        const { out } = await run("explain ff66 --logs again.log");
        expect(out.includes("earlierRun=1 earlierExecutor=e1 outcome=lost source=leaseEnd ageMs=40")).toEqual(true);
        expect(out.includes("journal closed: epoch=1 lastBatch=ends/1/2 lastRevision=90")).toEqual(true);
        expect(out.split("\n").filter(line => line.includes("ends acknowledged")).length).toEqual(1);
    });

    it("names the step that took the room, the gang that executors are reserved for, and the run that is awaited", async () => {
        const { out } = await run("explain ff66 --logs outranked.log");
        expect(
            out.trimEnd().endsWith(
                "(tickDue) since -3.000, room was taken by aa11.0.1, executors are reserved for bb22.0.0, "
                    + "a run is starting on e1",
            ),
        ).toEqual(true);
    });
});
