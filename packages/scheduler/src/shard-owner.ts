/**
 * A shard under one right: recovers what runs, then places tasks and routes requests until the right is lost.
 *
 * One object serves one right. A new right makes a new object, which recovers from the journal and from the workers' and
 * executors' own lists.
 */
import { createFailure, Err, Ok, parseTaskId, subtractResources, toId } from "@waxwingroute/core";
import type { ExecutorId, Failure, JobId, RequestKey, Result, TaskId } from "@waxwingroute/core";
import type { Journal, JournalJob } from "@waxwingroute/journal";
import { PlacementEngine } from "@waxwingroute/placement";
import type { Decision, PreemptDecision, StartDecision, StopDecision } from "@waxwingroute/placement";
import type { TaskOutcome, WorkerTask } from "@waxwingroute/platform";
import { RequestRouter } from "@waxwingroute/routing";
import type { RouterDecision } from "@waxwingroute/routing";
import type { ExecuteRequest, ExecuteResponse } from "@waxwingroute/transport";
import { match } from "ts-pattern";
import { TaskState } from "./job-row.js";
import { JobTracker } from "./job-tracker.js";
import type { PlacementRight, ShardContext } from "./shard-context.js";
import type { ShardGrants } from "./shard-grants.js";
import { TeamSync } from "./team-sync.js";
import { UnsettledTasks } from "./unsettled-tasks.js";
import { WorkerFleet } from "./worker-fleet.js";
import type { WorkerLink } from "./worker-link.js";

/** Decisions of one tick; the rest waits for the next one, so that a burst does not delay heartbeats. */
const maxDecisionsPerTick = 200;
/** Tasks that a job without safe repeats may have unproven after a crash. */
const windowSize = 16;

export interface ShardOwnerOptions {
    readonly context: ShardContext;
    readonly right: PlacementRight;
    readonly grants: ShardGrants;
    /** Ids of jobs and their tasks as of the last read of the journal, for a takeover without the store. */
    readonly journalJobs: Iterable<JournalJob>;
    /** Absent while the store is down. */
    readonly journal: Journal | undefined;
}

export class ShardOwner {
    readonly engine: PlacementEngine;
    readonly router: RequestRouter;
    readonly tracker: JobTracker;
    readonly fleet: WorkerFleet;
    private readonly unsettled: UnsettledTasks;
    private readonly teams: TeamSync;
    private readonly knownExecutors = new Set<ExecutorId>();
    private isStopping = false;
    private hasRecovered = false;

    constructor(private readonly options: ShardOwnerOptions) {
        const { context, right, grants, journal } = options;
        const { clock, random, shard, settings } = context;
        this.engine = new PlacementEngine({ objective: settings.objective, windowSize });
        this.router = new RequestRouter({
            clock,
            random,
            shard,
            epoch: right.epoch,
            canSend: () => right.canPlace(),
            findQueueLimit: queue => context.configuration.findQueue(queue)?.spec.maximumWaiting,
            startInFlightMs: settings.ownership.startInFlightMs,
            onDecision: decision => this.logRoutingDecision(decision),
        });
        this.tracker = new JobTracker(context, this.engine);
        this.tracker.journal = journal;
        this.fleet = new WorkerFleet(context, right, {
            onTaskRunning: (task, link) => this.tracker.recordRunning(task, link.worker),
            onUnplacedTask: (link, reported) => this.handleUnplacedTask(link, reported),
            onTaskEnded: (task, link, outcome) => this.handleTaskEnded(task, link, outcome),
            onTaskLost: (task, link, reason) => this.handleTaskLost(task, link, reason),
            onWorkerChanged: link => this.updateWorker(link),
        });
        this.unsettled = new UnsettledTasks(context, this.engine, this.tracker, this.fleet);
        this.teams = new TeamSync(context, this.engine, this.router, grants);
    }

    /** Whether what ran before this right is known; nothing is placed or served before. */
    get isRecovered(): boolean {
        return this.hasRecovered;
    }

    /** Lists what workers and executors run and restores the jobs. Placing begins when the right allows it. */
    async recover(): Promise<void> {
        const startedAt = this.options.context.clock.getNow();
        this.fleet.refreshEndpoints();
        this.refreshExecutors();
        await Promise.all([this.fleet.refreshReports(), this.listExecutors()]);
        this.teams.refresh();
        this.tracker.restoreJobs(this.options.journalJobs, this.options.journal !== undefined);
        const adopted = this.adoptReportedTasks(reported => reported.outcome === undefined);
        // Outcomes come second: a worker can still keep that of an earlier run of a task that now runs on another worker.
        this.adoptReportedTasks(reported => reported.outcome !== undefined);
        this.unsettled.collect();
        this.tracker.finishEndedJobs();
        this.hasRecovered = true;
        this.options.context.logger.write("info", "shard recovered", {
            shard: this.options.context.shard,
            epoch: this.options.right.epoch,
            jobs: this.tracker.jobs.size,
            workers: this.fleet.links.size,
            adoptedTasks: adopted,
            unsettledTasks: this.unsettled.size,
            durationMs: Math.round(this.options.context.clock.getNow() - startedAt),
        });
    }

    /** Runs the systems once. */
    tick(now: number): void {
        if (!this.hasRecovered) {
            return;
        }
        this.teams.refresh();
        this.fleet.poll(now);
        this.unsettled.settle(now);
        this.tracker.tick();
        this.router.tick(now);
        if (!this.isStopping && this.options.right.canPlace()) {
            const { decisions } = this.engine.tick(now, { maxDecisions: maxDecisionsPerTick });
            decisions.forEach(decision => this.performDecision(decision));
        }
    }

    /** Applies a changed host list or changed drains. */
    refreshEndpoints(): void {
        this.fleet.refreshEndpoints();
        this.refreshExecutors();
        for (const link of this.fleet.links.values()) {
            this.updateWorker(link);
        }
    }

    /** Takes a journal that could be opened only after the takeover. */
    applyJournal(journal: Journal): void {
        this.tracker.applyJournal(journal);
        this.unsettled.collect();
    }

    async execute(request: ExecuteRequest, signal?: AbortSignal): Promise<Result<ExecuteResponse, Failure>> {
        const { clock } = this.options.context;
        const result = await this.router.execute({
            team: toId(request.team),
            queue: toId(request.queue),
            requestKey: request.requestKey === undefined ? undefined : toId<RequestKey>(request.requestKey),
            isIdempotent: request.isIdempotent,
            deadline: clock.getNow() + request.timeoutMs,
            body: request.body,
            contentType: request.contentType,
            signal,
        });
        if (result.err) {
            return result;
        }
        const { requestKey, executor, status, contentType, body } = result.val;
        return Ok({ requestKey, executor, status, contentType, body });
    }

    explainJob(job: JobId): Result<readonly string[], Failure> {
        const row = this.tracker.jobs.get(job);
        if (row === undefined) {
            return Err(createFailure("unknown-job", `job "${job}" does not exist`, "notRun"));
        }
        const explanation = this.engine.explain(job);
        const status = row.toStatus();
        const reasons = [
            `state: ${status.state}; ${status.waiting} waiting, ${status.running} running, ${status.succeeded} succeeded of ${status.taskCount}`,
        ];
        if (explanation !== undefined) {
            reasons.push(`${explanation.reason}: ${explanation.message}`);
        }
        if (row.countTasks(TaskState.Unsettled) > 0) {
            reasons.push(
                `unsettled: ${row.countTasks(TaskState.Unsettled)} tasks may still run on workers that do not answer`,
            );
        }
        if (row.countTasks(TaskState.MayHaveRun) > 0) {
            reasons.push(
                `mayHaveRun: ${
                    row.countTasks(TaskState.MayHaveRun)
                } tasks may have run; they are not started again, because the job is not safeToRepeat`,
            );
        }
        return Ok(reasons);
    }

    /** Stops placing, lets requests in progress end for up to `waitMs`, and commits outcomes. */
    async stop(waitMs: number): Promise<void> {
        this.isStopping = true;
        const { clock } = this.options.context;
        const deadline = clock.getNow() + waitMs;
        await this.router.stop(waitMs);
        while (this.tracker.hasUncommitted && clock.getNow() < deadline) {
            await clock.wait(20);
        }
    }

    /** Ends everything at once after the right is lost. */
    close(): void {
        this.isStopping = true;
        void this.router.stop(0);
        this.tracker.journal?.close();
    }

    private performDecision(decision: Decision): void {
        const link = this.fleet.links.get(decision.worker);
        if (link === undefined) {
            return;
        }
        match(decision)
            .with({ kind: "start" }, start => void this.performStart(start, link))
            .with({ kind: "preempt" }, preempt => void this.performPreempt(preempt, link))
            .with({ kind: "stop" }, stop => void this.performStop(stop, link))
            .exhaustive();
    }

    private async performStart(decision: StartDecision, link: WorkerLink): Promise<void> {
        const { context, right } = this.options;
        const { task, team, job, worker, resources, reason, rejectedCount } = decision;
        const row = this.tracker.jobs.get(job);
        if (row === undefined || !right.canPlace()) {
            this.tracker.recordNotStarted(task);
            return;
        }
        this.tracker.recordPlaced(task, worker, reason);
        context.logger.write("info", "task placed", {
            task,
            team,
            worker,
            reason,
            rejectedWorkers: rejectedCount,
            epoch: right.epoch,
        });
        const result = await this.fleet.startTask(link, {
            task,
            team,
            job,
            resources,
            command: row.spec.command,
            leaseMs: context.settings.tasks.leaseMs,
            expiresInMs: context.settings.ownership.startInFlightMs,
            epoch: right.epoch,
        });
        if (result.ok) {
            this.tracker.recordRunning(task, worker);
            return;
        }
        const { code, verdict, message } = result.val;
        context.logger.write("warn", "task start failed", { task, worker, code, verdict, error: message });
        if (verdict === "notRun") {
            this.fleet.removeTask(link, task, false);
            this.tracker.recordNotStarted(task);
        }
        else {
            this.engine.recordStartFailed(context.clock.getNow(), task, verdict);
        }
    }

    private async performPreempt(decision: PreemptDecision, link: WorkerLink): Promise<void> {
        const { context } = this.options;
        const { task, worker, reason, forJob, rejectedCount } = decision;
        context.logger.write("info", "task preempted", { task, worker, reason, forJob, rejectedTasks: rejectedCount });
        this.tracker.markPreempting(task);
        await this.retryUntilAccepted(() => link.client.checkpoint(task), task, link);
    }

    private async performStop(decision: StopDecision, link: WorkerLink): Promise<void> {
        const { task, worker, reason } = decision;
        this.options.context.logger.write("info", "task stopped", { task, worker, reason });
        await this.retryUntilAccepted(() => link.client.stop(task), task, link);
    }

    /** Repeats a call that has the same effect when repeated, until the worker took it or the task ended. */
    private async retryUntilAccepted(
        call: () => Promise<Result<void, Failure>>,
        task: TaskId,
        link: WorkerLink,
    ): Promise<void> {
        while (link.tasks.has(task) && this.options.right.canPlace()) {
            const result = await call();
            if (result.ok) {
                return;
            }
            await this.options.context.clock.wait(500);
        }
    }

    private handleTaskEnded(task: TaskId, link: WorkerLink, outcome: TaskOutcome): void {
        link.tasks.delete(task);
        this.tracker.recordEnded(task, link.worker, outcome, () => this.fleet.removeTask(link, task, true));
    }

    private handleTaskLost(task: TaskId, link: WorkerLink, reason: string): void {
        link.tasks.delete(task);
        this.tracker.recordLost(task, link.worker, reason);
    }

    private handleUnplacedTask(link: WorkerLink, reported: WorkerTask): void {
        if (this.unsettled.has(reported.task)) {
            this.adoptReportedTask(link, reported);
        }
    }

    /** Takes over the reported tasks that `isWanted` selects and returns how many of them run. */
    private adoptReportedTasks(isWanted: (reported: WorkerTask) => boolean): number {
        let adopted = 0;
        for (const link of this.fleet.links.values()) {
            for (const reported of link.lastReport?.tasks.filter(isWanted) ?? []) {
                adopted += this.adoptReportedTask(link, reported) ? 1 : 0;
            }
            if (this.fleet.updateUntrackedUsage(link)) {
                this.updateWorker(link);
            }
        }
        return adopted;
    }

    /** Takes over a task that a worker reports. Returns whether it runs. */
    private adoptReportedTask(link: WorkerLink, reported: WorkerTask): boolean {
        const { task, outcome } = reported;
        const state = this.tracker.getState(task);
        const isExpected = state === TaskState.Waiting || state === TaskState.Unsettled;
        if (!isExpected) {
            return false;
        }
        this.unsettled.release(task);
        const parsed = parseTaskId(task);
        const now = this.options.context.clock.getNow();
        const { team, resources } = reported;
        const adopted = parsed === undefined
            ? Err(createFailure("unknown-task", `"${task}" is not a task id`, "mayHaveRun"))
            : this.engine.adoptTask(now, { task, team, worker: link.worker, resources });
        if (!adopted.ok) {
            this.options.context.logger.write("error", "running task cannot be adopted", {
                task,
                worker: link.worker,
                error: adopted.val.message,
            });
            return false;
        }
        this.fleet.adoptTask(link, task);
        this.tracker.setState(task, TaskState.Running);
        if (outcome !== undefined) {
            this.handleTaskEnded(task, link, outcome);
            return false;
        }
        return true;
    }

    private updateWorker(link: WorkerLink): void {
        this.engine.updateWorker({
            worker: link.worker,
            rack: link.address.rack,
            capacity: subtractResources(link.lastReport?.capacity ?? link.address.capacity, link.untrackedUsage),
            isInRotation: this.fleet.isInRotation(link),
        });
    }

    private refreshExecutors(): void {
        const { catalog, shard, endpoints, configuration } = this.options.context;
        for (const { address, isLeaving } of catalog.listExecutors(shard)) {
            const { executor, slots, connections, queues } = address;
            this.router.updateExecutor({
                executor,
                access: endpoints.openExecutor(address),
                slots,
                connections,
                queues,
                isDraining: isLeaving || configuration.isDrained("executor", executor),
            });
            this.knownExecutors.add(executor);
        }
    }

    private async listExecutors(): Promise<void> {
        const { catalog, shard, endpoints } = this.options.context;
        await Promise.all(
            catalog.listExecutors(shard).map(async ({ address }) => {
                const result = await endpoints.openExecutor(address).list();
                if (result.ok) {
                    this.router.adoptAttempts(address.executor, result.val.running);
                }
            }),
        );
    }

    private logRoutingDecision(decision: RouterDecision): void {
        const { kind, requestKey, attempt, team, queue, executor, code, verdict, elapsedMs } = decision;
        this.options.context.logger.write("info", `request ${kind}`, {
            requestKey,
            attempt,
            team: team,
            queue,
            executor,
            code,
            verdict,
            elapsedMs: elapsedMs === undefined ? undefined : Math.round(elapsedMs * 10) / 10,
        });
    }
}
