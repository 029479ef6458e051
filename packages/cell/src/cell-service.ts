/** The messages between the hosts of a cell. */
import { createFailure, Err } from "@waxwingroute/core";
import type { ExecutorId, Failure, JobId, QueueId, Result } from "@waxwingroute/core";
import { createStreamMethod, createUnaryMethod } from "@waxwingroute/transport";
import type { RpcClient } from "@waxwingroute/transport";
import type { AdviceGrant, JobState, StepKey } from "@waxwingroute/workflow";
import { z } from "zod";
import { Advisor } from "./advisor.js";
import type { StoreReply, StoreRequest } from "./store.js";
import { LeaseStore, storeFailures } from "./store.js";

/** Job states in the order of their numbers in `CellUpdate`. */
export const jobStates: readonly JobState[] = ["queued", "running", "succeeded", "failed", "cancelled"];

const updateSchema = z.object({
    /** Job id and number of its state. */
    changes: z.array(z.tuple([z.custom<JobId>(isText), z.number().int().min(0).max(jobStates.length - 1)])),
    /** Jobs without a started task, by queue. Absent: not counted yet. */
    pending: z.array(z.tuple([z.custom<QueueId>(isText), z.number().int()])).optional(),
    /** Addresses of the hosts of the cell. */
    hosts: z.array(z.string()),
});

/** What the owner tells the other hosts. */
export type CellUpdate = z.infer<typeof updateSchema>;

const subscribeSchema = z.object({ host: z.string(), address: z.string() });

const adviceSchema = z.object({
    step: z.custom<StepKey>(isText),
    executors: z.array(z.custom<ExecutorId>(isText)),
    timeoutMs: z.number(),
});

const grantsSchema = z.object({
    grants: z.array(z.object({ executor: z.custom<ExecutorId>(isText), ticket: z.string() })),
});

const storeCallSchema = z.object({ request: z.custom<StoreRequest>(isRecord), timeoutMs: z.number().optional() });

const announceSchema = z.object({
    items: z.array(z.object({
        key: z.string(),
        value: z.string(),
        revision: z.number(),
        createdRevision: z.number(),
    })),
});

export const cellService = {
    /** Streams the states of jobs. Fails unless the host owns the cell. */
    subscribe: createStreamMethod("Cell/Subscribe", subscribeSchema, updateSchema),
    /** Tells the owner what a host has just stored. */
    announce: createUnaryMethod("Cell/Announce", announceSchema, z.object({})),
    /** Asks the advisor from another host. */
    ask: createUnaryMethod("Cell/Ask", adviceSchema, grantsSchema),
    /** Passes a request to the store. */
    callStore: createUnaryMethod("Cell/CallStore", storeCallSchema, z.custom<Record<string, unknown>>(isRecord)),
};

/** The advisor as another host reaches it. */
export class PeerAdvisor extends Advisor {
    constructor(private readonly client: RpcClient) {
        super();
    }

    override async ask(
        step: StepKey,
        executors: readonly ExecutorId[],
        timeoutMs: number,
    ): Promise<Result<readonly AdviceGrant[], Failure>> {
        const request = { step, executors: [...executors], timeoutMs };
        const answered = await this.client.call(cellService.ask, request, timeoutMs);
        return answered.map(({ grants }) => grants);
    }
}

/** Time for a request to and from another host beyond the time of the call itself, ms. */
const forwardingMs = 300;
/** Bound of a call without its own, ms. */
const defaultTimeoutMs = 1_000;

/** The store as another host reaches it. */
export class PeerStore extends LeaseStore {
    constructor(private readonly client: RpcClient) {
        super();
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const waitMs = request.kind === "watch" ? request.waitMs : 0;
        const boundMs = (timeoutMs ?? defaultTimeoutMs) + waitMs + forwardingMs;
        const answered = await this.client.call(cellService.callStore, { request, timeoutMs }, boundMs);
        if (answered.ok) {
            return answered as Result<StoreReply<Request>, Failure>;
        }
        const { code, message, verdict } = answered.val;
        const isStoreFailure = Object.values(storeFailures).some(known => known === code);
        const fallbackCode = verdict === "notRun" ? storeFailures.unavailable : storeFailures.unanswered;
        return isStoreFailure ? answered : Err(createFailure(fallbackCode, message, verdict));
    }
}

function isText(value: unknown): boolean {
    return typeof value === "string";
}

function isRecord(value: unknown): boolean {
    return typeof value === "object" && value !== null;
}
