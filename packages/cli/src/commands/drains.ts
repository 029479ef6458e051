/**
 * `waxwing drain` and `waxwing undrain`: take workers, executors and hosts out of rotation and
 * put them back.
 */
import { isValidName } from "@waxwingroute/core";
import { CommandError, exitCodes } from "../program-io.js";
import { listItems } from "../session.js";
import type { Session } from "../session.js";

interface DrainItem {
    readonly name: string;
    readonly version: number;
    readonly spec: { readonly target: { readonly kind: string; readonly name: string; }; };
}

/** Creates a drain for a target and prints it. If the target already has a drain, prints that one instead. */
export async function createDrain(session: Session, kind: string, target: string, reason: string): Promise<number> {
    const existingDrains = await findDrains(session, kind, target);
    if (existingDrains[0] !== undefined) {
        session.printObject(existingDrains[0]);
        return exitCodes.done;
    }
    const name = `${kind}-${target}`;
    if (!isValidName(name)) {
        const message = `the name "${name}" of the drain is not valid: apply a Drain resource with a name of your own`;
        throw new CommandError(message, exitCodes.usage);
    }
    const spec = { target: { kind, name: target }, reason };
    session.printObject(await session.requestJson("POST", "/v1/drains", { body: { kind: "Drain", name, spec } }));
    return exitCodes.done;
}

/** Deletes all drains of a target. Throws `CommandError` if it has none. */
export async function deleteDrains(session: Session, kind: string, target: string): Promise<number> {
    const drains = await findDrains(session, kind, target);
    if (drains.length === 0) {
        throw new CommandError(`${kind} "${target}" has no drain: see waxwing list drain`, exitCodes.failed);
    }
    const deleted: object[] = [];
    for (const { name, version } of drains) {
        deleted.push(await session.requestJson("DELETE", `/v1/drains/${name}`, { version }));
    }
    session.printList(deleted);
    return exitCodes.done;
}

async function findDrains(session: Session, kind: string, target: string): Promise<readonly DrainItem[]> {
    const items = listItems(await session.requestJson("GET", "/v1/drains")) as unknown as readonly DrainItem[];
    return items.filter(({ spec }) => spec.target.kind === kind && spec.target.name === target);
}
