/**
 * The HTTP routes of the stand-ins, as called by the adapters of `platform`.
 */
import type { ExecutorRequest, StoreChange } from "@waxwingroute/platform";
import { wire } from "@waxwingroute/platform";
import { match, P } from "ts-pattern";
import { z } from "zod";
import type { ExecutorState } from "./executor-state.js";
import type { HostListState } from "./host-list-state.js";
import type { Routes } from "./json-route.js";
import { createJsonRoute, createResultReply, readQueryNumber } from "./json-route.js";
import type { ServerReply, ServerRequest } from "./stand-in-server.js";
import { createErrorReply, createJsonReply, readHeader } from "./stand-in-server.js";
import type { StoreState } from "./store-state.js";
import type { WorkerState } from "./worker-state.js";

/** Longest wait of a watch, in milliseconds. */
const maxWatchMs = 300_000;

/** Creates the routes of a store. */
export function createStoreRoutes(state: StoreState): Routes {
    return {
        [`GET ${wire.paths.storeEntry}`]: request =>
            createResultReply(state.read(readKey(request)).map(toLookupResult)),
        [`GET ${wire.paths.storeToken}`]: request => {
            const key = readKey(request);
            const result = state.readToken(key);
            return createResultReply(
                result.map(entry => toLookupResult(entry === undefined ? undefined : { key, ...entry })),
            );
        },
        [`GET ${wire.paths.storeRange}`]: request =>
            createResultReply(state.readRange(request.query.get("prefix") ?? "")),
        [`PUT ${wire.paths.storeEntry}`]: createJsonRoute(
            wire.storeWriteSchema,
            write => state.write(write).map(revision => ({ revision })),
        ),
        [`POST ${wire.paths.storeDelete}`]: createJsonRoute(
            wire.storeDeleteSchema,
            ({ key, revision }) =>
                state.delete(key, revision).map(deletionRevision => ({ revision: deletionRevision })),
        ),
        [`GET ${wire.paths.storeWatch}`]: async request => {
            const revision = readQueryNumber(request, "revision");
            const waitMs = readQueryNumber(request, "waitMs");
            if (revision === undefined || waitMs === undefined || waitMs > maxWatchMs) {
                return createErrorReply(
                    400,
                    "bad-request",
                    `a watch needs a revision and a waitMs of at most ${maxWatchMs}`,
                );
            }
            const result = await state.watch(request.query.get("prefix") ?? "", revision, waitMs);
            return createResultReply(
                result.map(watched => ({ ...watched, changes: watched.changes.map(toWireChange) })),
            );
        },
    };
}

const readKey = (request: ServerRequest) => request.query.get("key") ?? "";
const toLookupResult = <T>(entry: T | undefined) => entry === undefined ? { isFound: false } : { isFound: true, entry };
const toWireChange = (change: StoreChange) => ({ ...change, isDeleted: change.value === undefined });

/** Creates the routes of a worker. */
export function createWorkerRoutes(state: WorkerState): Routes {
    return {
        [`POST ${wire.paths.workerStart}`]: createJsonRoute(
            wire.taskStartSchema,
            (start, request) => state.start(start, request.elapsedMs),
        ),
        [`POST ${wire.paths.workerRenew}`]: createJsonRoute(
            wire.taskLeaseRenewalSchema,
            renewal => state.renew(renewal),
        ),
        [`GET ${wire.paths.workerList}`]: () => createResultReply(state.list()),
        [`POST ${wire.paths.workerStop}`]: createJsonRoute(wire.taskReferenceSchema, ({ task }) => state.stop(task)),
        [`POST ${wire.paths.workerCheckpoint}`]: createJsonRoute(
            wire.taskReferenceSchema,
            ({ task }) => state.checkpoint(task),
        ),
        [`POST ${wire.paths.workerThrottle}`]: createJsonRoute(
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
                ? createResultReply(state.list(zone.data))
                : createErrorReply(400, "bad-request", z.prettifyError(zone.error));
        },
    };
}

/** Creates the routes of an executor. */
export function createExecutorRoutes(state: ExecutorState): Routes {
    return {
        [`GET ${wire.paths.executorList}`]: () => createResultReply(state.list()),
        [`POST ${wire.paths.executorExecute}`]: async request => {
            const checked = wire.executorHeadersSchema.safeParse(pickHeaders(request));
            return checked.success
                ? handleExecute(state, { ...checked.data, body: request.body })
                : createErrorReply(400, "bad-request", z.prettifyError(checked.error));
        },
    };
}

function pickHeaders(request: ServerRequest): Record<string, string | undefined> {
    const names = ["attempt", "requestKey", "queue", "team", "isIdempotent", "epoch", "timeoutMs"] as const;
    const values = names.map(name => [name, readHeader(request.headers, wire.headerNames[name])] as const);
    return { ...Object.fromEntries(values), contentType: request.headers["content-type"] };
}

async function handleExecute(state: ExecutorState, request: ExecutorRequest): Promise<ServerReply> {
    const outcome = await state.execute(request);
    const headers = { [wire.headerNames.attempt]: request.attempt };
    return match(outcome)
        .returnType<ServerReply>()
        .with({ kind: "refused" }, () => {
            const reply = createJsonReply(503, { error: { code: "executor-refused", message: "not started" } }, true);
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
