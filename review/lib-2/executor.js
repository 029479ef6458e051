// Stand-in of an executor, by PROTOCOL.md, "Running tasks" and "Service discovery". One process is one life of it.
//
// The settings are JSON in the first argument: id, address, service, zone, labels, capacity, and `control`, the address
// of the test, which puts the entry into the store and writes down what the executor begins and ends. The spec of a job
// is JSON: `ms` is the time of a task; `forever` lets it run until it is stopped.
import { createServer, request as createRequest } from "node:http";

const settings = JSON.parse(process.argv[2]);
const bornAt = Date.now();
const startedAt = performance.now();
const maxLeaseMs = 6_000;
const stopMs = 50;
const heartbeatMs = 1_500;
const runs = new Map();
const highestEnded = new Map();
const waiters = new Set();
let ends = [];
let nextEnd = 1;
let token = 0;
let leaseEndsAt = 0;
let sequence = 0;

function getClock() {
    return Math.floor(performance.now() - startedAt);
}

function tell(kind, fields) {
    const body = JSON.stringify({ kind, executor: settings.id, born: bornAt, ...fields });
    const [host, port] = settings.control.split(":");
    const call = createRequest({
        host,
        port,
        method: "POST",
        path: "/",
        headers: { "content-length": Buffer.byteLength(body) },
    });
    call.on("error", () => undefined);
    call.on("response", response => response.resume());
    call.end(body);
}

function register() {
    sequence += 1;
    const { service, address, zone, capacity, labels } = settings;
    tell("entry", {
        entry: {
            service,
            address,
            zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity,
            labels,
            clock_ms: getClock(),
            born: bornAt,
            sequence,
        },
    });
}

function endRun(key, how) {
    const run = runs.get(key);
    if (run === undefined) {
        return;
    }
    clearTimeout(run.timer);
    runs.delete(key);
    highestEnded.set(run.task, Math.max(highestEnded.get(run.task) ?? 0, run.run));
    ends.push([nextEnd, run.task, run.run, how, ""]);
    nextEnd += 1;
    tell("end", { task: run.task, run: run.run, how });
    [...waiters].forEach(waiter => waiter());
}

function extendLease(deadlineMs) {
    if (typeof deadlineMs === "number") {
        leaseEndsAt = Math.max(leaseEndsAt, Math.min(deadlineMs, getClock() + maxLeaseMs));
    }
}

function start({ task, run, spec, deadline_ms: deadlineMs }) {
    const key = `${task}#${run}`;
    if (runs.has(key)) {
        return [200, {}];
    }
    if (run <= (highestEnded.get(task) ?? 0)) {
        extendLease(deadlineMs);
        return [409, { reason: "old" }];
    }
    if (deadlineMs <= getClock()) {
        return [409, { reason: "late" }];
    }
    extendLease(deadlineMs);
    const { ms, forever } = JSON.parse(spec);
    const timer = forever === true ? undefined : setTimeout(() => endRun(key, "done"), ms);
    runs.set(key, { task, run, ms, forever, startedAt: performance.now(), timer });
    tell("start", { task, run });
    return [200, {}];
}

function list() {
    const now = performance.now();
    return {
        running: [...runs.values()].map(({ task, run, ms, forever, startedAt: since }) => [
            task,
            run,
            "",
            forever === true ? 100 : Math.min(99, Math.floor((now - since) * 100 / ms)),
            0.5,
        ]),
        finished: ends.slice(0, 500),
    };
}

function handle(path, body, reply) {
    if ((body.fencing_token ?? 0) < token) {
        reply(409, { reason: "fence" });
        return;
    }
    token = body.fencing_token ?? 0;
    if (path === "run-start") {
        reply(...start(body));
    }
    else if (path === "run-stop") {
        highestEnded.set(body.task, Math.max(highestEnded.get(body.task) ?? 0, body.run));
        setTimeout(() => endRun(`${body.task}#${body.run}`, "stopped"), stopMs);
        reply(200, {});
    }
    else if (path === "hold") {
        extendLease(body.deadline_ms);
        ends = ends.filter(([number]) => number > (body.acked ?? 0));
        if (ends.length > 0 || !(body.wait_ms > 0)) {
            reply(200, list());
            return;
        }
        const answer = () => {
            clearTimeout(timer);
            waiters.delete(answer);
            reply(200, list());
        };
        const timer = setTimeout(answer, Math.min(2_000, body.wait_ms));
        waiters.add(answer);
    }
    else if (path === "pace") {
        reply(200, {});
    }
    else {
        reply(400, {});
    }
}

const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    const reply = (status, content) => {
        const body = JSON.stringify({ ...content, clock_ms: getClock(), born: bornAt });
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "X-Instance-Id": settings.id,
        });
        response.end(body);
    };
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== settings.id) {
        reply(421, {});
        return;
    }
    handle(request.url.replace("/waxwingroute/", ""), JSON.parse(Buffer.concat(chunks).toString("utf8")), reply);
});
server.keepAliveTimeout = 120_000;
const [ip, port] = settings.address.split(":");
server.listen(Number(port), ip, () => {
    register();
    setInterval(register, heartbeatMs);
    setInterval(() => {
        if (runs.size > 0 && getClock() >= leaseEndsAt) {
            [...runs.keys()].forEach(key => endRun(key, "lapsed"));
        }
    }, 20);
});
