import type { AttemptId, Failure, JobId, QueueId, RequestKey, Result, TaskId, TeamId } from "@waxwingroute/core";
import { createFailure, Err, ManualClock, Ok } from "@waxwingroute/core";
import { Fleet } from "@waxwingroute/stand-ins";
import { expect } from "earl";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { InProcessSystem, InProcessWorld } from "./in-process-world.js";
import { runScenario, runScenarioFile } from "./run-scenario.js";
import type { OutgoingRequest, RequestReply } from "./submissions.js";
import type { JobSubmission, ProcessState } from "./types.js";

/** Starts every task on the first worker that answers, whether it fits or not, and refuses jobs while the store is down. */
class NaiveSystem extends InProcessSystem {
    private readonly states = new Map<string, ProcessState>();
    private attempts = 0;

    constructor(private readonly fleet: Fleet) {
        super();
    }

    private async setState(name: string, state: ProcessState): Promise<Result<void, Failure>> {
        this.states.set(name, state);
        return Ok(undefined);
    }

    startProcess = (name: string) => this.setState(name, "ready");
    stopProcess = (name: string) => this.setState(name, "ended");
    killProcess = (name: string) => this.setState(name, "ended");
    pauseProcess = (name: string) => this.setState(name, "running");
    resumeProcess = (name: string) => this.setState(name, "ready");
    getProcessState = (name: string) => Ok(this.states.get(name) ?? "ended");
    setLink = () => false;
    writeResource = async () => Ok(undefined);
    revokeKey = async () => Ok(undefined);

    async submitJob(job: JobSubmission): Promise<Result<void, Failure>> {
        const stored = await this.fleet.store.forSource("glasgow").read("journal");
        if (!stored.ok) {
            return Err(createFailure("store", stored.val.message, "notRun"));
        }
        for (let index = 0; index < (job.tasks ?? 1); index++) {
            await this.startTask(job, `${job.name}/${index}` as TaskId);
        }
        return Ok(undefined);
    }

    async sendRequest(request: OutgoingRequest): Promise<RequestReply> {
        this.attempts++;
        const [executor] = [...this.fleet.executors.values()];
        const answer = await executor?.execute({
            attempt: `a${this.attempts}` as AttemptId,
            requestKey: `k${this.attempts}` as RequestKey,
            queue: request.queue as QueueId,
            team: "sales" as TeamId,
            isIdempotent: request.isIdempotent,
            contentType: "text/plain",
            body: request.body,
            timeoutMs: request.deadlineMs,
            epoch: 1,
        });
        if (answer?.ok) {
            return { kind: "answered", body: Buffer.from(answer.val.body) };
        }
        const { verdict = "notRun", message = "no executor" } = answer?.val ?? {};
        return { kind: verdict === "notRun" ? "refused" : "lost", verdict, message };
    }

    private async startTask(job: JobSubmission, task: TaskId): Promise<void> {
        for (const worker of this.fleet.workers.values()) {
            const result = await worker.start({
                task,
                team: job.team as TeamId,
                job: job.name as JobId,
                resources: { cpuMillis: job.cpuMillis ?? 100, memoryMb: 64, accelerators: 0 },
                command: job.command ?? "run 200ms",
                leaseMs: 60_000,
                expiresInMs: 1_000,
                epoch: 1,
            });
            if (result.ok) {
                return;
            }
        }
    }
}

function createWorld(): InProcessWorld {
    const clock = new ManualClock();
    const fleet = new Fleet({ clock });
    for (const index of [0, 1]) {
        const place = { zone: "glasgow" as never, url: "" };
        fleet.addWorker({
            worker: `glasgow-worker-${index}` as never,
            rack: "r" as never,
            capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
            ...place,
        });
        const executor = `glasgow-executor-${index}` as never;
        fleet.addExecutor({ executor, slots: 8, connections: 64, queues: [], ...place });
    }
    return new InProcessWorld({ clock, fleet, system: new NaiveSystem(fleet) });
}

async function run(lines: readonly string[]): Promise<string> {
    const result = await runScenario("test", lines.join("\n"), createWorld());
    return result.ok ? "passed" : result.val.message;
}

describe("scenarios in process", () => {
    it("runs the faults of the stand-ins", async () => {
        const file = fileURLToPath(new URL("../scenarios/stand-ins.scenario", import.meta.url));
        const result = await runScenarioFile(file, createWorld());
        expect(result.ok ? "passed" : result.val.message).toEqual("passed");
    });

    it("advances the clock until an expectation holds", async () => {
        const steps = [
            "submit job cuts for sales, tasks 3, command \"run 10s\"",
            "expect job cuts accepted within 1s",
            "expect tasks running 3",
            "expect task cuts/2 running",
            "expect tasks succeeded 3 of job cuts within 11s",
            "submit 5 requests to orders",
            "expect requests answered 5 within 1s",
            "expect every answer whole",
        ];
        expect(await run(steps)).toEqual("passed");
    });

    // Guards against scenarios that pass while the system does what they forbid.
    it("fails with the place of the expectation when the system overcommits a worker", async () => {
        const steps = [
            "submit job cuts for sales, tasks 11, command \"run forever\"",
            "wait 1s",
            "expect no overcommit",
        ];
        expect(await run(steps)).toEqual(expect.includes("test:3:1: \"expect no overcommit\" does not hold: 1 times"));
    });

    it("fails when an expectation does not come true in its time", async () => {
        const steps = ["submit job cuts for sales, command \"run 10s\"", "expect tasks succeeded 1 within 9s"];
        expect(await run(steps)).toEqual(expect.includes("test:2:1: "));
        expect(await run(["submit job cuts for sales, command \"run 10s\"", "expect tasks succeeded 1 within 11s"]))
            .toEqual("passed");
    });

    it("carries store outages and cuts to the system", async () => {
        const steps = [
            "stop the store",
            "submit job cuts for sales, command \"run forever\"",
            "expect job cuts refused within 2s",
            "start the store",
            "cut glasgow from store",
            "submit job blanks for sales",
            "expect job blanks waiting",
            "expect job blanks refused within 2s",
            "mend glasgow to store",
            "submit job slabs for sales, command \"run forever\"",
            "expect job slabs accepted within 1s",
            "expect tasks started 1",
            "expect no refused work run",
        ];
        expect(await run(steps)).toEqual("passed");
    });

    it("moves tasks off a killed worker and lapses leases", async () => {
        const steps = [
            "kill glasgow-worker-0",
            "submit job cuts for sales, command \"run forever\"",
            "expect task cuts/0 running within 1s",
            "lapse the lease of task cuts/0",
            "expect task cuts/0 not running",
            "start glasgow-worker-0",
            "expect process scheduler/glasgow-1 ended",
            "start scheduler/glasgow-1",
            "expect process scheduler/glasgow-1 ready",
        ];
        expect(await run(steps)).toEqual("passed");
    });

    it("names an unknown target", async () => {
        expect(await run(["let dundee fail tasks"])).toEqual(
            expect.includes("test:1:1: the stand-ins have no \"dundee\""),
        );
    });
});
