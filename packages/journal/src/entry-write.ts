/**
 * Creates one entry, resolving lost answers by the writer token.
 */
import type { Failure, WriterToken } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";

/**
 * - `written`: the entry is in the journal.
 * - `occupied`: another writer's entry has this sequence number, so that this one certainly is not written.
 * - `notSent`: this attempt was not sent.
 * - `unknown`: the attempt may have taken effect or may yet do so. Trying again with the same value and token is safe.
 */
export type EntryWriteResult =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "occupied"; }
    | { readonly kind: "notSent"; readonly failure: Failure; }
    | { readonly kind: "unknown"; readonly failure: Failure; };

/** Attempts to create an entry once. */
export async function writeEntry(
    store: Store,
    key: string,
    value: string,
    token: WriterToken,
): Promise<EntryWriteResult> {
    const result = await store.write({ key, value, expected: { kind: "absent" }, token });
    if (result.ok) {
        return { kind: "written", revision: result.val };
    }
    const isConflict = result.val.code === "store-conflict";
    if (!isConflict && result.val.verdict === "notRun") {
        return { kind: "notSent", failure: result.val };
    }
    // After a conflict too: an earlier attempt with this token may have taken effect late.
    const present = await store.readToken(key);
    if (!present.ok || present.val === undefined) {
        return { kind: "unknown", failure: result.val };
    }
    return present.val.token === token ? { kind: "written", revision: present.val.revision } : { kind: "occupied" };
}
