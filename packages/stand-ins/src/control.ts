/**
 * Control commands that inject faults, for `POST /control` and for the scenario runner.
 */
import type { Failure, QueueId, Result, TaskId } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import { match } from "ts-pattern";
import { z } from "zod";
import type { Fleet } from "./fleet.js";

const nameSchema = z.string().min(1);
const durationSchema = z.number().min(0);
const countSchema = z.number().int().min(0);

/**
 * One command. `target` is `store`, `host-list`, `platform`, a zone, a worker or an executor. `source` is the zone or
 * host from which calls come.
 */
export const controlSchema = z.discriminatedUnion("action", [
    /** Refuses connections; calls in flight get no answer. */
    z.strictObject({ action: z.literal("down"), target: nameSchema }),
    /** Accepts connections again. */
    z.strictObject({ action: z.literal("up"), target: nameSchema }),
    /** Delays each call by `delayMs`; 0 ends the delay. */
    z.strictObject({ action: z.literal("slow"), target: nameSchema, delayMs: durationSchema }),
    /** Holds calls until `go-on`; then they take effect. */
    z.strictObject({ action: z.literal("hang"), target: nameSchema }),
    z.strictObject({ action: z.literal("go-on"), target: nameSchema }),
    /** The next `count` writes take effect, but their answers are lost. */
    z.strictObject({ action: z.literal("lose-answers"), target: nameSchema, count: countSchema }),
    /** Drops calls from `source`. */
    z.strictObject({ action: z.literal("cut"), source: nameSchema, target: nameSchema }),
    z.strictObject({ action: z.literal("mend"), source: nameSchema, target: nameSchema }),
    /** Drops the history of the store, so that watches from older revisions fail. */
    z.strictObject({ action: z.literal("compact-store") }),
    /** Expires the lease of a task. */
    z.strictObject({ action: z.literal("lapse-lease"), task: nameSchema }),
    /** Kills a worker or executor together with its tasks or requests. */
    z.strictObject({ action: z.literal("kill"), target: nameSchema }),
    z.strictObject({ action: z.literal("restart"), target: nameSchema }),
    /** Makes every task that a worker starts fail at once. */
    z.strictObject({ action: z.literal("fail-tasks"), target: nameSchema, isFailing: z.boolean() }),
    z.strictObject({ action: z.literal("drain"), target: nameSchema, isDraining: z.boolean() }),
    /** Sets how an executor handles the requests of one queue, or of all queues. */
    z.strictObject({
        action: z.literal("executor-behaviour"),
        target: nameSchema,
        queue: nameSchema.optional(),
        mode: z.enum(["echo", "fail", "refuse", "hang", "cut", "twice", "late"]),
        delayMs: durationSchema.default(0),
    }),
    z.strictObject({ action: z.literal("host-list"), mode: z.enum(["normal", "frozen", "empty", "wrong"]) }),
    /** Ends the faults of calls: down, slow, hang, lost answers and cuts. */
    z.strictObject({ action: z.literal("clear"), target: nameSchema }),
]);

/** One control command. */
export type ControlCommand = z.infer<typeof controlSchema>;

/** Applies a command. Fails with `unknown-target` and changes nothing if its target does not exist. */
export function applyControl(fleet: Fleet, command: ControlCommand): Result<void, Failure> {
    return match(command)
        .returnType<Result<void, Failure>>()
        .with({ action: "compact-store" }, () => {
            fleet.store.state.compact();
            return Ok(undefined);
        })
        .with({ action: "host-list" }, ({ mode }) => {
            fleet.hostList.state.setMode(mode);
            return Ok(undefined);
        })
        .with({ action: "lapse-lease" }, ({ task }) => checkFound(fleet.expireLease(task as TaskId), task))
        .with({ action: "kill" }, ({ target }) => checkFound(fleet.killEndpoint(target), target))
        .with({ action: "restart" }, ({ target }) => checkFound(fleet.restartEndpoint(target), target))
        .with({ action: "drain" }, ({ target, isDraining }) => {
            return checkFound(fleet.drainEndpoint(target, isDraining), target);
        })
        .with({ action: "fail-tasks" }, ({ target, isFailing }) => {
            const workers = selectEndpoints([...fleet.workers.values()], target, worker => worker.address.worker);
            for (const worker of workers) {
                worker.state.isFailingTasks = isFailing;
            }
            return checkFound(workers.length > 0, target);
        })
        .with({ action: "executor-behaviour" }, ({ target, queue, mode, delayMs }) => {
            const executors = selectEndpoints([...fleet.executors.values()], target, other => other.address.executor);
            for (const executor of executors) {
                executor.state.setBehaviour({ mode, delayMs }, queue as QueueId | undefined);
            }
            return checkFound(executors.length > 0, target);
        })
        .otherwise(faultCommand => applyFault(fleet, faultCommand));
}

type FaultCommand = Extract<
    ControlCommand,
    { action: "down" | "up" | "slow" | "hang" | "go-on" | "lose-answers" | "cut" | "mend" | "clear"; }
>;

function applyFault(fleet: Fleet, command: FaultCommand): Result<void, Failure> {
    const faultInjectors = fleet.findFaultInjectors(command.target);
    for (const faults of faultInjectors ?? []) {
        match(command)
            .with({ action: "down" }, () => faults.setDown(true))
            .with({ action: "up" }, () => faults.setDown(false))
            .with({ action: "slow" }, ({ delayMs }) => {
                faults.delayMs = delayMs;
            })
            .with({ action: "hang" }, () => faults.setHanging(true))
            .with({ action: "go-on" }, () => faults.setHanging(false))
            .with({ action: "lose-answers" }, ({ count }) => {
                faults.answersToLose = count;
            })
            .with({ action: "cut" }, ({ source }) => faults.setCut(source, true))
            .with({ action: "mend" }, ({ source }) => faults.setCut(source, false))
            .with({ action: "clear" }, () => faults.clear())
            .exhaustive();
    }
    return checkFound(faultInjectors !== undefined, command.target);
}

function selectEndpoints<T extends { readonly address: { readonly zone: string; }; }>(
    endpoints: readonly T[],
    target: string,
    getId: (endpoint: T) => string,
): readonly T[] {
    return endpoints.filter(endpoint => getId(endpoint) === target || endpoint.address.zone === target);
}

function checkFound(isFound: boolean, name: string): Result<void, Failure> {
    const message = `the stand-ins have no "${name}" that accepts this command`;
    return isFound ? Ok(undefined) : Err(createFailure("unknown-target", message, "notRun"));
}
