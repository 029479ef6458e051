/**
 * All zones of a cluster in one process, for scenarios: the programs' own code over fakes of the platform, on one
 * manual clock.
 */
import { createFailure, Err, ManualClock, Ok, SeededRandom, toId } from "@waxwingroute/core";
import type {
    ExecutorId,
    Failure,
    HostId,
    QueueId,
    RackId,
    RequestKey,
    Result,
    WorkerId,
    ZoneId,
} from "@waxwingroute/core";
import { jobSpecSchema, parseResource } from "@waxwingroute/resources";
import type { ConfigurationResource } from "@waxwingroute/resources";
import { parseRequestKey } from "@waxwingroute/routing";
import { createJobSpec, InProcessSystem, InProcessWorld } from "@waxwingroute/scenario";
import type { JobSubmission, OutgoingRequest, ProcessState, RequestReply, ResourceWrite } from "@waxwingroute/scenario";
import { listHosts, parseSettings } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import { Fleet } from "@waxwingroute/stand-ins";
import { startEntry, startOperator, startScheduler } from "./in-process-host.js";
import type { EntryProgram, InProcessProgram, OperatorProgram, ProgramDependencies } from "./in-process-host.js";
import { InProcessNetwork } from "./in-process-network.js";

const programNames = ["scheduler", "operator", "entry"] as const;

type ProgramName = typeof programNames[number];

/** Options of `InProcessCluster`. */
export interface InProcessClusterOptions {
    /** Names of the zones; default `glasgow`. */
    readonly zones?: readonly string[];
    readonly hostsPerZone?: number;
    readonly workersPerZone?: number;
    readonly executorsPerZone?: number;
    readonly seed?: number;
    /** Lease of a task in milliseconds; default 6,000, which keeps scenarios short. */
    readonly taskLeaseMs?: number;
}

interface RunningProgram {
    readonly name: ProgramName;
    readonly location: HostLocation;
    readonly program: InProcessProgram;
}

interface DeclaredKey {
    readonly team: string;
    readonly secret: string;
}

/** An in-process cluster on which scenarios run. */
export class InProcessCluster extends InProcessSystem {
    readonly clock = new ManualClock(1_000_000);
    readonly fleet = new Fleet({ clock: this.clock, hostListLagMs: 1_000 });
    readonly log: { readonly at: number; readonly host: string; readonly message: string; readonly fields: object; }[] =
        [];
    private readonly settings: Settings;
    private readonly random: SeededRandom;
    private readonly network: InProcessNetwork;
    private readonly programs = new Map<string, RunningProgram>();
    private readonly keys = new Map<string, DeclaredKey>();
    private readonly teamByQueue = new Map<string, string>();
    private pickCount = 0;

    constructor(options: InProcessClusterOptions = {}) {
        super();
        const { zones = ["glasgow"], hostsPerZone = 2, workersPerZone = 4, executorsPerZone = 2, seed = 1 } = options;
        const { taskLeaseMs = 6_000 } = options;
        this.random = new SeededRandom(seed);
        this.network = new InProcessNetwork({ clock: this.clock, random: new SeededRandom(seed), delayMs: [0.5, 8] });
        this.settings = createSettings(zones, hostsPerZone, taskLeaseMs);
        for (const zone of zones) {
            this.addEndpoints(toId<ZoneId>(zone), workersPerZone, executorsPerZone);
        }
    }

    /** Creates the world on which scenario files run. */
    createWorld(): InProcessWorld {
        return new InProcessWorld({ clock: this.clock, fleet: this.fleet, system: this });
    }

    async startProcess(name: string): Promise<Result<void, Failure>> {
        return this.forEachProgram(name, async (program, location) => {
            const key = `${program}/${location.host}`;
            if (this.programs.has(key)) {
                return;
            }
            const dependencies = this.createDependencies(location);
            const started = program === "scheduler"
                ? startScheduler(dependencies)
                : program === "entry"
                ? startEntry(dependencies)
                : startOperator(dependencies);
            this.programs.set(key, { name: program, location, program: started });
        });
    }

    async stopProcess(name: string): Promise<Result<void, Failure>> {
        const stops: Promise<void>[] = [];
        const result = await this.forEachProgram(name, async (program, location) => {
            const key = `${program}/${location.host}`;
            const running = this.programs.get(key);
            this.programs.delete(key);
            if (running !== undefined) {
                stops.push(running.program.stop());
            }
        });
        await this.awaitAll(stops);
        return result;
    }

    killProcess(name: string): Promise<Result<void, Failure>> {
        return this.forEachProgram(name, async (program, location) => {
            const key = `${program}/${location.host}`;
            this.programs.get(key)?.program.kill();
            this.programs.delete(key);
        });
    }

    pauseProcess(name: string): Promise<Result<void, Failure>> {
        return this.forEachProgram(
            name,
            async (program, location) => this.programs.get(`${program}/${location.host}`)?.program.gate.pause(),
        );
    }

    resumeProcess(name: string): Promise<Result<void, Failure>> {
        return this.forEachProgram(
            name,
            async (program, location) => this.programs.get(`${program}/${location.host}`)?.program.gate.resume(),
        );
    }

    getProcessState(name: string): Result<ProcessState, Failure> {
        const selected = this.selectPrograms(name);
        if (selected.length === 0) {
            return Err(createFailure("unknown-process", `there is no process "${name}"`, "notRun"));
        }
        const programs = selected.map(([program, location]) =>
            this.programs.get(`${program}/${location.host}`)?.program
        );
        if (programs.some(program => program === undefined)) {
            return Ok("ended");
        }
        return Ok(programs.every(program => program?.isReady() === true) ? "ready" : "running");
    }

    setLink(from: string, to: string, isOpen: boolean): boolean {
        const fromHosts = this.selectHosts(from);
        const toHosts = this.selectHosts(to);
        for (const fromHost of fromHosts) {
            for (const toHost of toHosts.filter(other => other !== fromHost)) {
                this.network.setLink(fromHost, toHost, isOpen);
            }
        }
        // Workers, executors and the platform know callers by host, so a zone is cut host by host. `InProcessWorld` cuts
        // single hosts itself.
        for (const host of fromHosts.filter(other => other !== from)) {
            this.setPlatformLink(host, to, isOpen);
        }
        return fromHosts.length > 0 && toHosts.length > 0 || fromHosts.some(host => host !== from);
    }

    async writeResource(write: ResourceWrite, mode: "create" | "replace"): Promise<Result<void, Failure>> {
        const operator = this.pickProgram<OperatorProgram>("operator", undefined);
        if (operator === undefined) {
            return Err(createFailure("no-operator", "no operator process is running", "notRun"));
        }
        const { resource, name, spec } = write;
        const team = String(spec["team"]);
        if (resource === "Key" && mode === "create") {
            const created = await this.awaitResult(operator.repository.createKey(name, team));
            return created.map(({ secret }) => void this.keys.set(name, { team, secret }));
        }
        if (resource === "Queue" && spec["access"] === "team") {
            this.teamByQueue.set(name, team);
        }
        const parsed = parseResource({ kind: resource, name, spec });
        if (parsed.err) {
            return Err(parsed.val);
        }
        const parsedResource = parsed.val as ConfigurationResource;
        if (mode === "create") {
            return (await this.awaitResult(operator.repository.create(parsedResource))).map(() => undefined);
        }
        const current = await this.awaitResult(operator.repository.get(parsedResource.kind, name));
        if (current.err) {
            return Err(current.val);
        }
        const changed = { ...parsedResource, version: current.val.version } as ConfigurationResource;
        return (await this.awaitResult(operator.repository.update(changed))).map(() => undefined);
    }

    async revokeKey(name: string, at?: string): Promise<Result<void, Failure>> {
        const operator = this.pickProgram<OperatorProgram>("operator", at);
        const result = await this.awaitResult(operator?.repository.delete("Key", name) ?? Promise.resolve(undefined));
        return result === undefined
            ? Err(createFailure("no-operator", "no operator process is running", "notRun"))
            : result.map(() => undefined);
    }

    async submitJob(job: JobSubmission): Promise<Result<void, Failure>> {
        const operator = this.pickProgram<OperatorProgram>("operator", job.at);
        if (operator === undefined) {
            return Err(createFailure("no-operator", "no operator process is running", "notRun"));
        }
        const secret = this.findSecret(job.key, job.team);
        const holder = secret === undefined ? undefined : operator.relay.replica.view.authenticate(secret);
        if (holder?.team.name !== job.team) {
            return Err(createFailure("unauthorized", `the key does not belong to team "${job.team}"`, "notRun"));
        }
        const spec = jobSpecSchema.parse(createJobSpec(job));
        const result = await operator.jobs.submit({ kind: "Job", name: job.name, version: 0, spec });
        return result.map(() => undefined);
    }

    async sendRequest(request: OutgoingRequest): Promise<RequestReply> {
        const entry = this.pickProgram<EntryProgram>("entry", request.at);
        if (entry === undefined) {
            return { kind: "refused", verdict: "notRun", message: "no entry process is running" };
        }
        if (!request.hasRequestKey) {
            return this.sendOnce(entry, request, undefined);
        }
        const issued = await entry.gateway.issueRequestKey();
        if (issued.err) {
            return { kind: "refused", verdict: "notRun", message: issued.val.message };
        }
        const firstReply = await this.sendOnce(entry, request, issued.val);
        const retryEntry = this.pickProgram<EntryProgram>("entry", request.at);
        return firstReply.kind === "lost" && retryEntry !== undefined
            ? this.sendOnce(retryEntry, request, issued.val)
            : firstReply;
    }

    private async sendOnce(
        entry: EntryProgram,
        request: OutgoingRequest,
        requestKey: string | undefined,
    ): Promise<RequestReply> {
        const queue = toId<QueueId>(request.queue);
        const access = entry.access.authorize(
            this.findSecret(request.key, this.teamByQueue.get(request.queue)),
            queue,
        );
        if (access.err) {
            return { kind: "refused", verdict: access.val.verdict, message: access.val.message };
        }
        const call = entry.gateway.execute(
            requestKey === undefined ? undefined : parseRequestKey(requestKey)?.shard,
            {
                team: access.val.team,
                queue,
                requestKey: requestKey === undefined ? undefined : toId<RequestKey>(requestKey),
                isIdempotent: request.isIdempotent,
                timeoutMs: request.deadlineMs,
                contentType: "application/octet-stream",
                signal: new AbortController().signal,
            },
            request.body,
        );
        // A caller whose entry process died loses its connection and cannot tell whether the request ran.
        const callerTimeout = this.clock.wait(request.deadlineMs + 1_000).then(() => undefined);
        const result = await Promise.race([call, callerTimeout]);
        if (result === undefined) {
            return { kind: "lost", verdict: "mayHaveRun", message: "no answer by the deadline" };
        }
        if (result.ok) {
            return { kind: "answered", body: Buffer.from(result.val.body) };
        }
        const { verdict, message } = result.val;
        return { kind: verdict === "notRun" ? "refused" : "lost", verdict, message };
    }

    private findSecret(key: string | undefined, team: string | undefined): string | undefined {
        return key === undefined
            ? [...this.keys.values()].find(other => other.team === team)?.secret
            : this.keys.get(key)?.secret;
    }

    /** Picks a running program of this name, each in turn; `at` is a host. */
    private pickProgram<T extends InProcessProgram>(name: ProgramName, at: string | undefined): T | undefined {
        const running = [...this.programs.values()].filter(other =>
            other.name === name && (at === undefined || other.location.host === at)
        );
        return running[this.pickCount++ % Math.max(1, running.length)]?.program as T | undefined;
    }

    /** Selects programs by `all`, a zone, a host or `<program>/<host>`. */
    private selectPrograms(name: string): readonly [ProgramName, HostLocation][] {
        return listHosts(this.settings).flatMap(location =>
            programNames
                .filter(program =>
                    name === "all" || name === location.host || name === `${program}/${location.host}`
                    || name === location.zone
                )
                .map((program): [ProgramName, HostLocation] => [program, location])
        );
    }

    private async forEachProgram(
        name: string,
        run: (program: ProgramName, location: HostLocation) => Promise<void>,
    ): Promise<Result<void, Failure>> {
        const programs = this.selectPrograms(name);
        if (programs.length === 0) {
            return Err(createFailure("unknown-process", `there is no process "${name}"`, "notRun"));
        }
        for (const [program, location] of programs) {
            await run(program, location);
        }
        return Ok(undefined);
    }

    private selectHosts(name: string): readonly HostId[] {
        return listHosts(this.settings)
            .filter(location => name === "all" || location.host === name || location.zone === name)
            .map(location => location.host);
    }

    private setPlatformLink(host: HostId, to: string, isOpen: boolean): void {
        if (to === "platform" || to === "store") {
            this.fleet.store.faults.setCut(host, !isOpen);
        }
        if (to === "platform" || to === "host-list") {
            this.fleet.hostList.faults.setCut(host, !isOpen);
        }
        const endpoints = [...this.fleet.workers.values(), ...this.fleet.executors.values()];
        endpoints.filter(({ address }) => address.zone === to).forEach(endpoint =>
            endpoint.faults.setCut(host, !isOpen)
        );
    }

    private createDependencies(location: HostLocation): ProgramDependencies {
        const { settings, clock, random, fleet, network } = this;
        const write = (_level: string, message: string, fields: object = {}) =>
            void this.log.push({ at: clock.getNow(), host: location.host, message, fields });
        return { settings, location, clock, random, fleet, network, logger: { write } };
    }

    private async awaitAll(promises: readonly Promise<void>[]): Promise<void> {
        await this.awaitResult(Promise.all(promises));
    }

    /** Advances the clock until a promise settles. */
    private async awaitResult<T>(promise: Promise<T>): Promise<T> {
        let isSettled = false;
        const settled = promise.finally(() => {
            isSettled = true;
        });
        while (!isSettled) {
            await this.clock.advance(10);
        }
        return settled;
    }

    private addEndpoints(zone: ZoneId, workers: number, executors: number): void {
        for (let index = 0; index < workers; index++) {
            this.fleet.addWorker({
                worker: toId<WorkerId>(`${zone}-worker-${index}`),
                zone,
                rack: toId<RackId>(`${zone}-rack-${Math.floor(index / 2)}`),
                url: `http://127.0.0.1:${20_000 + this.fleet.workers.size}`,
                capacity: { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0 },
            });
        }
        for (let index = 0; index < executors; index++) {
            this.fleet.addExecutor({
                executor: toId<ExecutorId>(`${zone}-executor-${index}`),
                zone,
                url: `http://127.0.0.1:${30_000 + this.fleet.executors.size}`,
                slots: 8,
                connections: 64,
                queues: [],
            });
        }
    }
}

function createSettings(zones: readonly string[], hostsPerZone: number, taskLeaseMs: number): Settings {
    let port = 10_000;
    const createPorts = () =>
        Object.fromEntries(
            ["scheduler", "entry", "operator", "schedulerHealth", "entryHealth", "operatorHealth"].map(
                name => [name, port++],
            ),
        );
    const regions = zones.map(zone => ({
        name: `${zone}-region`,
        zones: [{
            name: zone,
            hosts: Array.from({ length: hostsPerZone }, (_, index) => ({
                name: `${zone}-${index + 1}`,
                address: "127.0.0.1",
                ports: createPorts(),
            })),
        }],
    }));
    const settings = {
        cluster: "test",
        store: { url: "http://127.0.0.1:9000" },
        hostList: { url: "http://127.0.0.1:9001", pollMs: 500 },
        regions,
        tasks: { leaseMs: taskLeaseMs, renewIntervalMs: taskLeaseMs / 4 },
    };
    return parseSettings(JSON.stringify(settings), "test").unwrap();
}
