/**
 * Checks expectations against what the stand-ins recorded. Pure.
 */
import type { ResourceName, TaskId, WorkerId } from "@waxwingroute/core";
import type { TaskRun } from "@waxwingroute/stand-ins";
import { match, P } from "ts-pattern";
import type { Observation, RequestRecord } from "./scenario-world.js";
import { getJobName, isTaskNamed } from "./task-names.js";
import type { Bound, Expectation, TaskGroup, TaskState } from "./types.js";

/** Most offending items that a message lists. */
const maxListed = 5;

/** Returns what was found instead of the expectation, or `undefined` if it holds. `process` is checked by the runner. */
export function checkExpectation(
    expectation: Exclude<Expectation, { kind: "process"; }>,
    observation: Observation,
): string | undefined {
    const { report } = observation;
    return match(expectation)
        .with({ kind: "noOvercommit" }, () => checkNone("overcommit", report.overcommits))
        .with({ kind: "noTaskInTwoPlaces" }, () => checkNone("task in two places", report.tasksInTwoPlaces))
        .with({ kind: "noRequestRunTwice" }, () => checkRequestsRunOnce(observation))
        .with({ kind: "noExecutorOverload" }, () => checkNone("executor above its bounds", report.overloads))
        .with({ kind: "noRefusedWorkRun" }, () => checkRefusedWork(observation))
        .with({ kind: "everyAnswerWhole" }, () => checkAnswers(observation.requests))
        .with({ kind: "teamBound" }, ({ name, amount, value }) => checkTeamBound(observation, name, amount, value))
        .with({ kind: "task" }, ({ name, isRunning }) => checkTask(observation, name, isRunning))
        .with({ kind: "tasks" }, ({ state, bound, group }) => {
            return checkBound(bound, countTasks(observation, state, group), `tasks ${state}`);
        })
        .with({ kind: "requests" }, ({ state, bound }) => {
            const count = observation.requests.filter(request => request.state === state).length;
            return checkBound(bound, count, `requests ${state}`, describeRequests(observation.requests));
        })
        .with({ kind: "job" }, ({ name, state }) => {
            const job = observation.jobs.get(name);
            const found = job === undefined ? "was not submitted" : `is ${job.state}: ${job.message ?? "no message"}`;
            return job?.state === state ? undefined : `job "${name}" ${found}`;
        })
        .exhaustive();
}

function checkNone(what: string, found: readonly unknown[]): string | undefined {
    if (found.length === 0) {
        return undefined;
    }
    const listed = found.slice(0, maxListed).map(item => JSON.stringify(item)).join("; ");
    return `${found.length} times ${what}: ${listed}`;
}

function checkBound(bound: Bound, count: number, what: string, details = ""): string | undefined {
    const holds = match(bound)
        .with({ kind: "atLeast" }, ({ value }) => count >= value)
        .with({ kind: "atMost" }, ({ value }) => count <= value)
        .with({ kind: "exactly" }, ({ value }) => count === value)
        .exhaustive();
    return holds ? undefined : `${count} ${what}${details}`;
}

function checkTask({ report }: Observation, name: string, isRunning: boolean): string | undefined {
    const isFound = report.running.some(({ task }) => isTaskNamed(task, name));
    if (isFound === isRunning) {
        return undefined;
    }
    const last = report.taskRuns.findLast(run => isTaskNamed(run.task, name));
    const found = last === undefined ? "never started" : `last run on ${last.worker}: ${last.outcome ?? "running"}`;
    return `task "${name}" is ${isFound ? "" : "not "}running (${found})`;
}

function countTasks(observation: Observation, state: TaskState, group: TaskGroup | undefined): number {
    const { report, zones } = observation;
    const isInGroup = (task: TaskId, team: string, worker: WorkerId | undefined) =>
        match(group)
            .with(undefined, () => true)
            .with({ by: "job" }, ({ name }) => getJobName(task) === name)
            .with({ by: "team" }, ({ name }) => team === name)
            .with({ by: "zone" }, ({ name }) => zones.get(worker ?? "") === name)
            .exhaustive();
    if (state === "running") {
        return report.running.filter(({ task, team, workers }) => isInGroup(task, team, workers[0])).length;
    }
    const runs = report.taskRuns.filter(run => isInGroup(run.task, run.team, run.worker));
    // A task that was started again counts once.
    return new Set(runs.filter(run => state === "started" || run.outcome === state).map(run => run.task)).size;
}

function checkRequestsRunOnce({ report, requests }: Observation): string | undefined {
    const byKey = checkNone("request key run twice", report.repeatedRequests);
    if (byKey !== undefined) {
        return byKey;
    }
    // The key alone is not enough: a system that gives a retry a new key would not show.
    const counts = countMarkers(report.requestRuns.map(run => run.bodyStart));
    const repeated = requests.filter(({ marker, isIdempotent }) => !isIdempotent && (counts.get(marker) ?? 0) > 1);
    return checkNone("request run twice", repeated.map(({ marker }) => marker));
}

function checkRefusedWork({ report, requests, jobs }: Observation): string | undefined {
    const markers = countMarkers(report.requestRuns.map(run => run.bodyStart));
    const refusedRequests = requests.filter(({ marker, verdict }) => verdict === "notRun" && markers.has(marker));
    const refusedJobs = new Set([...jobs].filter(([, job]) => job.verdict === "notRun").map(([name]) => name));
    const runs = report.taskRuns.filter(run => refusedJobs.has(getJobName(run.task)));
    return checkNone("request run that was refused as not run", refusedRequests.map(({ marker }) => marker))
        ?? checkNone("task run of a job that was refused as not run", runs);
}

/** Counts bodies by marker: the part before the first space. */
function countMarkers(bodies: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const body of bodies) {
        const marker = body.split(" ", 1)[0] ?? "";
        counts.set(marker, (counts.get(marker) ?? 0) + 1);
    }
    return counts;
}

function checkAnswers(requests: readonly RequestRecord[]): string | undefined {
    const answered = requests.filter(request => request.state === "answered");
    if (answered.length === 0) {
        return "no request was answered, so that there is nothing to check";
    }
    return checkNone("answer not whole", answered.filter(request => request.isWhole !== true));
}

function checkTeamBound(
    { report }: Observation,
    team: string,
    amount: ResourceName | "slots",
    bound: number,
): string | undefined {
    const intervals = amount === "slots"
        ? report.requestRuns.filter(run => run.team === team).map(run => ({ ...run, amount: 1 }))
        : report.taskRuns.filter(run => run.team === team).map(run => ({ ...run, amount: getAmount(run, amount) }));
    const events = intervals.flatMap(({ startedAt, endedAt, amount: value }) => [
        { at: startedAt, change: value },
        ...endedAt === undefined ? [] : [{ at: endedAt, change: -value }],
    ]);
    // At one moment, ends come first: a task that ends as another starts does not add to it.
    events.sort((first, second) => first.at - second.at || first.change - second.change);
    let current = 0;
    let peak = 0;
    for (const event of events) {
        current += event.change;
        peak = Math.max(peak, current);
    }
    return peak <= bound ? undefined : `team "${team}" had ${peak} ${amount} at one time`;
}

const getAmount = (run: TaskRun, amount: ResourceName) => run.resources[amount];

function describeRequests(requests: readonly RequestRecord[]): string {
    const states = ["answered", "refused", "lost", "waiting"] as const;
    const counts = states.map(state => `${requests.filter(request => request.state === state).length} ${state}`);
    const messages = requests.flatMap(request =>
        match(request).with({ message: P.string }, ({ message }) => [message]).otherwise(() => [])
    );
    const listed = [...new Set(messages)].slice(0, maxListed);
    return ` (${counts.join(", ")}${listed.length === 0 ? "" : `; ${listed.join("; ")}`})`;
}
