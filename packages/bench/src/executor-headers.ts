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
        [wire.headerNames.attempt]: id,
        [wire.headerNames.requestKey]: id,
        [wire.headerNames.queue]: "direct",
        [wire.headerNames.team]: "direct",
        [wire.headerNames.isIdempotent]: "true",
        [wire.headerNames.epoch]: "0",
        [wire.headerNames.timeoutMs]: String(timeoutMs),
    }),
};
