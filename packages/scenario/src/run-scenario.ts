/**
 * Runs the steps of a scenario in a world.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { readFileSync } from "node:fs";
import { match } from "ts-pattern";
import { checkExpectation } from "./check-expectation.js";
import { parseScenario } from "./parse-scenario.js";
import type { ScenarioWorld } from "./scenario-world.js";
import { isTaskNamed } from "./task-names.js";
import type { Action, Expectation, Step } from "./types.js";

/** Options of `runScenario`. */
export interface RunOptions {
    /** Called before each step. */
    readonly onStep?: (step: Step) => void;
    /** Milliseconds between two checks of an expectation with `within`. Default 50. */
    readonly pollMs?: number;
}

/** What a finished scenario did. */
export interface ScenarioSummary {
    readonly steps: number;
    readonly expectations: number;
}

/**
 * Runs the scenario in a file. The world is not closed.
 *
 * @example
 * ```ts
 * const result = await runScenarioFile("scenarios/store-outage.scenario", world);
 * if (!result.ok) throw new Error(result.val.message);
 * ```
 */
export function runScenarioFile(
    file: string,
    world: ScenarioWorld,
    options: RunOptions = {},
): Promise<Result<ScenarioSummary, Failure>> {
    return runScenario(file, readFileSync(file, "utf8"), world, options);
}

/**
 * Runs the text of a scenario; `file` names it in messages. Fails with `scenario-invalid` before the first step, or with
 * `scenario-failed` at the first step that cannot be carried out or expectation that does not hold.
 */
export async function runScenario(
    file: string,
    text: string,
    world: ScenarioWorld,
    options: RunOptions = {},
): Promise<Result<ScenarioSummary, Failure>> {
    const steps = parseScenario(file, text);
    if (!steps.ok) {
        return steps;
    }
    for (const step of steps.val) {
        options.onStep?.(step);
        const result = await runStep(step, world, options.pollMs ?? 50);
        if (!result.ok) {
            const message = `${file}:${step.line}:${step.column}: ${result.val.message}`;
            return Err(createFailure("scenario-failed", message, result.val.verdict));
        }
    }
    const expectations = steps.val.filter(step => step.kind === "expect").length;
    return Ok({ steps: steps.val.length, expectations });
}

async function runStep(action: Action, world: ScenarioWorld, pollMs: number): Promise<Result<void, Failure>> {
    return match(action)
        .returnType<Promise<Result<void, Failure>>>()
        .with(
            { kind: "start" },
            ({ name }) =>
                world.isEndpoint(name)
                    ? world.applyControl({ action: "restart", target: name })
                    : world.startProcess(name),
        )
        .with(
            { kind: "stop" },
            ({ name }) =>
                world.isEndpoint(name) ? world.applyControl({ action: "kill", target: name }) : world.stopProcess(name),
        )
        .with(
            { kind: "kill" },
            ({ name }) =>
                world.isEndpoint(name) ? world.applyControl({ action: "kill", target: name }) : world.killProcess(name),
        )
        .with(
            { kind: "pause" },
            ({ name }) =>
                world.isEndpoint(name)
                    ? world.applyControl({ action: "hang", target: name })
                    : world.pauseProcess(name),
        )
        .with(
            { kind: "resume" },
            ({ name }) =>
                world.isEndpoint(name)
                    ? world.applyControl({ action: "go-on", target: name })
                    : world.resumeProcess(name),
        )
        .with({ kind: "setStore" }, ({ isUp }) => world.applyControl({ action: isUp ? "up" : "down", target: "store" }))
        .with({ kind: "setLink" }, ({ from, to, isOpen }) => world.setLink(from, to, isOpen))
        .with({ kind: "slow" }, ({ target, delayMs }) => world.applyControl({ action: "slow", target, delayMs }))
        .with(
            { kind: "loseAnswers" },
            ({ target, count }) => world.applyControl({ action: "lose-answers", target, count }),
        )
        .with({ kind: "expireLease" }, ({ task }) => expireLease(task, world))
        .with({ kind: "revokeKey" }, ({ name, at }) => world.revokeKey(name, at))
        .with({ kind: "declare" }, write => world.writeResource(write, "create"))
        .with({ kind: "change" }, write => world.writeResource(write, "replace"))
        .with(
            { kind: "drain" },
            ({ name, isDraining }) => world.applyControl({ action: "drain", target: name, isDraining }),
        )
        .with(
            { kind: "setExecutor" },
            ({ target, mode, queue, delayMs }) =>
                world.applyControl({ action: "executor-behaviour", target, mode, queue, delayMs }),
        )
        .with(
            { kind: "setFailing" },
            ({ target, isFailing }) => world.applyControl({ action: "fail-tasks", target, isFailing }),
        )
        .with({ kind: "setHostList" }, ({ mode }) => world.applyControl({ action: "host-list", mode }))
        .with({ kind: "submitJob" }, job => world.submitJob(job))
        .with({ kind: "submitRequests" }, submission => world.submitRequests(submission))
        .with({ kind: "wait" }, async ({ durationMs }) => {
            await world.wait(durationMs);
            return Ok(undefined);
        })
        .with(
            { kind: "expect" },
            ({ expectation, withinMs, text }) => pollExpectation(expectation, withinMs, text, world, pollMs),
        )
        .exhaustive();
}

async function expireLease(name: string, world: ScenarioWorld): Promise<Result<void, Failure>> {
    const observation = await world.observe();
    if (!observation.ok) {
        return observation;
    }
    const running = observation.val.report.running.find(({ task }) => isTaskNamed(task, name));
    return world.applyControl({ action: "lapse-lease", task: running?.task ?? name });
}

async function pollExpectation(
    expectation: Expectation,
    withinMs: number,
    text: string,
    world: ScenarioWorld,
    pollMs: number,
): Promise<Result<void, Failure>> {
    const endsAt = world.getNow() + withinMs;
    for (;;) {
        const problem = await findProblem(expectation, world);
        if (!problem.ok) {
            return problem;
        }
        if (problem.val === undefined) {
            return Ok(undefined);
        }
        if (world.getNow() >= endsAt) {
            return Err(createFailure("scenario-failed", `"${text}" does not hold: ${problem.val}`, "ran"));
        }
        await world.wait(Math.min(pollMs, endsAt - world.getNow()));
    }
}

async function findProblem(
    expectation: Expectation,
    world: ScenarioWorld,
): Promise<Result<string | undefined, Failure>> {
    if (expectation.kind === "process") {
        const state = await world.getProcessState(expectation.name);
        const wanted = expectation.state;
        return state.map(found => {
            const holds = found === wanted || found === "ready" && wanted === "running";
            return holds ? undefined : `process "${expectation.name}" is ${found}`;
        });
    }
    const observation = await world.observe();
    return observation.map(found => checkExpectation(expectation, found));
}
