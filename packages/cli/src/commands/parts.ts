/**
 * Arguments, checks and output that several commands share.
 */
import { CommandError, exitCodes } from "../program-io.js";
import { listItems, toSegment } from "../session.js";
import type { Session } from "../session.js";

export const nameArgument = { type: "positional", description: "Name of the resource", required: true } as const;
export const kindArgument = {
    type: "positional",
    description: "team, key, queue, drain or job",
    required: true,
} as const;
export const targetArgument = { type: "positional", description: "worker, executor or host", required: true } as const;

/** Returns the path of a resource. */
export function toPath(kind: string, name: string): string {
    return `/v1/${toSegment(kind)}/${encodeURIComponent(name)}`;
}

/** Parses the value of a numeric option; `undefined` if the option is absent. */
export function parseNumber(option: string, text: string | undefined): number | undefined {
    if (text !== undefined && (!/^\d+$/.test(text) || Number(text) > Number.MAX_SAFE_INTEGER)) {
        throw new CommandError(`--${option} is "${text}": use an integer from 0`, exitCodes.usage);
    }
    return text === undefined ? undefined : Number(text);
}

/** Sends a request and prints the object that it returns. */
export async function printAnswer(session: Session, ...parameters: Parameters<Session["request"]>): Promise<number> {
    session.print(await session.request(...parameters));
    return exitCodes.done;
}

/** Reads a list and prints it. */
export async function printItems(session: Session, path: string): Promise<number> {
    const body = await session.request("GET", path);
    session.printList(listItems(body), body);
    return exitCodes.done;
}
