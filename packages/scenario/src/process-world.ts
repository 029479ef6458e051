/**
 * A world of real processes: the stand-in process and the programs of each entry host. Test tooling: it starts child
 * processes, which no program of the system does.
 */
import type { Failure, Result, WorkerId } from "@waxwingroute/core";
import { createFailure, Err, Ok, SystemClock, SystemRandom } from "@waxwingroute/core";
import type { ControlCommand, LayoutInput, StandInAddresses } from "@waxwingroute/stand-ins";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CallerClient } from "./caller-client.js";
import { ChildProgram } from "./child-program.js";
import type { EntryHost, LinkBytes } from "./cluster-plan.js";
import { address, ClusterPlan } from "./cluster-plan.js";
import { ClientPool } from "./http-exchange.js";
import { OperatorClient } from "./operator-client.js";
import type { Observation, ResourceWrite } from "./scenario-world.js";
import { ScenarioWorld } from "./scenario-world.js";
import { StandInProcess } from "./stand-in-process.js";
import { Submissions } from "./submissions.js";
import type { JobSubmission, ProcessState, RequestSubmission } from "./types.js";

/** Programs of an entry host, in the order in which they start. */
const programNames = ["scheduler", "operator", "entry"] as const;

type ProgramName = typeof programNames[number];

/** Options of `ProcessWorld`. */
export interface ProcessWorldOptions {
    /** Paths of compiled main files. A program without a path is not started. */
    readonly mains: { readonly standIn: string; } & Partial<Readonly<Record<ProgramName, string>>>;
    /** Layout of the stand-in process. */
    readonly layout: LayoutInput;
    /** Entry hosts in the order of the settings. Default none. */
    readonly hosts?: readonly EntryHost[];
    /** Shards of each zone. Default 1. */
    readonly shards?: number;
    /** Fields of the settings file, over the defaults. */
    readonly settings?: Readonly<Record<string, unknown>>;
    /** Directory for settings and logs. Created if missing. Default: a new one below the system's, removed at the end. */
    readonly directory?: string;
    /** Milliseconds within which a program ends after SIGTERM. Default 15,000. */
    readonly stopMs?: number;
}

/**
 * A world of real processes. Processes are named `scheduler/<host>`, `operator/<host>` and `entry/<host>`; a host's name
 * stands for its three processes and `all` for those of every host.
 *
 * @example
 * ```ts
 * const world = new ProcessWorld({ mains, layout, hosts: [{ name: "glasgow-1", zone: "glasgow" }] });
 * await world.open();
 * const result = await runScenarioFile("scenarios/owner-killed.scenario", world);
 * await world.close();
 * ```
 */
export class ProcessWorld extends ScenarioWorld {
    private readonly clock = new SystemClock();
    private readonly directory: string;
    private readonly clients = new ClientPool();
    private readonly plan: ClusterPlan;
    private readonly standIn: StandInProcess;
    private readonly programs = new Map<string, ChildProgram>();
    private readonly operator: OperatorClient;
    private readonly submissions: Submissions;
    private turn = 0;

    constructor(private readonly options: ProcessWorldOptions) {
        super();
        this.directory = options.directory ?? mkdtempSync(join(tmpdir(), "waxwing-scenario-"));
        this.plan = new ClusterPlan(options.hosts ?? []);
        const { clients, directory } = this;
        this.standIn = new StandInProcess({ main: options.mains.standIn, layout: options.layout, directory, clients });
        this.operator = new OperatorClient({ clients, listUrls: at => this.listUrls("operator", at) });
        const caller = new CallerClient({
            clients,
            listUrls: at => this.listUrls("entry", at),
            findSecret: (key, queue) => this.operator.findSecret(key, queue),
        });
        this.submissions = new Submissions({
            send: request => caller.send(request),
            wait: durationMs => this.wait(durationMs),
            runId: new SystemRandom().getHex(8),
        });
    }

    /** Addresses of the stand-in process; valid after `open`. */
    get addresses(): StandInAddresses {
        return this.standIn.addresses;
    }

    /** Starts the stand-in process and writes the settings of each host. Starts no program of the system. */
    async open(): Promise<void> {
        mkdirSync(this.directory, { recursive: true });
        await this.standIn.start();
        await this.plan.open();
        for (const host of this.plan.hosts) {
            this.addHost(host.name);
        }
    }

    /** Returns the base URL of a program's own port; health endpoints are on `<program>Health`. */
    getUrl(host: string, port: ProgramName | `${ProgramName}Health`): string {
        return `http://${address}:${this.plan.getPorts(host)[port]}`;
    }

    /** Returns the ids of the running programs by name. */
    listProcessIds(): ReadonlyMap<string, number> {
        return new Map(
            [...this.programs].flatMap(([name, { processId }]) =>
                processId === undefined ? [] : [[name, processId] as const]
            ),
        );
    }

    /** Returns the bytes that each link between two hosts has carried, in both directions. */
    listLinkBytes(): readonly LinkBytes[] {
        return this.plan.listLinkBytes();
    }

    getNow(): number {
        return this.clock.getNow();
    }

    wait(durationMs: number): Promise<void> {
        return this.clock.wait(durationMs);
    }

    isEndpoint(name: string): boolean {
        const { workers, executors } = this.standIn.addresses;
        return workers.some(({ worker }) => worker === name) || executors.some(({ executor }) => executor === name);
    }

    startProcess(name: string): Promise<Result<void, Failure>> {
        return this.applyToPrograms(name, async program => program.start());
    }

    stopProcess(name: string): Promise<Result<void, Failure>> {
        return this.applyToPrograms(name, program => program.stop());
    }

    killProcess(name: string): Promise<Result<void, Failure>> {
        return this.applyToPrograms(name, program => program.kill());
    }

    pauseProcess(name: string): Promise<Result<void, Failure>> {
        return this.applyToPrograms(name, async program => program.pause());
    }

    resumeProcess(name: string): Promise<Result<void, Failure>> {
        return this.applyToPrograms(name, async program => program.resume());
    }

    /** Returns the lowest state of the named processes: `ended`, then `running`, then `ready`. */
    async getProcessState(name: string): Promise<Result<ProcessState, Failure>> {
        const programs = this.findPrograms(name);
        if (programs.size === 0) {
            return Err(this.createUnknown(name));
        }
        const states = await Promise.all([...programs].map(([id, program]) => this.readState(id, program)));
        return Ok((["ended", "running", "ready"] as const).find(state => states.includes(state)) ?? "ended");
    }

    /** Cuts or mends relays between hosts, and access of hosts to the platform, to workers and to executors. */
    async setLink(from: string, to: string, isOpen: boolean): Promise<Result<void, Failure>> {
        const first = this.plan.findHosts(from);
        const second = this.plan.findHosts(to);
        let found = this.plan.setLinks(first, second, isOpen);
        const action = isOpen ? "mend" : "cut";
        const pairs = [...first.map(source => [source, to]), ...second.map(source => [source, from])];
        for (const [source = "", target = ""] of pairs) {
            const applied = await this.standIn.applyControl({ action, source, target });
            found += Number(applied.ok);
        }
        return found > 0 ? Ok(undefined) : Err(this.createUnknown(`${from}" or "${to}`));
    }

    applyControl(command: ControlCommand): Promise<Result<void, Failure>> {
        return this.standIn.applyControl(command);
    }

    writeResource(write: ResourceWrite, mode: "create" | "replace"): Promise<Result<void, Failure>> {
        return mode === "create" ? this.operator.create(write) : this.operator.replace(write);
    }

    revokeKey(name: string, at?: string): Promise<Result<void, Failure>> {
        return this.operator.revokeKey(name, at);
    }

    async submitJob(job: JobSubmission): Promise<Result<void, Failure>> {
        void this.submissions.trackJob(job.name, this.operator.submitJob(job));
        return Ok(undefined);
    }

    async submitRequests(submission: RequestSubmission): Promise<Result<void, Failure>> {
        await this.submissions.sendAll(submission);
        return Ok(undefined);
    }

    async observe(): Promise<Result<Observation, Failure>> {
        const zones = new Map<WorkerId, string>(this.addresses.workers.map(({ worker, zone }) => [worker, zone]));
        const records = await this.standIn.readRecords();
        return records.map(report => ({
            report,
            jobs: this.submissions.jobs,
            requests: this.submissions.requests,
            zones,
        }));
    }

    async close(): Promise<void> {
        const running = [...this.programs.values()].filter(program => program.isRunning);
        await Promise.all(running.map(program => program.kill()));
        await this.standIn.stop();
        await this.plan.close();
        this.clients.close();
        if (this.options.directory === undefined) {
            rmSync(this.directory, { recursive: true, force: true });
        }
    }

    private addHost(host: string): void {
        const { mains, settings = {}, shards = 1, stopMs } = this.options;
        const file = join(this.directory, `${host}.json`);
        const content = this.plan.createSettings(host, this.addresses, settings, shards);
        writeFileSync(file, JSON.stringify(content, undefined, 4));
        for (const program of programNames) {
            const main = mains[program];
            if (main !== undefined) {
                const name = `${program}/${host}`;
                const logFile = join(this.directory, `${program}-${host}.log`);
                const args = ["--settings", file, "--host", host];
                this.programs.set(name, new ChildProgram({ name, main, args, logFile, stopMs }));
            }
        }
    }

    private findPrograms(name: string): ReadonlyMap<string, ChildProgram> {
        return new Map(
            [...this.programs].filter(([id]) => name === "all" || id === name || id.split("/")[1] === name),
        );
    }

    private async applyToPrograms(
        name: string,
        apply: (program: ChildProgram) => Promise<Result<void, Failure>>,
    ): Promise<Result<void, Failure>> {
        const programs = this.findPrograms(name);
        if (programs.size === 0) {
            return Err(this.createUnknown(name));
        }
        const results = await Promise.all([...programs.values()].map(apply));
        return results.find(result => !result.ok) ?? Ok(undefined);
    }

    private createUnknown(name: string): Failure {
        const known = [...this.programs.keys(), ...this.plan.hosts.map(host => host.name)].join(", ");
        const message = `the world has no process, host or zone "${name}"; it has ${known || "none"}`;
        return createFailure("unknown-name", message, "notRun");
    }

    private async readState(id: string, program: ChildProgram): Promise<ProcessState> {
        if (!program.isRunning) {
            return "ended";
        }
        const [name = "", host = ""] = id.split("/");
        const client = this.clients.get(this.getUrl(host, `${name as ProgramName}Health`));
        const answer = await client.send({ operation: "ready", method: "GET", path: "/readyz", timeoutMs: 500 });
        return answer.ok && answer.val.status === 200 ? "ready" : "running";
    }

    /** Lists the URLs of running programs, beginning with another host each time, as a balancer does. */
    private listUrls(program: ProgramName, at: string | undefined): readonly string[] {
        const hosts = this.plan.hosts
            .map(host => host.name)
            .filter(host => at === undefined ? this.programs.get(`${program}/${host}`)?.isRunning : host === at);
        const first = hosts.length === 0 ? 0 : this.turn++ % hosts.length;
        return [...hosts.slice(first), ...hosts.slice(0, first)].map(host => this.getUrl(host, program));
    }
}
