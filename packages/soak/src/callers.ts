/**
 * The callers of a run: they submit jobs, repeat submissions without an answer, cancel some jobs and ask for others, each
 * over a connection that it keeps until the connection ends.
 */
import type { RandomSource } from "@waxwingroute/core";
import type { Agent } from "node:http";
import type { HostProcess } from "./host-process.js";
import { decodeJobState, encodeJob } from "./protocol.js";
import { findQueue } from "./queues.js";
import { createAgent, sendRequest } from "./request.js";
import type { CallerAnswer } from "./request.js";
import type { RecordedJob, RunRecord } from "./run-record.js";
import type { SiteConfiguration } from "./types.js";
import type { WorkloadOptions } from "./workload.js";
import { computeJobRate, pickJob } from "./workload.js";

/** Time that callers wait for an answer, ms. */
const timeoutMs = 3_000;
/** Time after which callers leave that have little patience, ms. */
const shortPatienceMs = 300;
/** Most attempts to submit a job. */
const maxAttempts = 12;
/** Callers at least, and for each job a second. */
const minCallers = 10;
const callersPerRate = 2;
const defaultCancelShare = 0.2;

/** The hosts, queue and jobs of the callers. */
export interface CallersOptions {
    readonly hosts: readonly HostProcess[];
    readonly site: SiteConfiguration;
    /** Number of executors, which limits the size of gangs. */
    readonly executorCount: number;
    readonly random: RandomSource;
    readonly record: RunRecord;
    readonly workload: WorkloadOptions;
}

/** One caller with its connection. */
class Caller {
    private host: HostProcess;
    private agent: Agent = createAgent();

    constructor(private readonly options: CallersOptions) {
        this.host = options.random.pickOne(options.hosts)!;
    }

    get hostName(): string {
        return this.host.name;
    }

    async send(
        method: string,
        { id, queue }: RecordedJob,
        content?: unknown,
        patienceMs = timeoutMs,
    ): Promise<CallerAnswer> {
        const { site, record } = this.options;
        const sentAt = record.now;
        const { host } = this;
        const answer = await sendRequest({
            address: host.callerAddress,
            method,
            path: `${findQueue(queue)!.prefix}${id}`,
            headers: { "host": site.hostName, "api-key": site.apiKey, "x-deadline-ms": String(timeoutMs) },
            content,
            timeoutMs: patienceMs,
            agent: this.agent,
        });
        record.write("answer", {
            host: host.name,
            method,
            job: id,
            status: answer.status,
            state: decodeJobState(answer.content),
            tookMs: Math.round(record.now - sentAt),
        });
        if (answer.status === 0) {
            const tookMs = record.now - sentAt;
            const what = `${method} ${id}`;
            record.unanswered.push({ host: host.name, sentAt, tookMs, isTimedOut: tookMs >= patienceMs, what });
            this.connectElsewhere();
        }
        return answer;
    }

    close(): void {
        this.agent.destroy();
    }

    /** Opens a connection to another host, as the balancer would. */
    private connectElsewhere(): void {
        this.agent.destroy();
        this.agent = createAgent();
        const { hosts, random } = this.options;
        this.host = random.pickOne(hosts.filter(host => host !== this.host)) ?? this.host;
    }
}

/** All callers of a run. */
export class Callers {
    private readonly callers: Caller[];
    private isStopped = false;
    private readonly pending = new Set<Promise<void>>();

    constructor(private readonly options: CallersOptions) {
        const { workload } = options;
        const rate = Math.max(workload.jobsPerSecond ?? 0, workload.peakJobsPerSecond ?? 0);
        const count = Math.max(minCallers, Math.ceil(rate * callersPerRate));
        this.callers = Array.from({ length: count }, () => new Caller(options));
    }

    /** Sends requests until `stop`. */
    async run(): Promise<void> {
        const { random, record, workload } = this.options;
        while (!this.isStopped) {
            this.start(this.handleJob());
            this.start(this.askForJob());
            await wait(random.getFloat() * 2_000 / computeJobRate(workload, record.now));
        }
    }

    /** Stops and waits for the requests on their way. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.pending);
    }

    close(): void {
        this.callers.forEach(caller => caller.close());
    }

    /** Asks for the states of jobs until none of `isOpen` is left or the time is over. */
    async askForAll(isOpen: (job: RecordedJob) => boolean, endsAt: number): Promise<void> {
        const { record } = this.options;
        while (record.now < endsAt) {
            const open = [...record.jobs.values()].filter(isOpen);
            if (open.length === 0) {
                return;
            }
            for (let index = 0; index < open.length; index += this.callers.length) {
                await Promise.all(
                    open.slice(index, index + this.callers.length).map((job, number) =>
                        this.ask(this.callers[number]!, job)
                    ),
                );
            }
            await wait(500);
        }
    }

    private start(action: Promise<void>): void {
        this.pending.add(action);
        void action.finally(() => this.pending.delete(action));
    }

    private pickCaller(): Caller {
        return this.options.random.pickOne(this.callers)!;
    }

    /** Submits a job, and later cancels some. */
    private async handleJob(): Promise<void> {
        const { random, record, workload, executorCount } = this.options;
        const job: RecordedJob = { ...pickJob(random, workload, executorCount), attempts: [], states: [] };
        const mustCancel = random.getFloat() < (workload.cancelShare ?? defaultCancelShare);
        const cancelDelayMs = random.getFloat() * 4_000;
        // Not drawn where no caller leaves, so that the seeds of other shapes keep their jobs.
        const mustLeave = workload.leaveShare !== undefined && random.getFloat() < workload.leaveShare;
        record.jobs.set(job.id, job);
        if (mustLeave) {
            await this.submitAndLeave(job);
            await this.cancel(job);
            return;
        }
        await this.submit(job);
        if (mustCancel) {
            await wait(cancelDelayMs);
            await this.cancel(job);
        }
    }

    private async submit(job: RecordedJob): Promise<void> {
        const { record, random } = this.options;
        const content = encodeJob(job.spec, job.steps);
        while (job.attempts.length < maxAttempts && job.acceptedAt === undefined && !this.isStopped) {
            const caller = this.pickCaller();
            const sentAt = record.now;
            const host = caller.hostName;
            const attempt = { host, sentAt, status: 0 };
            job.attempts.push(attempt);
            const { status } = await caller.send("POST", job, content);
            attempt.status = status;
            if (status >= 200 && status < 300) {
                job.acceptedAt = record.now;
            }
            else if (status === 429 || status === 503 || status === 404) {
                // Some callers give up after a rejection, others try again.
                if (random.getFloat() < 0.3) {
                    return;
                }
                await wait(300 + random.getFloat() * 1_000);
            }
            else {
                await wait(random.getFloat() * 500);
            }
        }
    }

    /** Submits a job once, without the patience to wait for a slow host. */
    private async submitAndLeave(job: RecordedJob): Promise<void> {
        const { record } = this.options;
        const caller = this.pickCaller();
        const attempt = { host: caller.hostName, sentAt: record.now, status: 0 };
        job.attempts.push(attempt);
        const { status } = await caller.send("POST", job, encodeJob(job.spec, job.steps), shortPatienceMs);
        attempt.status = status;
        if (status >= 200 && status < 300) {
            job.acceptedAt = record.now;
        }
    }

    private async cancel(job: RecordedJob): Promise<void> {
        const { record } = this.options;
        job.cancelSentAt = record.now;
        while (job.cancelledAt === undefined && !this.isStopped) {
            const { status } = await this.pickCaller().send("DELETE", job);
            if (status >= 200 && status < 300 || status === 410) {
                job.cancelledAt = record.now;
                return;
            }
            await wait(300);
        }
    }

    private async askForJob(): Promise<void> {
        const jobs = [...this.options.record.jobs.values()].slice(-40).filter(job => job.acceptedAt !== undefined);
        const job = this.options.random.pickOne(jobs);
        if (job !== undefined) {
            await this.ask(this.pickCaller(), job);
        }
    }

    private async ask(caller: Caller, job: RecordedJob): Promise<void> {
        const { record } = this.options;
        const host = caller.hostName;
        const { status, content } = await caller.send("GET", job);
        const state = status === 410 ? "unknown" : decodeJobState(content);
        if (state === undefined) {
            return;
        }
        if (job.states.at(-1)?.state !== state) {
            job.states.push({ at: record.now, host, state });
        }
        if (state === "succeeded") {
            job.succeededAt ??= record.now;
        }
    }
}

function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
