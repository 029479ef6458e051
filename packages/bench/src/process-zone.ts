/**
 * A small cluster of real processes on loopback with stand-ins, for the measurements over processes.
 */
import { SystemClock } from "@waxwingroute/core";
import { ProcessWorld } from "@waxwingroute/scenario";
import type { EntryHost } from "@waxwingroute/scenario";
import type { RecordsReport } from "@waxwingroute/stand-ins";
import { mkdtempSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { readProcessUsage } from "./process-usage.js";
import type { ProcessUsage } from "./process-usage.js";

const packages = fileURLToPath(new URL("../..", import.meta.url));
const toMain = (name: string) => join(packages, name, "dist/main.js");

/** Options of `ProcessZone`. */
export interface ProcessZoneOptions {
    /** Default: two hosts in one zone. */
    readonly hosts?: readonly EntryHost[];
    /** Workers of each zone. Default 33. */
    readonly workers?: number;
    /** Executors of each zone. Default 33. */
    readonly executors?: number;
    /** Whether entry processes are started. Default true. */
    readonly hasEntry?: boolean;
    /** Lag of the host list in milliseconds. Default 500. */
    readonly hostListLagMs?: number;
    /** Fields of the settings file, over the defaults. */
    readonly settings?: Readonly<Record<string, unknown>>;
}

/** A team with one queue and one key, all named after it. */
export interface DeclaredTeam {
    readonly team: string;
    readonly secret: string;
}

/** What a program used since its start, with the bytes of its log file apart. */
export interface ProgramUsage extends ProcessUsage {
    readonly sentBytes: number;
}

interface ShardStatus {
    readonly shard: string;
    readonly canPlace: boolean;
}

const defaultHosts: readonly EntryHost[] = [
    { name: "glasgow-1", zone: "glasgow" },
    { name: "glasgow-2", zone: "glasgow" },
];
const pollMs = 20;

/** Starts the programs of a few entry hosts and stops them. */
export class ProcessZone {
    readonly hosts: readonly EntryHost[];
    readonly world: ProcessWorld;
    readonly clock = new SystemClock();
    private readonly directory = mkdtempSync(join(tmpdir(), "waxwing-bench-"));

    constructor(options: ProcessZoneOptions = {}) {
        const { hosts = defaultHosts, workers = 33, executors = 33, hostListLagMs = 500, hasEntry = true } = options;
        this.hosts = hosts;
        const capacity = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 };
        this.world = new ProcessWorld({
            mains: {
                standIn: toMain("stand-ins"),
                scheduler: toMain("scheduler"),
                operator: toMain("operator"),
                ...hasEntry ? { entry: toMain("entry") } : {},
            },
            layout: {
                hostListLagMs,
                zones: [...new Set(hosts.map(host => host.zone))].map(zone => ({
                    zone,
                    workers: { count: workers, capacity },
                    executors: { count: executors },
                })),
            },
            hosts,
            settings: options.settings,
            directory: this.directory,
        });
    }

    /** Starts all programs and waits until each shard has an owner that may place. */
    async open(): Promise<void> {
        await this.world.open();
        (await this.world.startProcess("all")).unwrap();
        await this.awaitTrue("programs ready", 30_000, async () => {
            const state = await this.world.getProcessState("all");
            return state.ok && state.val === "ready";
        });
        await this.awaitTrue("owners", 20_000, async () => {
            const owners = await Promise.all(this.listZones().map(zone => this.findOwner(zone)));
            return owners.every(owner => owner !== undefined);
        });
    }

    async close(): Promise<void> {
        await this.world.close();
        rmSync(this.directory, { recursive: true, force: true });
    }

    /** Returns the host that may place in a zone now. */
    async findOwner(zone: string): Promise<string | undefined> {
        const statuses = await Promise.all(
            this.hosts.filter(host => host.zone === zone).map(async host => {
                const status = await this.fetchStatus(host.name, "scheduler");
                const shards = (status?.["shards"] ?? []) as readonly ShardStatus[];
                return shards.some(shard => shard.canPlace) ? host.name : undefined;
            }),
        );
        return statuses.find(host => host !== undefined);
    }

    /** Reads `/statusz` of a program; `undefined` if it does not answer. */
    async fetchStatus(
        host: string,
        program: "scheduler" | "entry" | "operator",
    ): Promise<Readonly<Record<string, unknown>> | undefined> {
        try {
            const response = await fetch(`${this.world.getUrl(host, `${program}Health`)}/statusz`, {
                signal: AbortSignal.timeout(500),
            });
            return await response.json() as Record<string, unknown>;
        }
        catch {
            return undefined;
        }
    }

    /** Creates a resource and returns the answer. */
    async create(kind: string, name: string, spec: unknown): Promise<Readonly<Record<string, unknown>>> {
        const [host] = this.hosts;
        const url = `${this.world.getUrl(host?.name ?? "", "operator")}/v1/${kind.toLowerCase()}s`;
        const response = await fetch(url, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ kind, name, spec }),
        });
        const content = await response.json() as Record<string, unknown>;
        if (!response.ok) {
            throw new Error(`${kind} "${name}" was not created: ${JSON.stringify(content)}`);
        }
        return content;
    }

    /** Declares teams `team-<n>`, each with a queue and a key of its own, and waits until the last is in force. */
    async createTeams(count: number, slots = 1_000, maximumWaiting = 1_000): Promise<readonly DeclaredTeam[]> {
        const teams: DeclaredTeam[] = [];
        for (let index = 0; index < count; index++) {
            const team = `team-${index}`;
            const limit = { cpuMillis: 1_000_000, memoryMb: 2_000_000, accelerators: 0, slots };
            await this.create("Team", team, { weight: 1, limit });
            await this.create("Queue", team, { access: "team", team, maximumWaiting });
            const key = await this.create("Key", team, { team });
            teams.push({ team, secret: String(key["secret"]) });
        }
        await this.awaitRevisions();
        return teams;
    }

    /** Waits until every program shows the same revision of the configuration. */
    async awaitRevisions(): Promise<void> {
        await this.awaitTrue("one revision everywhere", 20_000, async () => {
            const statuses = await Promise.all(
                this.hosts.flatMap(({ name }) =>
                    (["scheduler", "entry", "operator"] as const).map(program => this.fetchStatus(name, program))
                ),
            );
            const revisions = statuses.flatMap(status =>
                status === undefined || status["revision"] === undefined ? [] : [Number(status["revision"])]
            );
            return revisions.length > 0 && revisions.every(revision => revision === Math.max(...revisions));
        });
    }

    async readRecords(): Promise<RecordsReport> {
        return (await this.world.observe()).unwrap().report;
    }

    /** Reads the records without the lists of runs. */
    async readCounts(): Promise<RecordsReport> {
        return await (await fetch(`${this.world.addresses.control}/records?runs=false`)).json() as RecordsReport;
    }

    /** Reads the counters of each running program, by name. */
    readUsage(): ReadonlyMap<string, ProgramUsage> {
        return new Map([...this.world.listProcessIds()].map(([name, processId]) => {
            const usage = readProcessUsage(processId);
            const logBytes = statSync(join(this.directory, `${name.replace("/", "-")}.log`)).size;
            return [name, { ...usage, sentBytes: usage.writtenBytes - logBytes }];
        }));
    }

    /** Polls until `check` holds; throws after `boundMs`. Returns the time waited in milliseconds. */
    async awaitTrue(what: string, boundMs: number, check: () => Promise<boolean>): Promise<number> {
        const startedAt = this.clock.getNow();
        while (!await check()) {
            if (this.clock.getNow() - startedAt > boundMs) {
                throw new Error(`${what}: not reached within ${boundMs} ms`);
            }
            await this.clock.wait(pollMs);
        }
        return this.clock.getNow() - startedAt;
    }

    private listZones(): readonly string[] {
        return [...new Set(this.hosts.map(host => host.zone))];
    }
}
