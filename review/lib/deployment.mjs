/** Starts the program of a host with the command of the deploy file and settings of a small deployment. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { send } from "./http.mjs";

const root = fileURLToPath(new URL("../..", import.meta.url));
const memoryMb = 350;

/** Writes what was sent, answered and run, with the seconds since the test began. */
export class Record {
    #lines = [];
    #startedAt = performance.now();

    constructor(file) {
        this.file = file;
    }

    /** Milliseconds since the test began. */
    get now() {
        return performance.now() - this.#startedAt;
    }

    write(event, fields = {}) {
        const values = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        this.#lines.push(`${(this.now / 1_000).toFixed(3).padStart(8)} ${event} ${values.join(" ")}`.trimEnd());
    }

    save() {
        writeFileSync(this.file, `${this.#lines.join("\n")}\n`);
    }
}

/** Returns a random loopback address of the block that the test uses, and checks that the port of the metrics is free. */
async function findHostAddress() {
    for (;;) {
        const pick = () => 1 + Math.floor(Math.random() * 254);
        const ip = `127.${pick()}.${pick()}.${pick()}`;
        if (await isFree(ip, 9_464)) {
            return ip;
        }
    }
}

function isFree(ip, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, ip, () => server.close(() => resolve(true)));
    });
}

/** The processes of a test. All are ended, by id, at `close`. */
export class Deployment {
    #directory = mkdtempSync(join(tmpdir(), "waxwing-review-"));
    #hosts = [];

    constructor(record) {
        this.record = record;
    }

    /** Prepares a host; `start` starts its process. Later starts use the same addresses. */
    async addHost({ name, zone, storeAddress, advisorAddress, seeds, isRestarted = false }) {
        const ip = await findHostAddress();
        const host = { name, zone, ip, callers: `${ip}:8183`, readiness: `${ip}:8184`, exits: [], isRestarted, isWanted: false };
        const fields = {
            node_name: name,
            zone,
            ip,
            port_range: [7_420, 7_435],
            listen_addrs: { frontend: host.callers, readiness: host.readiness, control_plane: `${ip}:8180` },
            seeds: seeds ?? [`${ip}:8180`],
            platform: { address: storeAddress, ttl_min_ms: 1_000 },
            advice: advisorAddress,
            cloud_api: { address: storeAddress, duties: [] },
            limits: { cpu_shares: 0.675, cores: 1, memory_mb: memoryMb },
            bounds: { lease_ms: 3_000, hold_max_ms: 6_000, stop_ms: 900, status_s: 120, grace_s: 6 },
        };
        host.settingsFile = join(this.#directory, `${name}.json`);
        writeFileSync(host.settingsFile, renderTemplate(readFileSync(join(root, "platform/settings.template"), "utf8"), fields));
        this.#hosts.push(host);
        return host;
    }

    start(host) {
        host.isWanted = true;
        this.record.write("host-start", { host: host.name });
        const child = spawn("node", [`--max-old-space-size=${memoryMb}`, "target/waxwing-node.cjs"], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C.UTF-8", WAXWINGROUTE_NODE_FILE: host.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        host.child = child;
        host.log = "";
        const keep = chunk => {
            host.log = (host.log + chunk).slice(-200_000);
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => {
            this.record.write("host-exit", { host: host.name, code, signal, byItself: host.isWanted });
            host.exits.push({ at: this.record.now, code, signal, byItself: host.isWanted });
            if (host.isWanted && host.isRestarted) {
                // The platform starts a process again after a short delay.
                host.restartTimer = setTimeout(() => this.start(host), 500);
            }
        });
        return host;
    }

    /** Ends a process with SIGKILL and waits until it is gone. */
    async kill(host) {
        host.isWanted = false;
        clearTimeout(host.restartTimer);
        const { child } = host;
        if (child !== undefined && child.exitCode === null && child.signalCode === null) {
            const gone = new Promise(resolve => child.once("exit", resolve));
            this.record.write("host-kill", { host: host.name });
            child.kill("SIGKILL");
            await gone;
        }
    }

    /** Sends SIGKILL to all processes without waiting. */
    killAll() {
        for (const { child } of this.#hosts) {
            if (child !== undefined && child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
            }
        }
    }

    async close() {
        await Promise.all(this.#hosts.map(host => this.kill(host)));
        rmSync(this.#directory, { recursive: true, force: true });
    }
}

/** Fills in the placeholders that the template uses: `{{name|json}}` with names separated by points. */
function renderTemplate(text, fields) {
    return text.replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => {
        const value = path.split(".").reduce((parent, name) => parent?.[name], fields);
        return value === undefined ? "null" : JSON.stringify(value);
    });
}

export function wait(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until `condition` holds; throws after `timeoutMs`, so that the case could not run. */
export async function waitFor(what, condition, timeoutMs = 15_000) {
    const endsAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            throw new Error(`timed out: ${what}`);
        }
        await wait(50);
    }
}

export async function waitUntilReady(host) {
    await waitFor(`${host.name} is ready`, async () =>
        (await send(host.readiness, "GET", "/waxwingroute/readyz", { timeoutMs: 500 })).status === 200);
}

/** A caller. It repeats a call without an answer, as the pages allow. */
export class Caller {
    constructor(record, { hostName, key }) {
        Object.assign(this, { record, hostName, key });
    }

    async call(host, method, path, content) {
        const headers = { host: this.hostName, "api-key": this.key, "x-deadline-ms": "3000" };
        this.record.write("call", { host: host.name, method, path });
        const answer = await send(host.callers, method, path, { headers, content, timeoutMs: 3_000 });
        this.record.write("answer", { host: host.name, method, path, status: answer.status, ...answer.content });
        return answer;
    }

    /** Submits a job until it is accepted. */
    async submit(host, path, job) {
        await waitFor(`job ${path} is accepted`, async () => (await this.call(host, "POST", path, job)).status === 200);
    }
}

/** Runs a test: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(directory, play) {
    const record = new Record(join(directory, "record.txt"));
    const deployment = new Deployment(record);
    const stack = [];
    const hasTrouble = process.env.TROUBLE !== "0";
    record.write("case", { trouble: hasTrouble });
    let status = 2;
    const deadline = setTimeout(() => {
        record.write("verdict", { reason: "the case took longer than 110 s" });
        void finish(2);
    }, 110_000);
    let hasFinished = false;
    // Ends the processes also if the test itself is ended.
    process.on("exit", () => deployment.killAll());
    ["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => process.exit(2)));
    async function finish(code) {
        if (hasFinished) {
            return;
        }
        hasFinished = true;
        clearTimeout(deadline);
        await deployment.close();
        stack.reverse().forEach(closable => closable.close());
        record.save();
        process.exit(code);
    }
    try {
        const broken = await play({ record, deployment, hasTrouble, use: closable => (stack.push(closable), closable) });
        broken.forEach(text => record.write("BROKEN", { text }));
        status = broken.length > 0 ? 1 : 0;
        process.stdout.write(`${broken.length === 0 ? "rule held" : `rule broken: ${broken.length} times; first: ${broken[0]}`}\n`);
    }
    catch (error) {
        record.write("error", { error: String(error.stack ?? error) });
        process.stdout.write(`could not run: ${String(error)}\n`);
    }
    record.write("verdict", { status });
    await finish(status);
}
