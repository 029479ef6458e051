// A small deployment for the scripts of this review: the program of the deploy file as separate processes, the stand-ins
// of the store and the executors, and a client. Everything listens on loopback addresses.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, request as createRequest } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.js";

const repository = fileURLToPath(new URL("../..", import.meta.url));
const executorProgram = fileURLToPath(new URL("./executor.js", import.meta.url));
const entryExpiryMs = 4_500;

export const hasTrouble = process.env.TROUBLE !== "0";
export const queueHost = "queue.example";

/** The key of the only tenant. */
export const key = "key-of-team-a";

/** A configuration with one queue, for the executors of the service `work`, and one tenant without a limit. */
export const configuration = {
    version: 1,
    routes: [{
        name: "queue",
        host: queueHost,
        prefix: "/queue/",
        kind: "non_idempotent",
        timeout_ms: 3_000,
        target_latency_ms: 1_200,
        priority: 1,
        service: "work",
        max_attempts: 2,
        stretch_factor: 2,
        public: false,
    }],
    services: [{ name: "work", health_path: "/healthz", max_conns: 64, rejects_overload: false, standby: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: "team-a", api_keys: [key], priority: 1, weight: 20, cap: { cpu: 0, mem_mb: 0, gpu: 0 } }],
};

export function wait(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function findPort(ip) {
    return new Promise((resolve, reject) => {
        const server = createNetServer();
        server.once("error", reject);
        server.listen(0, ip, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

/** Fills in `platform/settings.template` as DEPLOY.md says, for the placeholders that it has. */
function renderSettings(fields) {
    const template = readFileSync(join(repository, "platform/settings.template"), "utf8");
    return template.replace(/\{\{([a-z_.0-9]+)\|json\}\}/g, (_match, path) => {
        const value = path.split(".").reduce((node, key) => node?.[key], fields);
        return JSON.stringify(value ?? null);
    });
}

function send(agent, address, method, path, headers, content, timeoutMs) {
    const [host, port] = address.split(":");
    const body = content === undefined ? undefined : JSON.stringify(content);
    return new Promise(resolve => {
        const call = createRequest({
            agent,
            host,
            port,
            method,
            path,
            headers: {
                ...headers,
                ...body === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
            },
        });
        const timer = setTimeout(() => call.destroy(new Error("timeout")), timeoutMs);
        call.on("error", error => {
            clearTimeout(timer);
            resolve({ status: 0, error: error.message });
        });
        call.on("response", async response => {
            const chunks = [];
            try {
                for await (const chunk of response) {
                    chunks.push(chunk);
                }
            }
            catch {
                // The call counts as unanswered.
                resolve({ status: 0, error: "cut" });
                return;
            }
            clearTimeout(timer);
            const text = Buffer.concat(chunks).toString("utf8");
            resolve({ status: response.statusCode, content: text === "" ? undefined : JSON.parse(text) });
        });
        call.end(body);
    });
}

/** One deployment, from `open` to `close`. */
export class Deployment {
    store = new Store();
    hosts = new Map();
    executors = new Map();
    events = [];
    lines = [];
    startedAt = performance.now();
    agent = new Agent({ keepAlive: true });

    constructor(folder) {
        this.folder = folder;
        this.directory = mkdtempSync(join(tmpdir(), "waxwing-review-"));
    }

    note(kind, fields = {}) {
        const atMs = Math.round(performance.now() - this.startedAt);
        this.events.push({ atMs, kind, ...fields });
        this.lines.push(`${(atMs / 1_000).toFixed(3)} ${kind} ${JSON.stringify(fields)}`);
    }

    async open({ hosts, configuration }) {
        const pick = () => 1 + Math.floor(Math.random() * 250);
        this.block = `127.${pick()}.${pick()}`;
        await this.store.listen(`${this.block}.1`);
        this.control = createServer((request, response) => this.receive(request, response));
        await new Promise(resolve => this.control.listen(0, `${this.block}.1`, resolve));
        this.store.put("op/config", configuration);
        const peerPort = await findPort(`${this.block}.2`);
        const ports = { frontend: await findPort(`${this.block}.2`), readiness: await findPort(`${this.block}.2`) };
        const ips = Array.from({ length: hosts }, (_, index) => `${this.block}.${index + 2}`);
        ips.forEach((ip, index) => this.prepareHost(`edge-${index + 1}`, ip, peerPort, ports, ips));
        this.hosts.forEach(host => this.startHost(host.name));
    }

    prepareHost(name, ip, peerPort, ports, ips) {
        const file = join(this.directory, `${name}.json`);
        const frontend = `${ip}:${ports.frontend}`;
        const readiness = `${ip}:${ports.readiness}`;
        writeFileSync(
            file,
            renderSettings({
                node_name: name,
                zone: "zone-a",
                ip,
                port_range: [peerPort, peerPort + 15],
                listen_addrs: { frontend, readiness },
                seeds: ips.slice(0, 3).map(seed => `${seed}:${peerPort}`),
                platform: { address: this.store.address, ttl_min_ms: 1_000 },
                cloud_api: { duties: [] },
                limits: { cpu_shares: 0.675, cores: 1, memory_mb: 350, max_fds: 4_200 },
                bounds: {
                    lease_ms: 3_000,
                    hold_max_ms: 6_000,
                    stop_ms: 900,
                    status_s: 120,
                    grace_s: 6,
                    addr_reuse_s: 2,
                },
            }),
        );
        this.hosts.set(name, { name, file, frontend, readiness, child: undefined });
    }

    startHost(name) {
        const host = this.hosts.get(name);
        // The words of `run` in deploy/system.toml, with its placeholder filled in.
        host.child = spawn("node", ["--max-heap-size=350", "target/waxwing-node.cjs"], {
            cwd: repository,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, WAXWINGROUTE_NODE_FILE: host.file },
            stdio: ["ignore", process.env.HOST_LOG === undefined ? "ignore" : "inherit", "inherit"],
        });
        this.note("host-start", { host: name, pid: host.child.pid });
        host.child.on("exit", (code, signal) => this.note("host-end", { host: name, code, signal }));
    }

    async waitUntilReady(timeoutMs = 15_000) {
        const endsAt = performance.now() + timeoutMs;
        for (const host of this.hosts.values()) {
            for (;;) {
                const answer = await send(
                    this.agent,
                    host.readiness,
                    "GET",
                    "/waxwingroute/readyz",
                    {},
                    undefined,
                    1_000,
                );
                if (answer.status === 200) {
                    break;
                }
                if (performance.now() > endsAt) {
                    throw new Error(`${host.name} is not ready`);
                }
                await wait(100);
            }
        }
    }

    async receive(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        response.end();
        const event = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const executor = this.executors.get(event.executor);
        if (event.kind === "entry") {
            // What a life has sent before its crash may arrive after it.
            if (executor?.child !== undefined && executor.settings.id === event.executor) {
                executor.heardAt = performance.now();
                this.store.put(`servers/${event.executor}`, event.entry);
                if (event.entry.sequence === 1) {
                    this.note("registered", { executor: event.executor, labels: event.entry.labels, born: event.born });
                }
            }
            return;
        }
        const { kind, ...fields } = event;
        this.note(kind, { ...fields, labels: executor?.settings.labels });
    }

    /** Lets the store be `up`, `busy` or `silent`. */
    setStoreMode(mode) {
        this.store.mode = mode;
        this.note("store", { mode });
    }

    /** Freezes or wakes the process of a host. */
    signalHost(name, signal) {
        this.hosts.get(name).child.kill(signal);
        this.note("signal", { host: name, signal });
    }

    /** Adds an executor, or starts it again, also with another id or of another kind, at the address that it had. */
    async startExecutor(name, settings) {
        const ip = `${this.block}.1`;
        const address = this.executors.get(name)?.settings.address ?? `${ip}:${await findPort(ip)}`;
        const full = {
            id: name,
            service: "work",
            zone: "zone-a",
            address,
            control: `${ip}:${this.control.address().port}`,
            ...settings,
        };
        const child = spawn("node", [executorProgram, JSON.stringify(full)], {
            stdio: ["ignore", "ignore", "inherit"],
        });
        this.executors.set(name, { settings: full, child, heardAt: performance.now() });
        if (full.id !== name) {
            this.executors.set(full.id, this.executors.get(name));
        }
        this.note("executor-start", { executor: full.id, labels: full.labels, capacity: full.capacity });
    }

    /** Crashes an executor. Its entry stays until it is started again, or for three heartbeat intervals. */
    crashExecutor(name) {
        const executor = this.executors.get(name);
        const { id } = executor.settings;
        executor.child.kill("SIGKILL");
        executor.child = undefined;
        this.note("executor-crash", { executor: id });
        setTimeout(() => {
            const successor = this.executors.get(id);
            const isBack = successor?.child !== undefined && successor.settings.id === id;
            if (!isBack && this.store.mode === "up") {
                this.store.remove(`servers/${id}`);
                this.note("entry-removed", { executor: id });
            }
        }, entryExpiryMs).unref();
    }

    /** Sends a client's call to one host. The client leaves after `timeoutMs`. Status 0: no answer. */
    async callHost(name, method, path, content, key, timeoutMs = 3_000) {
        const headers = { host: queueHost, "api-key": key, "x-deadline-ms": "3000" };
        this.note("call", { method, path, host: name });
        const answer = await send(this.agent, this.hosts.get(name).frontend, method, path, headers, content, timeoutMs);
        const { status, error } = answer;
        this.note("answer", { method, path, host: name, status, content: answer.content ?? error });
        return answer;
    }

    /** Sends a client's call to one of the hosts, in turn, and repeats it as the pages say of clients. */
    async call(method, path, content, key) {
        const names = [...this.hosts.keys()];
        for (let attempt = 0; attempt < 8; attempt++) {
            this.turn = (this.turn ?? 0) + 1;
            const answer = await this.callHost(names[this.turn % names.length], method, path, content, key);
            if (![0, 429, 502, 503, 504].includes(answer.status)) {
                return answer;
            }
            await wait(300);
        }
        return { status: 0 };
    }

    close() {
        this.isClosed = true;
        for (const { child } of [...this.hosts.values(), ...this.executors.values()]) {
            child?.kill("SIGKILL");
        }
        this.store.close();
        this.control?.close();
        this.control?.closeAllConnections();
        this.agent.destroy();
        rmSync(this.directory, { recursive: true, force: true });
        writeFileSync(join(this.folder, "record.txt"), `${this.lines.join("\n")}\n`);
    }
}

/** Runs a case: exit status 1 if `play` returns a message about the broken rule, 0 if the rule held, 2 after an error. */
export async function runCase(folder, play) {
    const deployment = new Deployment(folder);
    let status = 2;
    const limit = setTimeout(() => {
        deployment.note("error", { message: "the case took too long" });
        deployment.close();
        process.exit(2);
    }, 115_000);
    try {
        const broken = await play(deployment);
        status = broken === undefined ? 0 : 1;
        deployment.note("result", { status, trouble: hasTrouble, broken });
        console.log(broken ?? "the rule held");
    }
    catch (error) {
        deployment.note("error", { message: String(error?.stack ?? error) });
        console.error(error);
    }
    clearTimeout(limit);
    deployment.close();
    process.exit(status);
}
