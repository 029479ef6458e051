import { hashSecret } from "@waxwingroute/resources";
import { expect } from "earl";
import fc from "fast-check";
import { Agent, request as sendRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { after, describe, it } from "node:test";
import { startOperator } from "./testing/operator-fixture.js";

const agent = new Agent({ keepAlive: true, maxSockets: 8 });
const limit = { cpuMillis: 1000, memoryMb: 1024, accelerators: 0, slots: 4 };
const team = { kind: "Team", name: "quotes", spec: { limit } };
const job = {
    kind: "Job",
    name: "cut-lists",
    spec: { kind: "batch", team: "quotes", taskCount: 2, resources: { cpuMillis: 1, memoryMb: 1 }, command: "cut" },
};

type Operator = Awaited<ReturnType<typeof startOperator>>;
type Headers = Record<string, string>;
/** Fields of the answers that the tests read. */
interface AnswerBody {
    readonly error: { readonly code: string; readonly message: string; readonly verdict: string; };
    readonly version: number;
    readonly revision: number;
    readonly secret: string;
    readonly spec: { readonly hash: string; };
    readonly items: readonly { readonly host?: string; }[];
    readonly source: string;
    readonly state: string;
    readonly estimatedWaitMs: number;
    readonly shard: string;
    readonly epoch: number;
}
interface Answer {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: AnswerBody;
}
/** Fields of the lines of a watch that the tests read. */
interface Line {
    readonly type: string;
    readonly resource?: { readonly name: string; };
}

function open(operator: Operator, method: string, path: string, body?: unknown, headers: Headers = {}) {
    return new Promise<IncomingMessage>((resolve, reject) => {
        const text = body === undefined || typeof body === "string" || Buffer.isBuffer(body)
            ? body
            : JSON.stringify(body);
        const all = text === undefined ? headers : { "Content-Type": "application/json", ...headers };
        const request = sendRequest({ port: operator.port, method, path, headers: all, agent }, resolve);
        request.on("error", reject);
        request.end(text);
    });
}

async function send(...parameters: Parameters<typeof open>): Promise<Answer> {
    const response = await open(...parameters);
    let text = "";
    for await (const chunk of response.setEncoding("utf8")) {
        text += chunk;
    }
    return { status: response.statusCode ?? 0, headers: response.headers, body: JSON.parse(text) as AnswerBody };
}

/** Reads lines of a watch until one has the type. */
async function readUntil(response: IncomingMessage, type: string): Promise<Line[]> {
    const lines: Line[] = [];
    let rest = "";
    for await (const chunk of response.setEncoding("utf8").iterator({ destroyOnReturn: false })) {
        const parts = (rest + chunk).split("\n");
        rest = parts.pop() ?? "";
        lines.push(...parts.map(part => JSON.parse(part) as Line));
        if (lines.some(line => line.type === type)) {
            break;
        }
    }
    return lines;
}

function expectError(answer: Answer, status: number, code: string, verdict = "notRun"): void {
    const { error } = answer.body;
    expect([answer.status, error.code, error.verdict]).toEqual([status, code, verdict]);
    expect(error.message.length > 15).toEqual(true);
    expect(answer.headers["waxwing-verdict"]).toEqual(verdict);
}

describe("OperatorServer", () => {
    const operators: Operator[] = [];
    const start = async (...parameters: Parameters<typeof startOperator>): Promise<Operator> => {
        const operator = await startOperator(...parameters);
        operators.push(operator);
        return operator;
    };
    after(async () => {
        agent.destroy();
        await Promise.all(operators.map(({ server }) => server.shutdown()));
    });

    describe("resources", () => {
        it("creates, reads, lists, updates and deletes", async () => {
            const operator = await start();
            const created = await send(operator, "POST", "/v1/teams", team);
            expect([created.status, created.body.version, created.headers.etag]).toEqual([201, 1, "\"1\""]);
            const changed = { ...team, spec: { limit, weight: 3 } };
            const updated = await send(operator, "PUT", "/v1/teams/quotes", changed, { "If-Match": "\"1\"" });
            expect([updated.status, updated.body.version]).toEqual([200, 2]);
            expect((await send(operator, "GET", "/v1/teams/quotes")).body).toEqual(updated.body);
            expect((await send(operator, "GET", "/v1/teams")).body).toHaveSubset({
                items: [updated.body],
                revision: 2,
            });
            expectError(
                await send(operator, "DELETE", "/v1/teams/quotes", undefined, { "If-Match": "1" }),
                409,
                "version-conflict",
            );
            expect((await send(operator, "DELETE", "/v1/teams/quotes", undefined, { "If-Match": "2" })).status).toEqual(
                200,
            );
            expectError(await send(operator, "GET", "/v1/teams/quotes"), 404, "not-found");
            expect(operator.writes.map(write => write.status)).toEqual([201, 200, 409, 200]);
        });

        it("returns the secret of a new key once", async () => {
            const operator = await start();
            await send(operator, "POST", "/v1/teams", team);
            const created = await send(operator, "POST", "/v1/keys", {
                kind: "Key",
                name: "k1",
                spec: { team: "quotes" },
            });
            expect([created.status, hashSecret(created.body.secret)]).toEqual([201, created.body.spec.hash]);
            expect((await send(operator, "GET", "/v1/keys/k1")).body).not.toHaveSubset({ secret: created.body.secret });
        });

        // Guards against unclear answers: each bad request names its fault, and nothing is written.
        it("refuses bad requests with the right status", async () => {
            const operator = await start();
            await send(operator, "POST", "/v1/teams", team);
            const large = { ...team, name: "a".repeat(300_000) };
            const changeLimit = (slots: unknown) => ({
                ...team,
                name: "cutting",
                spec: { limit: { ...limit, slots } },
            });
            const headers = Object.fromEntries(Array.from({ length: 70 }, (_, index) => [`x-${index}`, "1"]));
            const cases: [string, string, unknown, number, string, Headers?][] = [
                ["POST", "/v1/teams", "{\"kind\":", 400, "invalid-json"],
                ["POST", "/v1/teams", Buffer.from([0x22, 0xff, 0x22]), 400, "invalid-json"],
                ["POST", "/v1/teams", undefined, 400, "invalid-resource"],
                ["POST", "/v1/teams", { ...team, extra: 1 }, 400, "invalid-resource"],
                ["POST", "/v1/teams", { ...team, version: 4 }, 400, "invalid-version"],
                ["POST", "/v1/teams", changeLimit(-1), 400, "invalid-resource"],
                ["POST", "/v1/teams", changeLimit(0.5), 400, "invalid-resource"],
                ["POST", "/v1/teams", changeLimit(1e30), 400, "invalid-resource"],
                ["POST", "/v1/queues", team, 400, "invalid-resource"],
                ["POST", "/v1/teams", large, 413, "body-too-large"],
                ["POST", "/v1/teams", JSON.stringify(team), 415, "unsupported-media-type", {
                    "Content-Type": "text/plain",
                }],
                ["POST", "/v1/teams", team, 409, "already-exists"],
                ["POST", "/v1/teams", team, 431, "too-many-headers", headers],
                ["POST", "/v1/teams?dry=1", team, 400, "invalid-query"],
                ["POST", "/v1/crews", team, 404, "unknown-kind"],
                ["GET", "/v2/teams", undefined, 404, "unknown-path"],
                ["GET", "/v1/teams/%ZZ", undefined, 400, "invalid-path"],
                ["GET", "/v1/teams/Quotes", undefined, 400, "invalid-name"],
                ["PATCH", "/v1/teams/quotes", team, 405, "method-not-allowed"],
                ["PUT", "/v1/teams/quotes", team, 428, "version-required"],
                ["PUT", "/v1/teams/quotes", team, 409, "version-conflict", { "If-Match": "9" }],
                ["PUT", "/v1/teams/quotes", team, 400, "invalid-version", { "If-Match": "*" }],
                ["PUT", "/v1/teams/quotes", { ...team, version: 1 }, 400, "invalid-version", { "If-Match": "2" }],
                ["PUT", "/v1/teams/cutting", team, 400, "invalid-resource", { "If-Match": "1" }],
                ["PUT", "/v1/teams/cutting", { ...team, name: "cutting", version: 1 }, 404, "not-found"],
                ["POST", "/v1/keys", { kind: "Key", name: "k1", spec: { team: "none" } }, 404, "not-found"],
                ["GET", "/v1/jobs?limit=0", undefined, 400, "invalid-query"],
                ["GET", "/v1/watch?from=-1", undefined, 400, "invalid-query"],
                ["GET", "/v1/watch?kind=crews", undefined, 404, "unknown-kind"],
                ["POST", "/v1/shards/glasgow/1e3/force-release", undefined, 400, "invalid-name"],
            ];
            for (const [method, path, body, status, code, extra] of cases) {
                expectError(await send(operator, method, path, body, extra), status, code);
            }
            expect(operator.store.data.revision).toEqual(1);
            expect(operator.errors).toEqual([]);
        });

        it("answers bytes that are not a request, headers over 16 KB, and requests that do not end", async () => {
            const operator = await start({ requestTimeoutMs: 300 });
            const sendBytes = (bytes: string): Promise<string> =>
                new Promise((resolve, reject) => {
                    let text = "";
                    const socket = connect(operator.port, "127.0.0.1", () => socket.write(bytes));
                    socket.on("data", data => text += data.toString()).on("end", () => resolve(text)).on(
                        "error",
                        reject,
                    );
                });
            expect(await sendBytes("\u0001\u0002nonsense\r\n\r\n")).toInclude("HTTP/1.1 400");
            const text = await sendBytes(`GET /v1/teams HTTP/1.1\r\nHost: a\r\nX: ${"a".repeat(20_000)}\r\n\r\n`);
            expect(text).toInclude("HTTP/1.1 431");
            expect(text).toInclude("too-many-headers");
            const late = await sendBytes("POST /v1/teams HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{");
            expect(late).toInclude("HTTP/1.1 408");
            expect(late).toInclude("request-timeout");
        });

        it("tells by the verdict whether a write may have run while the store fails, and reads from the replica", async () => {
            const operator = await start();
            await send(operator, "POST", "/v1/teams", team);
            operator.sync();
            operator.store.writesToLose = 3;
            const other = { ...team, name: "cutting" };
            expectError(await send(operator, "POST", "/v1/teams", other), 502, "store-timeout", "mayHaveRun");
            operator.store.data.isDown = true;
            expectError(await send(operator, "POST", "/v1/teams", other), 503, "store-unavailable");
            expectError(await send(operator, "DELETE", "/v1/teams/quotes"), 503, "store-unavailable");
            const list = await send(operator, "GET", "/v1/teams");
            expect([list.body.source, list.body.items.length]).toEqual(["replica", 1]);
            const read = await send(operator, "GET", "/v1/teams/quotes");
            expect([read.status, read.headers["waxwing-source"]]).toEqual([200, "replica"]);
        });

        it("protects writes with the operator token", async () => {
            const operator = await start({ operatorTokenHash: hashSecret("operator") });
            expectError(await send(operator, "POST", "/v1/teams", team), 401, "unauthorized");
            const bearer = (token: string): Headers => ({ Authorization: `Bearer ${token}` });
            expectError(await send(operator, "POST", "/v1/teams", team, bearer("wrong")), 401, "unauthorized");
            const release = "/v1/shards/glasgow/0/force-release";
            expectError(await send(operator, "POST", release), 401, "unauthorized");
            expect((await send(operator, "POST", "/v1/teams", team, bearer("operator"))).status).toEqual(201);
            const released = await send(operator, "POST", release, { reason: "host lost" }, bearer("operator"));
            expect([released.body.shard, released.body.epoch]).toEqual(["glasgow/0", 8]);
            expect(operator.cluster.released).toEqual(["glasgow/0: host lost"]);
            expect((await send(operator, "GET", "/v1/config/where")).body.items[0]?.host).toEqual("g1");
        });
    });

    // Guards against work that is accepted for a team whose key was not presented.
    it("accepts and cancels jobs only under a key of their team", async () => {
        const operator = await start({ operatorTokenHash: hashSecret("operator"), keyStalenessMs: 5_000 });
        const { repository } = operator;
        for (const name of ["quotes", "cutting"]) {
            await repository.create({
                kind: "Team",
                name,
                version: 0,
                spec: { weight: 1, limit, overLimit: "complete" },
            });
        }
        const own = { Authorization: `Bearer ${(await repository.createKey("k1", "quotes")).unwrap().secret}` };
        const foreign = { Authorization: `Bearer ${(await repository.createKey("k2", "cutting")).unwrap().secret}` };
        expectError(await send(operator, "POST", "/v1/jobs", job, own), 401, "unauthorized");
        operator.sync();
        expectError(await send(operator, "POST", "/v1/jobs", job), 401, "unauthorized");
        expectError(
            await send(operator, "POST", "/v1/jobs", job, { Authorization: "Bearer operator" }),
            401,
            "unauthorized",
        );
        expectError(await send(operator, "POST", "/v1/jobs", job, foreign), 403, "wrong-team");
        expect((await send(operator, "POST", "/v1/jobs", job, own)).status).toEqual(201);
        expectError(await send(operator, "POST", "/v1/jobs", job, own), 409, "already-exists");
        expectError(await send(operator, "POST", "/v1/jobs/cut-lists/cancel", undefined, foreign), 403, "wrong-team");
        expect((await send(operator, "GET", "/v1/jobs/cut-lists/explain")).body.estimatedWaitMs).toEqual(1_500);
        expect((await send(operator, "GET", "/v1/jobs?team=quotes&limit=5")).body.items.length).toEqual(1);
        expect((await send(operator, "POST", "/v1/jobs/cut-lists/cancel", undefined, own)).body.state).toEqual(
            "cancelled",
        );
        operator.replica.getConfirmationAge = () => 5_001;
        expectError(await send(operator, "POST", "/v1/jobs", { ...job, name: "late" }, own), 503, "keys-stale");
    });

    describe("watch", () => {
        it("sends changes above a revision, resumes, and answers 410 below the log", async () => {
            const operator = await start({ progressMs: 20 });
            for (const name of ["quotes", "cutting", "vans"]) {
                await send(operator, "POST", "/v1/teams", { ...team, name });
            }
            operator.sync();
            const watch = await open(operator, "GET", "/v1/watch?kind=teams&from=1");
            const first = await readUntil(watch, "progress");
            const names = first.map(line => line.resource?.name ?? line.type);
            expect(names.slice(0, 3)).toEqual(["cutting", "vans", "progress"]);
            // On a busy machine further progress lines, one every 20 ms, arrive with the first.
            expect(names.slice(3).every(name => name === "progress")).toEqual(true);
            await send(operator, "DELETE", "/v1/teams/vans");
            operator.sync();
            const later = await readUntil(watch, "delete");
            expect(later.at(-1) ?? {}).toHaveSubset({ type: "delete", kind: "Team", name: "vans", revision: 4 });
            watch.destroy();
            // A client that wrote through another server can be ahead of this one's replica.
            const ahead = await open(operator, "GET", "/v1/watch?from=5");
            for (const name of ["late", "later"]) {
                await send(operator, "POST", "/v1/teams", { ...team, name });
            }
            operator.sync();
            const newer = (await readUntil(ahead, "put")).filter(line => line.type === "put");
            expect(newer.map(line => line.resource?.name)).toEqual(["later"]);
            ahead.destroy();
            operator.replica.applyUpdate({ kind: "snapshot", revision: 9, entries: [] }).unwrap();
            expectError(await send(operator, "GET", "/v1/watch?from=4"), 410, "revision-compacted");
        });

        it("bounds the number of watches and ends them cleanly at shutdown", async () => {
            const operator = await start({ maximumWatches: 2 });
            const configuration = await open(operator, "GET", "/v1/watch");
            const jobs = await open(operator, "GET", "/v1/watch?kind=jobs");
            expectError(await send(operator, "GET", "/v1/watch"), 429, "too-many-watches");
            await operator.jobs.submit({ ...job, version: 0 } as never);
            const stopped = operator.server.shutdown();
            expect((await readUntil(configuration, "end")).at(-1) ?? {}).toHaveSubset({
                type: "end",
                code: "server-stopping",
            });
            const lines = await readUntil(jobs, "end");
            expect(lines.map(line => line.type)).toEqual(["job", "end"]);
            await stopped;
            expect(operator.server.watchCount).toEqual(0);
        });

        // Guards against a watcher that does not read and fills the memory of the server.
        it("ends the watch of a client that does not read", async () => {
            const operator = await start({ maximumBufferedBytes: 64 * 1024 });
            const watch = await open(operator, "GET", "/v1/watch?kind=jobs");
            watch.pause();
            const closed = new Promise(resolve => watch.on("close", resolve).on("error", () => undefined));
            const name = "a".repeat(60_000);
            for (let count = 0; operator.server.watchCount > 0 && count < 2_000; count++) {
                await operator.jobs.submit({ ...job, version: 0, name: `${name}${count}` } as never);
            }
            expect(operator.server.watchCount).toEqual(0);
            watch.resume();
            await closed;
        });
    });

    it("lets requests under way end at shutdown", async () => {
        const operator = await start();
        const list = operator.repository.list.bind(operator.repository);
        operator.repository.list = async kind => {
            await new Promise(resolve => setTimeout(resolve, 100));
            return list(kind);
        };
        const answer = send(operator, "GET", "/v1/teams");
        await new Promise(resolve => setTimeout(resolve, 30));
        await operator.server.shutdown();
        expect((await answer).status).toEqual(200);
    });

    // Guards against a crash, a hanging request or an empty error on any body.
    it("answers any body with a result or a clear error", async t => {
        const operator = await start();
        await send(operator, "POST", "/v1/teams", team);
        const kinds = { Team: "teams", Key: "keys", Queue: "queues", Drain: "drains", Job: "jobs" };
        const specs = [
            ["Team", { weight: 2, limit }],
            ["Key", { team: "quotes" }],
            ["Queue", { access: "open", slotLimit: 4, maximumWaiting: 5 }],
            ["Drain", { target: { kind: "worker", name: "w-1" }, reason: "fan" }],
            ["Job", job.spec],
        ] as const;
        const name = fc.oneof(fc.string(), fc.string({ unit: fc.constantFrom("a", "b", "c"), minLength: 1 }));
        // A valid resource in which one field may be replaced or added.
        const changed = fc.tuple(fc.constantFrom(...specs), name, fc.nat(6), fc.jsonValue()).map(
            ([[kind, spec], text, index, value]) => {
                const field = ["none", ...Object.keys(spec), "extra"][index] ?? "none";
                return { kind, name: text, spec: field === "none" ? spec : { ...spec, [field]: value } };
            },
        );
        const body = fc.oneof(
            fc.string(),
            fc.json(),
            fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes)),
            { arbitrary: changed.map(resource => JSON.stringify(resource)), weight: 6 },
        );
        const statuses: Record<number, number> = {};
        const segments = fc.constantFrom(...Object.values(kinds));
        const property = fc.asyncProperty(segments, body, fc.boolean(), async (other, bytes, isMatching) => {
            const kind = (/^\{"kind":"(\w+)"/.exec(bytes.toString())?.[1] ?? "") as keyof typeof kinds;
            const segment = isMatching && kind in kinds ? kinds[kind] : other;
            const answer = await send(operator, "POST", `/v1/${segment}`, bytes);
            statuses[answer.status] = (statuses[answer.status] ?? 0) + 1;
            if (answer.status !== 201) {
                const { code, message, verdict } = answer.body.error;
                expect([400, 401, 404, 409].includes(answer.status)).toEqual(true);
                expect(code.length > 5 && message.length > 15 && verdict === "notRun").toEqual(true);
            }
        });
        await fc.assert(property, { seed: 20261204, numRuns: 4_000 });
        expect(operator.errors).toEqual([]);
        expect((statuses[201] ?? 0) > 100).toEqual(true);
        t.diagnostic(`result: answers by status ${JSON.stringify(statuses)}`);
    });
});
