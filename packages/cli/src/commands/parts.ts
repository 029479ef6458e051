/**
 * Argument definitions, option parsing and output that several commands share.
 */
import { CommandError, exitCodes } from "../program-io.js";
import { listItems, toPathSegment } from "../session.js";
import type { Session } from "../session.js";

export const nameArgument = { type: "positional", description: "Name of the resource", required: true } as const;
export const kindArgument = {
    type: "positional",
    description: "team, key, queue, drain or job",
    required: true,
} as const;
export const targetKindArgument = {
    type: "positional",
    description: "worker, executor or host",
    required: true,
} as const;

/** Returns the URL path of a resource on an operator server. */
export function toResourcePath(kind: string, name: string): string {
    return `/v1/${toPathSegment(kind)}/${encodeURIComponent(name)}`;
}

/** Parses the value of a non-negative integer option; returns `undefined` if the option is absent. */
export function parseIntegerOption(option: string, text: string | undefined): number | undefined {
    if (text !== undefined && (!/^\d+$/.test(text) || Number(text) > Number.MAX_SAFE_INTEGER)) {
        throw new CommandError(`--${option} is "${text}": use an integer from 0`, exitCodes.usage);
    }
    return text === undefined ? undefined : Number(text);
}

/** Sends a request and prints the object in the response. */
export async function printResponse(
    session: Session,
    ...parameters: Parameters<Session["requestJson"]>
): Promise<number> {
    session.printObject(await session.requestJson(...parameters));
    return exitCodes.done;
}

/** Requests a list of resources and prints it. */
export async function printResourceList(session: Session, path: string): Promise<number> {
    const body = await session.requestJson("GET", path);
    session.printList(listItems(body), body);
    return exitCodes.done;
}
