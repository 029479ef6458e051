/** One run: starts the stand-ins and hosts, plays troubles for a time and calm after it, and checks the rules. */
import { SeededRandom } from "@waxwingroute/core";
import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { AdviceFront } from "./advice-front.js";
import { AdviceService } from "./advice-service.js";
import { Callers } from "./callers.js";
import type { Breaks, RuleBounds } from "./checks.js";
import { checkRules } from "./checks.js";
import { ExecutorFront } from "./executor-front.js";
import { Executor } from "./executor.js";
import { listFirstCallWaits } from "./first-calls.js";
import type { FirstCallWait } from "./first-calls.js";
import { Gangs } from "./gangs.js";
import { findHostIp, graceSeconds, HostProcess } from "./host-process.js";
import { PeerLink } from "./peer-link.js";
import { configurationKey, encodeConfiguration, peerPort } from "./protocol.js";
import { advisedQueues, plainQueue } from "./queues.js";
import type { RecordedJob } from "./run-record.js";
import { RunRecord } from "./run-record.js";
import type { Shape } from "./shapes.js";
import { Site, siteHostName, siteKey } from "./site.js";
import { StandingWatch } from "./standing-watch.js";
import { StoreFront } from "./store-front.js";
import { StoreState } from "./store-state.js";
import type { SiteConfiguration } from "./types.js";
import { executorCpu, pickWeighted } from "./workload.js";

/** What is played. */
export interface SoakOptions {
    readonly seed: number;
    /** Path of the bundle or compiled program of a host. */
    readonly program: string;
    readonly shape: Shape;
    /** Time with trouble, ms. Default 48,000. */
    readonly troubleMs?: number;
    /** Longest calm after it, ms; it ends earlier once all jobs are finished. Default 32,000. */
    readonly calmMs?: number;
    /** Number of hosts, in two zones. Default 6. */
    readonly hosts?: number;
    /** Folder for the record and the logs; without it, none are kept. */
    readonly outputDirectory?: string;
}

/** The verdict of a run. */
export interface SoakResult {
    readonly breaks: Breaks;
    readonly jobs: number;
    readonly accepted: number;
    readonly runs: number;
    /** Accepted jobs that nobody cancelled and that were not finished at the end. */
    readonly open: number;
    /** The longest wait of a step for the first call of the advice service about it. */
    readonly longestFirstCall: FirstCallWait | undefined;
    /** The step that waited longest while hosts called the service about others. */
    readonly longestPassedOver: FirstCallWait | undefined;
    /** The longest time that a job stood in the calm, ms. */
    readonly longestStandingMs: number;
    /** Calls that the advice service handled, its work for them, and calls that it refused because too many waited. */
    readonly advice: AdviceService["totals"];
    /** Starts that executors refused because of their tickets. */
    readonly ticketRefusals: number;
    /** Requests on connections that callers kept open to stopping hosts. */
    readonly keptCalls: number;
}

const zones = ["glasgow-a", "dundee-a"];
const defaultHosts = 6;
const defaultTroubleMs = 48_000;
const defaultCalmMs = 32_000;
/** Longest time until all hosts are ready, ms. */
const readyTimeoutMs = 30_000;
/** Share of the time of trouble after which a lasting trouble begins. */
const lastingFrom = 0.8;
/** Longest pause between two troubles of a lane, ms. */
const maxPauseMs = 1_500;
/** Bounds that the platform states, and the attempts that the queue allows. */
const bounds: RuleBounds = {
    contactMs: 4_000,
    cancelMs: 3_000,
    stopMs: 900,
    maxAttempts: 3,
    graceMs: graceSeconds * 1_000,
    lossSlackMs: 200,
};
const configuration: SiteConfiguration = {
    hostName: siteHostName,
    service: "mat-orders",
    apiKey: siteKey,
    maxAttempts: bounds.maxAttempts,
    queues: [plainQueue, ...advisedQueues],
};
/** Longest waits for a first call that the record lists. */
const listedWaits = 20;
const executorMemoryMb = 32_768;

/** Plays one run. The processes that it starts are ended when it returns or throws. */
export class SoakRun {
    private readonly record = new RunRecord();
    private readonly store = new StoreState();
    private readonly executors: ExecutorFront[] = [];
    private readonly gangs = new Gangs(this.record);
    private readonly advice: AdviceService;
    private readonly closables: { close(): void; }[] = [];
    private hosts: HostProcess[] = [];
    private readonly directory = mkdtempSync(join(tmpdir(), "waxwing-soak-"));
    private endLasting: () => void = () => undefined;

    constructor(private readonly options: SoakOptions) {
        this.advice = new AdviceService({
            seed: options.seed,
            record: this.record,
            listExecutors: () => this.executors.map(front => front.executor),
        });
        this.closables.push(this.advice, this.gangs);
    }

    async run(): Promise<SoakResult> {
        const killAll = () => this.hosts.forEach(host => host.sendSignal("SIGKILL"));
        process.on("exit", killAll);
        try {
            return await this.runAll();
        }
        finally {
            await Promise.all(this.hosts.map(host => host.kill()));
            process.off("exit", killAll);
            this.closables.forEach(closable => closable.close());
            rmSync(this.directory, { recursive: true, force: true });
            if (this.options.outputDirectory !== undefined) {
                this.record.writeTo(join(this.options.outputDirectory, "record.txt"));
            }
        }
    }

    private async runAll(): Promise<SoakResult> {
        const { seed, shape, troubleMs = defaultTroubleMs, calmMs = defaultCalmMs } = this.options;
        const { record } = this;
        const site = await this.createSite();
        const callers = new Callers({
            hosts: site.hosts,
            site: configuration,
            executorCount: shape.executors,
            random: new SeededRandom(seed * 101 + 1),
            record,
            workload: shape.workload,
        });
        this.closables.push(callers);
        const calling = callers.run();
        await wait(2_000);
        const lasting = this.runLastingTrouble(site, shape, troubleMs * lastingFrom);
        await this.runTroubles(site, shape, troubleMs);
        const calmFrom = record.now;
        record.write("calm", {});
        await callers.stop();
        await calling;
        const executors = site.executors.map(front => front.executor);
        const watch = new StandingWatch({
            record,
            executors,
            policy: this.advice,
            maxAttempts: bounds.maxAttempts,
        });
        this.closables.push(watch);
        watch.start(Math.max(0, calmFrom + bounds.contactMs - record.now));
        // At least the time in which a cancelled task must end.
        const leastCalm = wait(bounds.contactMs + 2 * (bounds.cancelMs + bounds.stopMs));
        await callers.askForAll(isOpen, calmFrom + calmMs);
        await leastCalm;
        this.endLasting();
        await lasting;
        const standing = watch.listBreaks();
        const breaks = checkRules({ record, executors, policy: this.advice, standing, bounds, calmFrom });
        const waits = listFirstCallWaits(record);
        waits.slice(0, listedWaits).forEach(row => record.write("first-call-wait", { ...row }));
        const longestPassedOver = waits.reduce<FirstCallWait | undefined>(
            (longest, row) => row.passedOverMs > (longest?.passedOverMs ?? 0) ? row : longest,
            undefined,
        );
        for (const [rule, texts] of Object.entries(breaks)) {
            texts.forEach(text => record.write("BROKEN", { rule, text }));
        }
        const jobs = [...record.jobs.values()];
        return {
            breaks,
            jobs: jobs.length,
            accepted: jobs.filter(job => job.acceptedAt !== undefined).length,
            runs: record.runs.length,
            open: jobs.filter(job => isOpen(job) && job.cancelSentAt === undefined).length,
            longestFirstCall: waits[0],
            longestPassedOver,
            longestStandingMs: watch.longestMs,
            advice: this.advice.totals,
            ticketRefusals: record.ticketRefusals,
            keptCalls: record.keptCalls.length,
        };
    }

    private async runTroubles(site: Site, shape: Shape, ms: number): Promise<void> {
        const isOver = wait(ms);
        const endsAt = this.record.now + ms;
        const waitUntilOver = (duration: number) => Promise.race([wait(duration), isOver]);
        const lanes = Array.from({ length: shape.lanes }, async (_, lane) => {
            const random = new SeededRandom(this.options.seed * 101 + 10 + lane);
            while (this.record.now < endsAt) {
                await pickWeighted(random, shape.troubles).run({ site, random, wait: waitUntilOver });
                await waitUntilOver(random.getFloat() * maxPauseMs);
            }
        });
        await Promise.all(lanes);
    }

    /** Begins a trouble after a delay, and ends it on `endLasting`. */
    private async runLastingTrouble(site: Site, { lasting = [] }: Shape, delayMs: number): Promise<void> {
        if (lasting.length > 0) {
            const random = new SeededRandom(this.options.seed * 101 + 9);
            // The first draw of the generator is close to 1 for all small seeds.
            random.getFloat();
            const isOver = new Promise<void>(resolve => {
                this.endLasting = resolve;
            });
            await wait(delayMs);
            await pickWeighted(random, lasting).run({ site, random, wait: () => isOver });
        }
    }

    private async createSite(): Promise<Site> {
        const { shape, hosts: hostCount = defaultHosts, seed, program, outputDirectory } = this.options;
        const { record, store } = this;
        if (outputDirectory !== undefined) {
            mkdirSync(outputDirectory, { recursive: true });
        }
        store.put(configurationKey, encodeConfiguration(configuration));
        const names = Array.from({ length: hostCount }, (_, index) => ({
            name: `edge-${zones[index % zones.length]}-${index + 1}`,
            zone: zones[index % zones.length]!,
        }));
        const random = new SeededRandom(seed * 101 + 2);
        const cutZones = new Set<string>();
        const { executors } = this;
        const executorAddresses: string[] = [];
        for (let index = 0; index < shape.executors; index++) {
            const zone = zones[index % zones.length]!;
            const address = `127.254.254.${index + 1}:9000`;
            const executor = new Executor({
                id: `i-${zone}-${index + 1}`,
                service: configuration.service,
                zone,
                address,
                cpu: executorCpu,
                memoryMb: executorMemoryMb,
                store,
                record,
                advice: this.advice,
                gangs: this.gangs,
                canRegister: () => !cutZones.has(zone),
            });
            const front = new ExecutorFront(executor, random, record);
            await front.open(names.map(({ name }) => name));
            this.closables.push(front);
            executors.push(front);
            executorAddresses.push(address);
            executor.beginLife();
        }
        const ips: string[] = [];
        const stores: StoreFront[] = [];
        const advisors: AdviceFront[] = [];
        for (const { name } of names) {
            ips.push(await findHostIp());
            stores.push(await StoreFront.open(name, store, random, record));
            advisors.push(await AdviceFront.open(name, this.advice, record));
        }
        this.closables.push(...stores, ...advisors, store);
        const links: PeerLink[] = [];
        const linkIp = await findHostIp();
        for (const [index, { name: to }] of names.entries()) {
            for (const { name: from } of names) {
                if (from !== to) {
                    const link = new PeerLink(from, to, linkIp, { ip: ips[index]!, port: peerPort });
                    await link.open();
                    links.push(link);
                }
            }
        }
        this.closables.push(...links);
        this.hosts = names.map(({ name, zone }, index) => {
            const redirects: [string, string][] = executors.map((
                front,
                number,
            ) => [executorAddresses[number]!, front.getAddress(name)]);
            links.filter(link => link.from === name).forEach(link => {
                const target = names.findIndex(row => row.name === link.to);
                redirects.push([`${ips[target]!}:${peerPort}`, link.address]);
            });
            return new HostProcess({
                name,
                zone,
                ip: ips[index]!,
                program,
                storeAddress: stores[index]!.address,
                adviceAddress: advisors[index]!.address,
                seeds: ips.slice(0, index).map(ip => `${ip}:8180`),
                directory: this.directory,
                logDirectory: outputDirectory,
                redirects: Object.fromEntries(redirects),
                record,
                onListening: isListening =>
                    links.filter(link => link.to === name).forEach(link => void link.setTargetUp(isListening)),
            });
        });
        this.hosts.forEach(host => host.start());
        await waitUntilAllReady(this.hosts);
        return new Site(record, this.hosts, stores, advisors, executors, links, cutZones);
    }
}

function isOpen({ acceptedAt, states }: RecordedJob): boolean {
    return acceptedAt !== undefined && !["succeeded", "failed", "cancelled"].includes(states.at(-1)?.state ?? "");
}

async function waitUntilAllReady(hosts: readonly HostProcess[]): Promise<void> {
    const endsAt = performance.now() + readyTimeoutMs;
    while (!(await Promise.all(hosts.map(host => host.isReady()))).every(isReady => isReady)) {
        if (performance.now() > endsAt) {
            throw new Error("the hosts were not ready in time");
        }
        await wait(100);
    }
}

function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
