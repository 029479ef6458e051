/** Callers with open connections to one host, which they use one after the other from its SIGTERM until it is gone. */
import type { HostProcess } from "./host-process.js";
import { KeptConnection } from "./kept-connections.js";
import { encodeJob } from "./protocol.js";
import { findQueue, plainQueue } from "./queues.js";
import type { RecordedJob } from "./run-record.js";
import { callerHeaders } from "./site.js";
import type { TroubleContext } from "./trouble.js";
import { pickJob } from "./workload.js";

/** Interval of the requests, ms. */
const intervalMs = 80;
/** Connections for each host: enough for all of the longest grace time of a run. */
const connectionCount = 90;
/** Jobs accepted last among which a request picks. */
const recentJobs = 40;
const methods = ["DELETE", "GET", "DELETE", "POST"] as const;

/** The open connections of callers to one host. */
export class CallsAtStop {
    private readonly connections: KeptConnection[] = [];
    private readonly pending: Promise<void>[] = [];

    private constructor(private readonly context: TroubleContext, private readonly host: HostProcess) {}

    /** Opens the connections; each serves a GET. */
    static async open(context: TroubleContext, host: HostProcess): Promise<CallsAtStop> {
        const calls = new CallsAtStop(context, host);
        await Promise.all(Array.from({ length: connectionCount }, () => calls.connect()));
        return calls;
    }

    /** Sends requests while the process runs, and waits for their ends. */
    async run(): Promise<void> {
        for (let count = 0; this.host.isRunning && this.connections.length > 0; count++) {
            const connection = this.connections.shift()!;
            this.pending.push(this.send(connection, methods[count % methods.length]!));
            await new Promise(resolve => setTimeout(resolve, intervalMs));
        }
        await Promise.all(this.pending);
        this.connections.forEach(connection => connection.close());
    }

    private async connect(): Promise<void> {
        const connection = await KeptConnection.open(this.host.callerAddress);
        const served = await connection?.exchange({ method: "GET", path: plainQueue.prefix, headers: callerHeaders });
        if (connection !== undefined && served?.kind === "answered") {
            this.connections.push(connection);
        }
    }

    private async send(connection: KeptConnection, method: (typeof methods)[number]): Promise<void> {
        const { record } = this.context.site;
        const job = method === "POST" ? this.createJob() : this.pickJob(method);
        if (job === undefined) {
            connection.close();
            return;
        }
        const sentAt = record.now;
        const outcome = await connection.exchange({
            method,
            path: `${findQueue(job.queue)!.prefix}${job.id}`,
            headers: { ...callerHeaders, "content-type": "application/json" },
            content: method === "POST" ? encodeJob(job.spec, job.steps) : undefined,
        });
        connection.close();
        const status = outcome.kind === "answered" ? outcome.status : 0;
        this.recordOutcome(job, method, status, sentAt);
        const tookMs = Math.round(record.now - sentAt);
        record.write("kept-call", { host: this.host.name, method, job: job.id, outcome: outcome.kind, status, tookMs });
        if (outcome.kind !== "closedBefore") {
            const isAnswered = outcome.kind === "answered";
            record.keptCalls.push({
                host: this.host.name,
                method,
                job: job.id,
                sentAt,
                endedAt: record.now,
                isAnswered,
            });
        }
    }

    private recordOutcome(job: RecordedJob, method: string, status: number, sentAt: number): void {
        const { record } = this.context.site;
        const isDone = status >= 200 && status < 300;
        if (method === "POST") {
            job.attempts.push({ host: this.host.name, sentAt, status });
            job.acceptedAt = isDone ? record.now : undefined;
        }
        else if (method === "DELETE" && isDone) {
            job.cancelledAt = record.now;
        }
    }

    private createJob(): RecordedJob {
        const { random, site } = this.context;
        const job = { ...pickJob(random, {}, site.executors.length), attempts: [], states: [] };
        site.record.jobs.set(job.id, job);
        return job;
    }

    private pickJob(method: "GET" | "DELETE"): RecordedJob | undefined {
        const { random, site: { record } } = this.context;
        const jobs = [...record.jobs.values()]
            .filter(job => job.acceptedAt !== undefined && (method === "GET" || job.cancelSentAt === undefined));
        const job = random.pickOne(jobs.slice(-recentJobs));
        if (job !== undefined && method === "DELETE") {
            job.cancelSentAt = record.now;
        }
        return job;
    }
}
