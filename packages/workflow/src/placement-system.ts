/** Gives room to waiting tasks, the most urgent step first. */
import type { ExecutorId, RackId } from "@waxwingroute/core";
import { multiplyResources } from "@waxwingroute/core";
import type { Candidate } from "./candidates.js";
import { countRoom, hasTicket, isEligible, needsAdvice, sortCandidates } from "./candidates.js";
import type { RankedStep } from "./rank.js";
import type { ExecutorRow, RunRow, StepRow, TaskRow } from "./rows.js";
import type { Reservation, SchedulerState } from "./state.js";
import { allowsMore, countFits, getChargedResources, listWaitingTasks } from "./state.js";

/** Whether a gang started; `noRoom`: it could start if executors were free. */
type GangResult = "placed" | "noRoom" | "overLimit";

/** Decides the starts of one tick. */
export function placeTasks(state: SchedulerState, now: number, ranked: readonly RankedStep[]): void {
    state.reservation = undefined;
    for (const { step, slackMs } of ranked) {
        const waiting = listWaitingTasks(step);
        const isWholeGang = step.spec.isGang && waiting.length === step.tasks.length;
        if (waiting.length === 0 || step.spec.isGang && !isWholeGang) {
            continue;
        }
        const candidates = listCandidates(state, now, step);
        if (step.spec.isGang) {
            const result = placeGang(state, now, step, waiting, candidates, slackMs);
            if (result === "noRoom") {
                state.reservation ??= reserveExecutors(state, now, step);
            }
        }
        else {
            placeIndependentTasks(state, now, step, waiting, candidates, slackMs);
        }
    }
}

function listCandidates(state: SchedulerState, now: number, step: StepRow): Candidate[] {
    const candidates: Candidate[] = [];
    for (const executor of listTicketHolders(state, step)) {
        if (isEligible(state, now, step, executor) && hasTicket(state, now, step, executor)) {
            const fits = countRoom(step, executor);
            if (fits > 0) {
                candidates.push({ executor, fits });
            }
        }
    }
    return sortCandidates(step, candidates);
}

/** Returns the executors worth looking at: with advice, only those with a grant. */
function* listTicketHolders(state: SchedulerState, step: StepRow): Iterable<ExecutorRow> {
    if (!needsAdvice(state, step)) {
        yield* state.executors.values();
        return;
    }
    for (const id of step.advice.tickets.keys()) {
        const executor = state.executors.get(id);
        if (executor !== undefined) {
            yield executor;
        }
    }
}

function placeIndependentTasks(
    state: SchedulerState,
    now: number,
    step: StepRow,
    waiting: readonly TaskRow[],
    candidates: readonly Candidate[],
    slackMs: number,
): void {
    const remaining = [...waiting];
    for (const { executor, fits } of selectOneRack(step, candidates, waiting.length)) {
        for (let used = 0; used < fits && remaining.length > 0; used++) {
            if (!allowsMore(step.occurrence.job.team, getChargedResources(step))) {
                return;
            }
            startTask(state, now, remaining.shift()!, executor, getNextRun(state, step), slackMs);
        }
    }
}

/** Places all members with one run number, or none of them. */
function placeGang(
    state: SchedulerState,
    now: number,
    step: StepRow,
    waiting: readonly TaskRow[],
    candidates: readonly Candidate[],
    slackMs: number,
): GangResult {
    const total = candidates.reduce((sum, candidate) => sum + candidate.fits, 0);
    const needed = multiplyResources(getChargedResources(step), waiting.length);
    if (!allowsMore(step.occurrence.job.team, needed)) {
        return "overLimit";
    }
    if (total < waiting.length) {
        return "noRoom";
    }
    // The emptiest executors first: fewer hosts a gang means fewer orders that can fail.
    const roomiest = selectOneRack(
        step,
        [...candidates].sort((first, second) => second.fits - first.fits),
        waiting.length,
    );
    const run = getNextRun(state, step);
    const remaining = [...waiting];
    for (const { executor, fits } of roomiest) {
        for (let used = 0; used < fits && remaining.length > 0; used++) {
            startTask(state, now, remaining.shift()!, executor, run, slackMs);
        }
    }
    return "placed";
}

/** Returns a run number above every one that the step has used, also under earlier owners. */
function getNextRun(state: SchedulerState, step: StepRow): number {
    return Math.max(step.lastRun, state.firstRun) + 1;
}

/** Returns only the executors of one rack if the step prefers that and a rack can hold all its tasks. */
function selectOneRack(step: StepRow, candidates: readonly Candidate[], count: number): readonly Candidate[] {
    if (!step.spec.prefersOneRack) {
        return candidates;
    }
    const fitsByRack = new Map<RackId | undefined, number>();
    for (const { executor, fits } of candidates) {
        fitsByRack.set(executor.rack, (fitsByRack.get(executor.rack) ?? 0) + fits);
    }
    for (const [rack, fits] of fitsByRack) {
        if (rack !== undefined && fits >= count) {
            return candidates.filter(candidate => candidate.executor.rack === rack);
        }
    }
    return candidates;
}

function startTask(
    state: SchedulerState,
    now: number,
    task: TaskRow,
    executor: ExecutorRow,
    number: number,
    slackMs: number,
): void {
    const step = task.step;
    const run: RunRow = {
        task,
        number,
        executor: executor.id,
        resources: getChargedResources(step),
        startedAt: now,
        state: "starting",
        percent: 0,
        progressAt: now,
        tailMs: undefined,
        pacePercent: 100,
    };
    state.addRun(run);
    state.starts.push({
        executor: executor.id,
        task: task.key,
        run: number,
        payload: step.occurrence.job.submission.spec.payload,
        checkpoint: task.checkpoint,
        ticket: step.advice.tickets.get(executor.id)?.ticket,
        slackMs,
    });
    const job = step.occurrence.job;
    if (job.phase === "queued") {
        job.phase = "running";
        state.changes.push({ job: job.id, queue: job.submission.queue, state: "running" });
    }
}

/** Keeps executors for a gang that does not fit yet: the ones that may run it and have the most room, until they suffice. */
function reserveExecutors(state: SchedulerState, now: number, step: StepRow): Reservation | undefined {
    const resources = getChargedResources(step);
    const known: ExecutorRow[] = [];
    for (const executor of listTicketHolders(state, step)) {
        if (isEligible(state, now, step, executor)) {
            known.push(executor);
        }
    }
    known.sort((first, second) => countRoom(step, second) - countRoom(step, first));
    const executors = new Set<ExecutorId>();
    let slots = 0;
    for (const executor of known) {
        if (slots >= step.tasks.length) {
            break;
        }
        executors.add(executor.id);
        slots += countFits(resources, executor.capacity);
    }
    return slots >= step.tasks.length ? { step, executors } : undefined;
}
