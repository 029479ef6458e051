#!/usr/bin/env node
/**
 * The program `waxwing-demo`: starts a layout on stand-ins, submits all four kinds of work through the command line and
 * HTTP, kills an entry process meanwhile, and prints whether each expectation was met.
 */
import { defineCommand, runMain } from "citty";
import { spawn } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { LocalCluster } from "./local-cluster.js";

const root = join(dirname(fileURLToPath(import.meta.url)), "../../..");

interface CommandResult {
    readonly status: number;
    readonly output: string;
}

/** Runs the steps of the demo on a cluster and collects the expectations that were not met. */
class Demo {
    private readonly failures: string[] = [];

    constructor(private readonly cluster: LocalCluster) {}

    async run(): Promise<readonly string[]> {
        const { cluster } = this;
        this.print(`starting ${cluster.processCount} processes`);
        await cluster.start();
        await cluster.awaitOwners(15_000);
        await this.expectSuccess("operators declare teams and queues", [
            "apply",
            join(root, "packages/demo/work/resources.json"),
        ]);
        const { secret } = await this.createKey("quotes");
        const { secret: dispatchSecret, version } = await this.createKey("dispatch");
        await this.awaitRevisionInForce(version);
        await this.awaitKeyInForce(secret);
        await this.submitJobs("quotes", secret);
        await this.submitJobs("dispatch", dispatchSecret);
        await this.expectSuccess("a request on an open queue needs no key", [
            "request",
            "pickups",
            "--body",
            "{\"pickup\":7}",
        ]);
        await this.awaitJob("nightly-quotes", "succeeded");
        await this.awaitJob("dispatch-service", "running");
        await this.awaitJob("wash-batch", "succeeded");
        await this.checkGang();
        await this.killEntry(secret);
        await this.withdrawKey(secret);
        await this.expectSuccess("which revision is in force where", ["config", "where"]);
        await this.checkRecords();
        return this.failures;
    }

    /** Prints whether an expectation is met, and records it as a failure if not. */
    check(isMet: boolean, expectation: string): void {
        this.print(`${isMet ? "ok  " : "FAIL"} ${expectation}`);
        if (!isMet) {
            this.failures.push(expectation);
        }
    }

    private async createKey(team: string): Promise<{ readonly secret: string; readonly version: number; }> {
        const created = await this.runCommand(["key", "create", `${team}-key`, "--team", team, "--output", "json"]);
        this.check(created.status === 0, `a key for team "${team}" is created`);
        return JSON.parse(created.output) as { secret: string; version: number; };
    }

    /** Waits until a configuration revision is in force on every host, which takes seconds on a busy machine. */
    private async awaitRevisionInForce(revision: number): Promise<void> {
        const startedAt = performance.now();
        let isInForce = false;
        while (!isInForce && performance.now() - startedAt < 10_000) {
            const result = await this.runCommand(["config", "where", "--output", "json"]);
            const { items } = JSON.parse(result.output) as { items: { revision: number; }[]; };
            isInForce = items.length > 0 && items.every(item => item.revision >= revision);
            await wait(isInForce ? 0 : 200);
        }
        this.check(isInForce, `revision ${revision} is in force on every host`);
    }

    private submitJobs(team: string, secret: string): Promise<void> {
        const file = join(root, `packages/demo/work/${team}-jobs.json`);
        return this.expectSuccess(`the jobs of team "${team}" are accepted`, ["apply", file, "--key", secret]);
    }

    /** Repeats a request until it is served: a new key takes seconds to be in force on every host. */
    private async awaitKeyInForce(secret: string): Promise<void> {
        const startedAt = performance.now();
        let result = await this.sendRequest(secret);
        while (result.status !== 0 && performance.now() - startedAt < 10_000) {
            await wait(200);
            result = await this.sendRequest(secret);
        }
        this.check(result.status === 0, "a request with the key is served");
        this.print(formatIndented(result.output));
    }

    private sendRequest(secret: string, entryUrls = this.listEntryUrls()): Promise<CommandResult> {
        return this.runCommand([
            "request",
            "orders",
            "--key",
            secret,
            "--body",
            "{\"order\":42}",
            "--entry",
            entryUrls.join(","),
        ]);
    }

    private async awaitJob(name: string, state: string): Promise<void> {
        const startedAt = performance.now();
        let output = "";
        while (performance.now() - startedAt < 20_000) {
            const result = await this.runCommand(["get", "job", name, "--output", "json"]);
            output = result.output;
            if (result.status === 0 && output.includes(`"${state}"`)) {
                break;
            }
            await wait(200);
        }
        this.check(output.includes(`"${state}"`), `job "${name}" is ${state}`);
    }

    private async checkGang(): Promise<void> {
        const { taskRuns } = await this.cluster.readRecords() as { taskRuns: { task: string; startedAt: number; }[]; };
        const starts = taskRuns.filter(run => run.task.includes("wash-batch/")).map(run => run.startedAt);
        const spreadMs = Math.round(Math.max(...starts) - Math.min(...starts));
        this.check(
            starts.length === 4 && spreadMs < 1_000,
            `all 4 tasks of the all-at-once job started within ${spreadMs} ms`,
        );
    }

    private async killEntry(secret: string): Promise<void> {
        const [target, ...others] = this.cluster.hosts;
        if (target === undefined) {
            return;
        }
        this.cluster.kill(`entry/${target.host}`);
        this.print(`killed entry/${target.host}`);
        const otherUrls = others.map(location => this.cluster.getUrl(location, "entry"));
        const results = await Promise.all(otherUrls.map(url => this.sendRequest(secret, [url])));
        this.check(
            results.every(result => result.status === 0),
            `the other ${otherUrls.length} entry processes go on serving`,
        );
    }

    private async withdrawKey(secret: string): Promise<void> {
        await this.expectSuccess("the key is withdrawn", ["key", "withdraw", "quotes-key"]);
        const startedAt = performance.now();
        let result = await this.sendRequest(secret);
        while (result.status === 0 && performance.now() - startedAt < 10_000) {
            await wait(100);
            result = await this.sendRequest(secret);
        }
        const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
        this.check(result.status === 1, `a request with the withdrawn key is refused (after ${seconds} s)`);
        this.print(formatIndented(result.output));
    }

    private async checkRecords(): Promise<void> {
        const records = await this.cluster.readRecords();
        for (const name of ["overcommits", "tasksInTwoPlaces", "repeatedRequests", "overloads"]) {
            const found = records[name] as unknown[];
            this.check(found.length === 0, `the stand-ins recorded no ${name}`);
        }
    }

    private async expectSuccess(expectation: string, args: readonly string[]): Promise<void> {
        const result = await this.runCommand(args);
        this.check(result.status === 0, expectation);
        this.print(formatIndented(result.output));
    }

    private listEntryUrls(): readonly string[] {
        return this.cluster.hosts.map(location => this.cluster.getUrl(location, "entry"));
    }

    private runCommand(args: readonly string[]): Promise<CommandResult> {
        const env = {
            ...process.env,
            NO_COLOR: "1",
            WAXWING_SERVER: this.cluster.hosts.map(location => this.cluster.getUrl(location, "operator")).join(","),
            WAXWING_ENTRY: this.listEntryUrls().join(","),
        };
        return new Promise(resolve => {
            const child = spawn(process.execPath, [join(root, "packages/cli/dist/main.js"), ...args], { env });
            const chunks: Buffer[] = [];
            child.stdout.on("data", (chunk: Buffer) => chunks.push(chunk));
            child.stderr.on("data", (chunk: Buffer) => chunks.push(chunk));
            child.on(
                "close",
                code => resolve({ status: code ?? -1, output: Buffer.concat(chunks).toString("utf8").trim() }),
            );
        });
    }

    private print(text: string): void {
        process.stdout.write(`${text}\n`);
    }
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

function formatIndented(text: string): string {
    return text.split("\n").map(line => `       ${line}`).join("\n");
}

async function runDemo(layout: string): Promise<number> {
    const directory = mkdtempSync(join(tmpdir(), "waxwing-demo-"));
    const cluster = new LocalCluster({ root, layout, directory });
    const demo = new Demo(cluster);
    let failures: readonly string[];
    try {
        failures = await demo.run();
    }
    catch (error) {
        failures = [String(error)];
        process.stdout.write(`FAIL ${String(error)}\n`);
    }
    const stopErrors = await cluster.stop();
    demo.check(
        stopErrors.length === 0,
        `every process stopped gracefully${stopErrors.map(message => `; ${message}`).join("")}`,
    );
    process.stdout.write(`logs: ${directory}\n`);
    return failures.length === 0 && stopErrors.length === 0 ? 0 : 1;
}

void runMain(defineCommand({
    meta: { name: "waxwing-demo", description: "Starts a layout on stand-ins and shows it at work." },
    args: { layout: { type: "string", default: "laptop", description: "name of a layout below layouts/" } },
    run: async ({ args }) => {
        process.exit(await runDemo(args.layout));
    },
}));
