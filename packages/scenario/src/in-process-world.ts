/**
 * A world over in-process fakes and a manual clock.
 */
import type { Failure, ManualClock, Result } from "@waxwingroute/core";
import { Ok } from "@waxwingroute/core";
import type { ControlCommand, Fleet } from "@waxwingroute/stand-ins";
import { applyControl, createRecordsReport } from "@waxwingroute/stand-ins";
import type { Observation, ResourceWrite } from "./scenario-world.js";
import { ScenarioWorld } from "./scenario-world.js";
import type { OutgoingRequest, RequestReply } from "./submissions.js";
import { Submissions } from "./submissions.js";
import type { JobSubmission, ProcessState, RequestSubmission } from "./types.js";

/** The system under test, run inside the test process. */
export abstract class InProcessSystem {
    abstract startProcess(name: string): Promise<Result<void, Failure>>;
    abstract stopProcess(name: string): Promise<Result<void, Failure>>;
    abstract killProcess(name: string): Promise<Result<void, Failure>>;
    abstract pauseProcess(name: string): Promise<Result<void, Failure>>;
    abstract resumeProcess(name: string): Promise<Result<void, Failure>>;
    abstract getProcessState(name: string): Result<ProcessState, Failure>;
    /** Opens or cuts links between the system's own processes; returns whether the names have such links. */
    abstract setLink(from: string, to: string, isOpen: boolean): boolean;
    abstract writeResource(write: ResourceWrite, mode: "create" | "replace"): Promise<Result<void, Failure>>;
    abstract revokeKey(name: string, at?: string): Promise<Result<void, Failure>>;
    /** Resolves when the system accepted the job; a failure is a refusal. */
    abstract submitJob(job: JobSubmission): Promise<Result<void, Failure>>;
    abstract sendRequest(request: OutgoingRequest): Promise<RequestReply>;
}

/** Options of `InProcessWorld`. */
export interface InProcessWorldOptions {
    readonly clock: ManualClock;
    /** Stand-ins on the same clock. */
    readonly fleet: Fleet;
    readonly system: InProcessSystem;
}

/**
 * Runs a scenario in process; waiting moves the manual clock.
 *
 * @example
 * ```ts
 * const world = new InProcessWorld({ clock, fleet, system });
 * const result = await runScenarioFile("scenarios/lost-worker.scenario", world);
 * ```
 */
export class InProcessWorld extends ScenarioWorld {
    private readonly submissions: Submissions;

    constructor(private readonly options: InProcessWorldOptions) {
        super();
        this.submissions = new Submissions({
            send: request => options.system.sendRequest(request),
            wait: durationMs => this.wait(durationMs),
            runId: "test",
        });
    }

    getNow(): number {
        return this.options.clock.getNow();
    }

    wait(durationMs: number): Promise<void> {
        return this.options.clock.advance(durationMs);
    }

    isEndpoint(name: string): boolean {
        return this.options.fleet.findEndpoint(name) !== undefined;
    }

    startProcess(name: string): Promise<Result<void, Failure>> {
        return this.options.system.startProcess(name);
    }

    stopProcess(name: string): Promise<Result<void, Failure>> {
        return this.options.system.stopProcess(name);
    }

    killProcess(name: string): Promise<Result<void, Failure>> {
        return this.options.system.killProcess(name);
    }

    pauseProcess(name: string): Promise<Result<void, Failure>> {
        return this.options.system.pauseProcess(name);
    }

    resumeProcess(name: string): Promise<Result<void, Failure>> {
        return this.options.system.resumeProcess(name);
    }

    async getProcessState(name: string): Promise<Result<ProcessState, Failure>> {
        return this.options.system.getProcessState(name);
    }

    async setLink(from: string, to: string, isOpen: boolean): Promise<Result<void, Failure>> {
        const { fleet, system } = this.options;
        const hasOwnLink = system.setLink(from, to, isOpen);
        const results = [[from, to], [to, from]].map(([source = "", target = ""]) =>
            applyControl(fleet, { action: isOpen ? "mend" : "cut", source, target })
        );
        return hasOwnLink ? Ok(undefined) : results.find(result => result.ok) ?? results[0] ?? Ok(undefined);
    }

    async applyControl(command: ControlCommand): Promise<Result<void, Failure>> {
        return applyControl(this.options.fleet, command);
    }

    writeResource(write: ResourceWrite, mode: "create" | "replace"): Promise<Result<void, Failure>> {
        return this.options.system.writeResource(write, mode);
    }

    revokeKey(name: string, at?: string): Promise<Result<void, Failure>> {
        return this.options.system.revokeKey(name, at);
    }

    async submitJob(job: JobSubmission): Promise<Result<void, Failure>> {
        void this.submissions.trackJob(job.name, this.options.system.submitJob(job));
        await this.wait(0);
        return Ok(undefined);
    }

    async submitRequests(submission: RequestSubmission): Promise<Result<void, Failure>> {
        await this.submissions.sendAll(submission);
        return Ok(undefined);
    }

    async observe(): Promise<Result<Observation, Failure>> {
        const { fleet, clock } = this.options;
        await clock.advance(0);
        return Ok({
            report: createRecordsReport(fleet),
            jobs: this.submissions.jobs,
            requests: this.submissions.requests,
            zones: new Map([...fleet.workers.values()].map(({ address }) => [address.worker, address.zone])),
        });
    }

    async close(): Promise<void> {
        for (const worker of this.options.fleet.workers.values()) {
            worker.kill();
        }
    }
}
