/**
 * Runs the stand-ins and the programs of a layout as local processes. Development tooling: the programs themselves
 * start no processes.
 */
import { SystemClock } from "@waxwingroute/core";
import { ChildProgram } from "@waxwingroute/scenario";
import { listHosts, loadSettings } from "@waxwingroute/settings";
import type { HostLocation, Settings } from "@waxwingroute/settings";
import { readFileSync } from "node:fs";
import { join } from "node:path";

const programNames = ["scheduler", "operator", "entry"] as const;

type ProgramName = typeof programNames[number];

/** Layout of a `LocalCluster` and the directory of its logs. */
export interface LocalClusterOptions {
    /** Root of the workspace. */
    readonly root: string;
    /** Name of a layout below `layouts/`. */
    readonly layout: string;
    /** Directory for the log files. */
    readonly directory: string;
}

/** Starts and stops the processes of a layout. */
export class LocalCluster {
    readonly settings: Settings;
    readonly hosts: readonly HostLocation[];
    private readonly clock = new SystemClock();
    private readonly programs = new Map<string, ChildProgram>();
    private readonly standInProgram: ChildProgram;
    private readonly controlPort: number;

    constructor(private readonly options: LocalClusterOptions) {
        const { root, layout, directory } = options;
        const settingsFile = join(root, "layouts", `${layout}.json`);
        const standInFile = join(root, "layouts", `${layout}-stand-ins.json`);
        const loaded = loadSettings(settingsFile);
        if (loaded.err) {
            throw new Error(loaded.val.message);
        }
        this.settings = loaded.val;
        this.hosts = listHosts(loaded.val);
        const standInConfig = JSON.parse(readFileSync(standInFile, "utf8")) as {
            readonly ports: { readonly control: number; };
        };
        this.controlPort = standInConfig.ports.control;
        this.standInProgram = new ChildProgram({
            name: "stand-in",
            main: join(root, "packages/stand-ins/dist/main.js"),
            args: ["--config", standInFile],
            logFile: join(directory, "stand-in.log"),
        });
        for (const { host } of this.hosts) {
            for (const program of programNames) {
                const name = `${program}/${host}`;
                this.programs.set(
                    name,
                    new ChildProgram({
                        name,
                        main: join(root, `packages/${program}/dist/main.js`),
                        args: ["--settings", settingsFile, "--host", host],
                        logFile: join(directory, `${program}-${host}.log`),
                    }),
                );
            }
        }
    }

    /** Number of processes, including the one of the stand-ins. */
    get processCount(): number {
        return this.programs.size + 1;
    }

    /** Starts the stand-ins, then all programs, and waits until each program is ready. */
    async start(): Promise<void> {
        this.standInProgram.start().unwrap();
        await this.awaitReady(`http://127.0.0.1:${this.controlPort}/records?runs=false`, 10_000);
        this.programs.forEach(program => program.start().unwrap());
        await Promise.all(
            this.hosts.flatMap(location =>
                programNames.map(program =>
                    this.awaitReady(`${this.getUrl(location, `${program}Health`)}/readyz`, 20_000)
                )
            ),
        );
    }

    /** Waits until each shard has an owner that may place. */
    async awaitOwners(timeoutMs: number): Promise<void> {
        const deadline = this.clock.getNow() + timeoutMs;
        while (this.clock.getNow() < deadline) {
            const statuses = await Promise.all(
                this.hosts.map(location => this.fetchJson(`${this.getUrl(location, "schedulerHealth")}/statusz`)),
            );
            const shards = statuses.flatMap(status =>
                (status as { shards?: { shard: string; canPlace: boolean; }[]; }).shards ?? []
            );
            const owned = new Set(shards.filter(shard => shard.canPlace).map(shard => shard.shard));
            if (owned.size > 0 && shards.every(shard => owned.has(shard.shard))) {
                return;
            }
            await this.clock.wait(100);
        }
        throw new Error(`not every shard has an owner that may place after ${timeoutMs} ms`);
    }

    /** Returns the base URL of a program's port. */
    getUrl(location: HostLocation, port: ProgramName | `${ProgramName}Health`): string {
        return `http://${location.settings.address}:${location.settings.ports[port]}`;
    }

    /** Kills a program without a graceful stop, as a crash does. */
    kill(name: string): void {
        void this.programs.get(name)?.kill();
    }

    /** Stops every running program gracefully. Returns a message for each one that did not exit with status 0. */
    async stop(): Promise<readonly string[]> {
        const running = [...this.programs.values()].filter(program => program.isRunning);
        const results = await Promise.all(running.map(program => program.stop()));
        const standInResults = this.standInProgram.isRunning ? [await this.standInProgram.stop()] : [];
        return [...results, ...standInResults].flatMap(result => result.err ? [result.val.message] : []);
    }

    /** Fetches the records of the stand-ins. */
    async readRecords(): Promise<Record<string, unknown>> {
        return await this.fetchJson(`http://127.0.0.1:${this.controlPort}/records`) as Record<string, unknown>;
    }

    private async awaitReady(url: string, timeoutMs: number): Promise<void> {
        const deadline = this.clock.getNow() + timeoutMs;
        while (this.clock.getNow() < deadline) {
            const isReady = await fetch(url).then(response => response.ok, () => false);
            if (isReady) {
                return;
            }
            await this.clock.wait(100);
        }
        throw new Error(`${url} is not ready after ${timeoutMs} ms; logs are in ${this.options.directory}`);
    }

    private async fetchJson(url: string): Promise<unknown> {
        return await (await fetch(url)).json();
    }
}
