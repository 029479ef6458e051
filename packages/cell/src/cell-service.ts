/** RPC methods and messages between the hosts of a cell. */
import { createFailure, Err, isNetworkAddress, toId } from "@waxwingroute/core";
import type { ExecutorId, Failure, JobId, NetworkAddress, QueueId, Result, TeamId } from "@waxwingroute/core";
import { createStreamMethod, createUnaryMethod } from "@waxwingroute/transport";
import type { RpcClient } from "@waxwingroute/transport";
import type { AdviceGrant, JobChange, JobState, StepKey } from "@waxwingroute/workflow";
import { z } from "zod";
import { Advisor } from "./advisor.js";
import type { StoreReply, StoreRequest } from "./store.js";
import { LeaseStore, storeFailures } from "./store.js";

/** Job states by the numbers that stand for them in `CellUpdate`. */
export const jobStates: readonly JobState[] = ["queued", "running", "succeeded", "failed", "cancelled"];

/**
 * Job ids with the numbers of their states in `jobStates`, their queues, and their teams; the team is empty if the stored
 * end of the job does not name it.
 */
const statesSchema = z.array(
    z.tuple([
        z.custom<JobId>(isText),
        z.number().int().min(0).max(jobStates.length - 1),
        z.custom<QueueId>(isText),
        z.string(),
    ]),
);

const addressSchema = z.custom<NetworkAddress>(isNetworkAddress);

const updateSchema = z.object({
    /** New states of the jobs that the subscriber follows. */
    changes: statesSchema,
    /** Number of jobs without a started task, by queue; only in heartbeats, and absent before the first count. */
    pending: z.array(z.tuple([z.custom<QueueId>(isText), z.number().int()])).optional(),
    /** Addresses of other hosts through which the subscriber can reach the store; absent if they are unchanged. */
    peers: z.array(addressSchema).optional(),
    /** Version of the owner's configuration; only in heartbeats, and absent before the owner has one. */
    configurationVersion: z.number().optional(),
});

/** Message of the owner to the other hosts. */
export type CellUpdate = z.infer<typeof updateSchema>;

/** Statuses of jobs as messages hold them. */
export type EncodedStates = z.infer<typeof statesSchema>;

/** Returns the form of job statuses in messages. */
export function encodeStates(statuses: readonly JobChange[]): EncodedStates {
    return statuses.map(({ job, queue, state, team }) => [job, jobStates.indexOf(state), queue, team ?? ""]);
}

/** Returns the job statuses of a message. */
export function decodeStates(states: EncodedStates): JobChange[] {
    return states.map(([job, state, queue, team]) => ({
        job,
        queue,
        team: team === "" ? undefined : toId<TeamId>(team),
        state: jobStates[state]!,
    }));
}

const subscribeSchema = z.object({
    host: z.string(),
    address: addressSchema,
    /** Open jobs that the subscriber follows. */
    jobs: z.array(z.custom<JobId>(isText)),
});

const followSchema = z.object({ host: z.string(), jobs: z.array(z.custom<JobId>(isText)) });

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
    host: z.string(),
    items: z.array(z.object({
        key: z.string(),
        value: z.string(),
        revision: z.number(),
        createdRevision: z.number(),
    })),
});

/** Methods that the hosts of a cell call on one another. */
export const cellService = {
    /** Streams the states of the followed jobs, and heartbeats. Ends at once if the host does not own the cell. */
    subscribe: createStreamMethod("Cell/Subscribe", subscribeSchema, updateSchema),
    /** Sends the owner what a host has just stored, and then has the effect and the answer of `follow`. */
    announce: createUnaryMethod("Cell/Announce", announceSchema, z.object({ states: statesSchema })),
    /**
     * Returns the states of those of the jobs that the owner knows. The host follows the open ones. Fails if the asked
     * host does not own the cell.
     */
    follow: createUnaryMethod("Cell/Follow", followSchema, z.object({ states: statesSchema })),
    /** Tells an earlier owner that another host acquired the cell in this epoch. The answer shows that it has stopped. */
    replaceOwner: createUnaryMethod("Cell/ReplaceOwner", z.object({ epoch: z.number().int() }), z.object({})),
    /** Asks the advisor through another host. */
    ask: createUnaryMethod("Cell/Ask", adviceSchema, grantsSchema),
    /** Forwards a request to the store through another host. */
    callStore: createUnaryMethod("Cell/CallStore", storeCallSchema, z.custom<Record<string, unknown>>(isRecord)),
};

/** The advisor, asked through another host. */
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

/** Time that forwarding through another host can add to a call, ms. */
const forwardingMs = 300;
/** Timeout of a call that sets none, ms. */
const defaultTimeoutMs = 1_000;

/** The store, reached through another host. */
export class PeerStore extends LeaseStore {
    constructor(private readonly client: RpcClient) {
        super();
    }

    override async call<Request extends StoreRequest>(
        request: Request,
        timeoutMs?: number,
    ): Promise<Result<StoreReply<Request>, Failure>> {
        const waitMs = request.kind === "watch" ? request.waitMs : 0;
        const rpcTimeoutMs = (timeoutMs ?? defaultTimeoutMs) + waitMs + forwardingMs;
        const answered = await this.client.call(cellService.callStore, { request, timeoutMs }, rpcTimeoutMs);
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
