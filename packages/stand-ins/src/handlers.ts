/**
 * The HTTP interfaces of the stand-ins, as the adapters of `platform` call them.
 */
import type { ExecutorRequest, StoreChange } from "@waxwingroute/platform";
import { wire } from "@waxwingroute/platform";
import { match, P } from "ts-pattern";
import { z } from "zod";
import type { ExecutorState } from "./executor-state.js";
import type { HostListState } from "./host-list-state.js";
import type { FrontReply, FrontRequest } from "./http-front.js";
import { createError, createJson, readHeader } from "./http-front.js";
import type { Routes } from "./json-route.js";
import { createBodyRoute, createReply, readNumber } from "./json-route.js";
import type { StoreState } from "./store-state.js";
import type { WorkerState } from "./worker-state.js";

/** Longest wait of a watch, in milliseconds. */
const maxWatchMs = 300_000;

/** Creates the routes of a store. */
export function createStoreRoutes(state: StoreState): Routes {
    return {
        [`GET ${wire.paths.storeEntry}`]: request => createReply(state.read(readKey(request)).map(toFound)),
        [`GET ${wire.paths.storeToken}`]: request => {
            const key = readKey(request);
            const result = state.readToken(key);
            return createReply(result.map(entry => toFound(entry === undefined ? undefined : { key, ...entry })));
        },
        [`GET ${wire.paths.storeRange}`]: request => createReply(state.readRange(request.query.get("prefix") ?? "")),
        [`PUT ${wire.paths.storeEntry}`]: createBodyRoute(
            wire.storeWriteSchema,
            write => state.write(write).map(revision => ({ revision })),
        ),
        [`POST ${wire.paths.storeDelete}`]: createBodyRoute(
            wire.storeDeleteSchema,
            ({ key, revision }) => state.delete(key, revision).map(deletion => ({ revision: deletion })),
        ),
        [`GET ${wire.paths.storeWatch}`]: async request => {
            const revision = readNumber(request, "revision");
            const waitMs = readNumber(request, "waitMs");
            if (revision === undefined || waitMs === undefined || waitMs > maxWatchMs) {
                return createError(
                    400,
                    "bad-request",
                    `a watch needs a revision and a waitMs of at most ${maxWatchMs}`,
                );
            }
            const result = await state.watch(request.query.get("prefix") ?? "", revision, waitMs);
            return createReply(result.map(watched => ({ ...watched, changes: watched.changes.map(toWireChange) })));
        },
    };
}

const readKey = (request: FrontRequest) => request.query.get("key") ?? "";
const toFound = <T>(entry: T | undefined) => entry === undefined ? { isFound: false } : { isFound: true, entry };
const toWireChange = (change: StoreChange) => ({ ...change, isDeleted: change.value === undefined });

/** Creates the routes of a worker. */
export function createWorkerRoutes(state: WorkerState): Routes {
    return {
        [`POST ${wire.paths.workerStart}`]: createBodyRoute(
            wire.taskStartSchema,
            (start, request) => state.start(start, request.elapsedMs),
        ),
        [`POST ${wire.paths.workerRenew}`]: createBodyRoute(
            wire.taskLeaseRenewalSchema,
            renewal => state.renew(renewal),
        ),
        [`GET ${wire.paths.workerList}`]: () => createReply(state.list()),
        [`POST ${wire.paths.workerStop}`]: createBodyRoute(wire.taskReferenceSchema, ({ task }) => state.stop(task)),
        [`POST ${wire.paths.workerCheckpoint}`]: createBodyRoute(
            wire.taskReferenceSchema,
            ({ task }) => state.checkpoint(task),
        ),
        [`POST ${wire.paths.workerThrottle}`]: createBodyRoute(
            wire.throttleSchema,
            ({ task, percent }) => state.throttle(task, percent),
        ),
    };
}

/** Creates the routes of the host list. */
export function createHostListRoutes(state: HostListState): Routes {
    return {
        [`GET ${wire.paths.hostList}`]: request => {
            const zone = wire.zoneSchema.safeParse(request.query.get("zone"));
            return zone.success
                ? createReply(state.list(zone.data))
                : createError(400, "bad-request", z.prettifyError(zone.error));
        },
    };
}

/** Creates the routes of an executor. */
export function createExecutorRoutes(state: ExecutorState): Routes {
    return {
        [`GET ${wire.paths.executorList}`]: () => createReply(state.list()),
        [`POST ${wire.paths.executorExecute}`]: async request => {
            const checked = wire.executorHeadersSchema.safeParse(pickHeaders(request));
            return checked.success
                ? handleExecute(state, { ...checked.data, body: request.body })
                : createError(400, "bad-request", z.prettifyError(checked.error));
        },
    };
}

function pickHeaders(request: FrontRequest): Record<string, string | undefined> {
    const names = ["attempt", "requestKey", "queue", "team", "isIdempotent", "epoch", "timeoutMs"] as const;
    const values = names.map(name => [name, readHeader(request.headers, wire.headerNames[name])] as const);
    return { ...Object.fromEntries(values), contentType: request.headers["content-type"] };
}

async function handleExecute(state: ExecutorState, request: ExecutorRequest): Promise<FrontReply> {
    const outcome = await state.execute(request);
    const headers = { [wire.headerNames.attempt]: request.attempt };
    return match(outcome)
        .returnType<FrontReply>()
        .with({ kind: "refused" }, () => {
            const reply = createJson(503, { error: { code: "executor-refused", message: "not started" } }, true);
            return { ...reply, headers: { ...reply.headers, ...headers, [wire.headerNames.refused]: "true" } };
        })
        .with({ kind: "lost" }, () => ({ status: 500, headers, body: Buffer.alloc(0), delivery: "none" }))
        .with({ kind: P.union("answer", "cut", "twice") }, ({ kind, answer }) => ({
            status: answer.status,
            headers: { ...headers, "content-type": answer.contentType },
            body: Buffer.from(answer.body),
            isWrite: true,
            delivery: kind === "answer" ? "whole" : kind,
        }))
        .exhaustive();
}
