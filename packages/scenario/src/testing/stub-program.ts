/**
 * A stub of the system's programs for the tests of `ProcessWorld`: it reads the settings of its host, serves health
 * endpoints, and passes work straight to the stand-ins without any checks, so that the violations that scenarios look for
 * can be made on purpose.
 *
 * The settings field `stub` chooses the mistakes: `{ overcommits, repeatsRequests, ignoresTerm, cutsAnswers }`.
 */
import type { AttemptId, JobId, QueueId, RequestKey, TaskId, TeamId, ZoneId } from "@waxwingroute/core";
import { HttpExecutor, HttpHostList, HttpWorker } from "@waxwingroute/platform";
import { readFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";

interface StubSettings {
    readonly store: { readonly url: string; };
    readonly hostList: { readonly url: string; };
    readonly regions: readonly {
        readonly zones: readonly {
            readonly name: string;
            readonly hosts: readonly {
                readonly name: string;
                readonly address: string;
                readonly ports: Readonly<Record<string, number>>;
            }[];
        }[];
    }[];
    readonly stub?: {
        readonly overcommits?: boolean;
        readonly repeatsRequests?: boolean;
        readonly ignoresTerm?: boolean;
        readonly cutsAnswers?: boolean;
    };
}

interface StubJob {
    readonly name: string;
    readonly spec: {
        readonly team: string;
        readonly taskCount: number;
        readonly command: string;
        readonly resources: { readonly cpuMillis: number; readonly memoryMb: number; readonly accelerators: number; };
    };
}

const [, , , settingsFile = "", , hostName = ""] = process.argv;
const settings = JSON.parse(readFileSync(settingsFile, "utf8")) as StubSettings;
const zone = settings.regions.flatMap(({ zones }) => zones).find(({ hosts }) =>
    hosts.some(({ name }) => name === hostName)
);
const host = zone?.hosts.find(({ name }) => name === hostName);
const ports = host?.ports ?? {};
const source = hostName;
const mistakes = settings.stub ?? {};
const hostList = new HttpHostList({ url: settings.hostList.url, source });
let attempts = 0;

function reply(response: ServerResponse, status: number, content: unknown, verdict = "notRun"): void {
    response.writeHead(status, { "content-type": "application/json", "waxwing-verdict": verdict });
    response.end(JSON.stringify(content));
}

async function listEndpoints() {
    return (await hostList.list(zone?.name as ZoneId)).unwrap();
}

async function submitJob(job: StubJob, response: ServerResponse): Promise<void> {
    const { workers } = await listEndpoints();
    for (let index = 0; index < job.spec.taskCount; index++) {
        const target = workers[mistakes.overcommits ? 0 : index % workers.length]?.address;
        const worker = new HttpWorker({ url: target?.url ?? "", source });
        const started = await worker.start({
            task: `${job.name}/${index}` as TaskId,
            team: job.spec.team as TeamId,
            job: job.name as JobId,
            resources: job.spec.resources,
            command: job.spec.command,
            leaseMs: 60_000,
            expiresInMs: 1_000,
            epoch: 1,
        });
        worker.close();
        if (!started.ok) {
            const failure = { code: "stub-failed", message: started.val.message, verdict: started.val.verdict };
            reply(response, 503, { error: failure }, started.val.verdict);
            return;
        }
    }
    reply(response, 201, {});
}

async function execute(queue: string, message: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
    const { executors } = await listEndpoints();
    const executor = new HttpExecutor({ url: executors[0]?.address.url ?? "", source });
    const send = () => {
        attempts++;
        return executor.execute({
            attempt: `${hostName}-${attempts}` as AttemptId,
            // A new key for each attempt, so that a repetition shows only in the bodies.
            requestKey: `key-${hostName}-${attempts}` as RequestKey,
            queue: queue as QueueId,
            team: "sales" as TeamId,
            isIdempotent: message.headers["waxwing-idempotent"] === "true",
            contentType: "application/octet-stream",
            body,
            timeoutMs: Number(message.headers["waxwing-deadline-ms"]),
            epoch: 1,
        });
    };
    const first = await send();
    const answer = mistakes.repeatsRequests ? await send() : first;
    executor.close();
    if (!answer.ok) {
        const status = answer.val.verdict === "notRun" ? 503 : 502;
        reply(response, status, { error: answer.val }, answer.val.verdict);
        return;
    }
    response.writeHead(answer.val.status, { "waxwing-verdict": "ran" });
    response.end(mistakes.cutsAnswers ? answer.val.body.subarray(0, 40) : answer.val.body);
}

async function handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of message as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    const body = Buffer.concat(chunks);
    const queue = /^\/v1\/queues\/([^/]+)\/requests$/.exec(message.url ?? "")?.[1];
    if (message.url === "/readyz") {
        reply(response, 200, { status: "ready" });
    }
    else if (message.url === "/v1/jobs") {
        await submitJob(JSON.parse(body.toString()) as StubJob, response);
    }
    else if (queue !== undefined) {
        await execute(queue, message, body, response);
    }
    else if (message.url === "/v1/keys") {
        reply(response, 201, { secret: "secret" });
    }
    else {
        reply(response, 200, { version: 1 });
    }
}

const program = process.argv[1] ?? "";
const name = ["scheduler", "operator"].find(other => program.endsWith(`${other}-stub.js`)) ?? "entry";
for (const port of [ports[name], ports[`${name}Health`]]) {
    createServer((message, response) => {
        handle(message, response).catch(error => reply(response, 500, { error: { message: String(error) } }));
    }).listen(port, host?.address);
}
process.on("SIGTERM", () => {
    if (!mistakes.ignoresTerm) {
        process.exit(0);
    }
});
