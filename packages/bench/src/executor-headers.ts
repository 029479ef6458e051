/**
 * The call that a request path without the system would make to an executor.
 */
import { wire } from "@waxwingroute/platform";
import type { OutgoingHttpHeaders } from "node:http";

export const headers = {
    path: wire.paths.executorExecute,
    /** Returns the headers of one call; `id` differs for each. */
    create: (id: string, timeoutMs: number): OutgoingHttpHeaders => ({
        "content-type": "application/octet-stream",
        [wire.headers.attempt]: id,
        [wire.headers.requestKey]: id,
        [wire.headers.queue]: "direct",
        [wire.headers.team]: "direct",
        [wire.headers.isIdempotent]: "true",
        [wire.headers.epoch]: "0",
        [wire.headers.timeoutMs]: String(timeoutMs),
    }),
};
