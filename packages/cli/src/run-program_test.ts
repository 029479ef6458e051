import { startOperator } from "@waxwingroute/operator/testing";
import { hashSecret } from "@waxwingroute/resources";
import { expect } from "earl";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, describe, it } from "node:test";
import { runProgram } from "./run-program.js";

const limit = { cpuMillis: 1000, memoryMb: 1024, accelerators: 0, slots: 4 };
const team = { kind: "Team", name: "quotes", spec: { limit } };
const key = { kind: "Key", name: "quotes-1", spec: { team: "quotes" } };
const jobSpec = {
    kind: "batch",
    team: "quotes",
    taskCount: 2,
    resources: { cpuMillis: 1, memoryMb: 1 },
    command: "cut",
};
const job = { kind: "Job", name: "cut-lists", spec: jobSpec };
/** An address that refuses connections: nothing listens on the discard port of the loopback interface. */
const unreachableServer = "http://127.0.0.1:9";

interface ProgramResult {
    readonly exitCode: number;
    readonly out: string;
    readonly error: string;
}

/** Runs the program with a command line. `files` maps paths to the contents of files. */
async function run(
    commandLine: string,
    environment: Record<string, string> = {},
    files: Record<string, unknown> = {},
): Promise<ProgramResult> {
    let out = "";
    let error = "";
    const exitCode = await runProgram(commandLine.split(" ").filter(word => word !== ""), {
        environment,
        writeOut: data => out += Buffer.from(data).toString("utf8"),
        writeError: text => error += text,
        readTextFile: async path => {
            if (!(path in files)) {
                throw new Error("no such file");
            }
            const content = files[path];
            return typeof content === "string" ? content : JSON.stringify(content);
        },
    });
    return { exitCode, out, error };
}

describe("runProgram", () => {
    const closers: (() => Promise<unknown>)[] = [];
    const start = async (...parameters: Parameters<typeof startOperator>) => {
        const operator = await startOperator(...parameters);
        closers.push(() => operator.server.shutdown());
        return { ...operator, environment: { WAXWING_SERVER: `http://127.0.0.1:${operator.port}` } };
    };
    const listen = async (handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<string> => {
        const server: Server = createServer(handle);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        closers.push(() => new Promise(resolve => server.close(resolve)));
        return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    };
    after(() => Promise.all(closers.map(close => close())));

    // Guards against a mistyped command that exits with 0, so that the script that runs it continues.
    it("exits with 2 and says how to correct invalid arguments", async () => {
        const environment = { WAXWING_SERVER: unreachableServer };
        const cases: [string, string][] = [
            ["", "no command: use one of apply"],
            ["aply", "command \"aply\" does not exist: use one of apply"],
            ["constructor", "command \"constructor\" does not exist"],
            ["key", "no command: use one of create, withdraw"],
            ["get team", "NAME"],
            ["get team quotes extra", "3 arguments: give at most 2"],
            ["get crew a", "kind \"crew\" does not exist: use one of team"],
            ["list team --colour=red", "option \"--colour=red\" does not exist: use --server"],
            ["list team --output", "option --output needs a value"],
            ["list team --output xml", "table, json"],
            ["key create a", "--team"],
            ["watch team --from -1", "--from is \"-1\": use an integer"],
            ["shard force-release glasgow", "write <zone>/<number>"],
            ["delete job a", "use waxwing job cancel"],
            ["list team --server ftp://a", "write it as http://"],
            ["apply missing.json", "cannot be read"],
        ];
        for (const [line, expectedMessage] of cases) {
            const { exitCode, out, error } = await run(line, environment);
            expect([line, exitCode, out]).toEqual([line, 2, ""]);
            expect(error.replace(/\u001b\[\d+m/g, "")).toInclude(expectedMessage);
        }
        expect((await run("list team")).error).toInclude(
            "give --server http://<address>:<port>, or set WAXWING_SERVER",
        );
    });

    it("prints the version, and the usage of every level of commands", async () => {
        expect(await run("--version")).toEqual({ exitCode: 0, out: "0.1.0\n", error: "" });
        for (const line of ["--help", "key --help", "key create --help", "request -h"]) {
            const { exitCode, out } = await run(line);
            expect(exitCode).toEqual(0);
            expect(out).toInclude("USAGE");
        }
    });

    it("reports resources as created, unchanged or updated when a file is applied repeatedly", async () => {
        const operator = await start();
        const files = { "all.json": [key, team] };
        const first = await run("apply all.json --output json", operator.environment, files);
        expect([first.exitCode, first.error]).toEqual([0, ""]);
        const rows = JSON.parse(first.out) as { name: string; outcome: string; secret?: string; }[];
        expect(rows.map(row => `${row.name} ${row.outcome}`)).toEqual(["quotes created", "quotes-1 created"]);
        const { secret = "" } = rows[1] ?? {};
        expect((await run("apply all.json", operator.environment, files)).out).toInclude("unchanged");
        expect(operator.store.data.revision).toEqual(2);
        const changed = { "all.json": { ...team, spec: { limit, weight: 4 } } };
        expect((await run("apply all.json", operator.environment, changed)).out).toInclude("updated");
        operator.syncReplica();
        const submitted = await run(`apply job.json --key ${secret}`, operator.environment, { "job.json": job });
        expect([submitted.exitCode, submitted.error]).toEqual([0, ""]);
        expect((await run("job explain cut-lists", operator.environment)).out).toInclude("no-capacity");
        expect((await run("job cancel cut-lists", operator.environment)).out).toInclude("cancelled");
        expect((await run("list job", operator.environment)).out).toInclude("CUT-LISTS".toLowerCase());
    });

    // Guards against a file that is partially applied because its last resource is malformed.
    it("applies no resource of a file with a malformed one, and continues after a server refuses one", async () => {
        const operator = await start();
        const malformed = { "all.json": [team, { ...team, name: "Cutting" }] };
        const refused = await run("apply all.json", operator.environment, malformed);
        expect([refused.exitCode, refused.out]).toEqual([1, ""]);
        expect(refused.error).toInclude("resource 1: resource: name is \"Cutting\": use 1 to 63");
        expect(operator.store.data.revision).toEqual(0);
        const withRefusedResources = {
            "all.json": [{ ...key, spec: { team: "none" } }, team, { ...team, name: "vans", version: 7 }],
        };
        const result = await run("apply all.json", operator.environment, withRefusedResources);
        expect(result.exitCode).toEqual(1);
        expect(result.error).toInclude("Key \"quotes-1\": Team \"none\" does not exist");
        expect(operator.store.data.revision).toEqual(2);
        expect((await run("apply a.json", operator.environment, { "a.json": "{" })).error).toInclude("is not JSON");
    });

    it("creates and withdraws keys, drains and undrains workers, and releases a shard with the token", async () => {
        const operator = await start({ operatorTokenHash: hashSecret("operator") });
        const { environment } = operator;
        const refused = await run("drain worker w-3", environment);
        expect(refused.exitCode).toEqual(1);
        expect(refused.error).toInclude("send it as Authorization: Bearer");
        const allowed = { ...environment, WAXWING_TOKEN: "operator" };
        await run("apply team.json", allowed, { "team.json": team });
        expect((await run("key create k1 --team quotes", allowed)).out).toInclude("wxr_");
        expect((await run("key withdraw k1 --token operator", environment)).exitCode).toEqual(0);
        expect((await run("get key k1", environment)).error).toInclude("does not exist");
        expect((await run("drain worker w-3 --reason fan", allowed)).out).toInclude("worker-w-3");
        expect((await run("drain worker w-3", allowed)).exitCode).toEqual(0);
        expect((await run("undrain worker w-3", allowed)).exitCode).toEqual(0);
        expect((await run("undrain worker w-3", allowed)).error).toInclude("has no drain");
        expect((await run("config where", allowed)).out).toInclude("glasgow");
        expect((await run("shard force-release glasgow/0 --reason lost", allowed)).out).toInclude("8");
        expect(operator.cluster.releaseCalls).toEqual(["glasgow/0: lost"]);
    });

    it("tries servers in order, and exits with 3 when none can be reached", async () => {
        const operator = await start();
        const { WAXWING_SERVER } = operator.environment;
        const found = await run(`list team --server ${unreachableServer},${WAXWING_SERVER}`);
        expect([found.exitCode, found.out]).toEqual([0, "none\n"]);
        const unreachable = await run("list team", { WAXWING_SERVER: unreachableServer });
        expect([unreachable.exitCode, unreachable.out]).toEqual([3, ""]);
        expect(unreachable.error).toInclude("no server could be reached");
        operator.store.data.isDown = true;
        const down = await run("apply a.json", operator.environment, { "a.json": team });
        expect(down.exitCode).toEqual(1);
        expect(down.error).toInclude("store-unavailable");
    });

    // Guards against a write that runs twice because it was sent to a second server after a lost connection.
    it("does not send a write to another server when the response was lost", async () => {
        const operator = await start();
        const disconnectingServer = await listen((request, response) => response.destroy());
        const line =
            `key create k1 --team quotes --server ${disconnectingServer},${operator.environment.WAXWING_SERVER}`;
        const lost = await run(line);
        expect(lost.exitCode).toEqual(1);
        expect(lost.error).toInclude("the request may have run");
        expect(operator.writes).toEqual([]);
    });

    it("watches from a revision, resumes at another server and fails when the revision is compacted", async () => {
        const [first, second] = [await start(), await start()];
        for (
            const [operator, names] of [[first, ["quotes", "cutting"]], [second, [
                "quotes",
                "cutting",
                "vans",
            ]]] as const
        ) {
            for (const name of names) {
                await operator.repository.create({
                    kind: "Team",
                    name,
                    version: 0,
                    spec: { limit, weight: 1, overLimit: "complete" },
                });
            }
            operator.syncReplica();
        }
        const servers = `${first.environment.WAXWING_SERVER},${second.environment.WAXWING_SERVER}`;
        const watching = run(`watch team --from 1 --count 2 --server ${servers}`);
        while (first.server.watchCount === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await first.server.shutdown();
        const watch = await watching;
        expect(watch.exitCode).toEqual(0);
        expect(watch.out.split("\n").map(line => line.split(" ").slice(0, 4).join(" "))).toEqual([
            "2 put Team cutting",
            "3 put Team vans",
            "",
        ]);
        second.replica.applyUpdate({ kind: "snapshot", revision: 9, entries: [] }).unwrap();
        const old = await run(`watch --from 3 --server ${servers}`);
        expect(old.exitCode).toEqual(1);
        expect(old.error).toInclude("list again");
        expect((await run("watch --retry-ms 1", { WAXWING_SERVER: unreachableServer })).exitCode).toEqual(3);
    });

    it("sends a request to a queue and prints the response body and the verdict", async () => {
        const seen: string[] = [];
        const entry = await listen((request, response) => {
            const { authorization, "waxwing-idempotent": idempotent, "waxwing-deadline-ms": deadline } =
                request.headers;
            seen.push(`${request.url} ${authorization} ${String(idempotent)} ${String(deadline)}`);
            const isKnown = request.url?.includes("orders") === true;
            response.writeHead(isKnown ? 200 : 404, { "Waxwing-Verdict": isKnown ? "ran" : "notRun" });
            request.pipe(response);
        });
        const environment = { WAXWING_ENTRY: entry, WAXWING_KEY: "secret" };
        const line = "request orders --body @b.json --idempotent --deadline-ms 500";
        const sent = await run(line, environment, { "b.json": "{\"id\":1}" });
        expect([sent.exitCode, sent.out]).toEqual([0, "{\"id\":1}"]);
        expect(sent.error).toInclude("status 200, verdict ran");
        expect(seen).toEqual(["/v1/queues/orders/requests Bearer secret true 500"]);
        expect((await run("request other", environment)).exitCode).toEqual(1);
        expect((await run("request orders", { WAXWING_ENTRY: unreachableServer })).exitCode).toEqual(3);
    });
});
