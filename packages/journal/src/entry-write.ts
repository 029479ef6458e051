/**
 * Creates an entry of the journal. If the response is lost, the writer token shows whether the write took effect.
 */
import type { Failure, WriterToken } from "@waxwingroute/core";
import type { Store } from "@waxwingroute/platform";

/**
 * Result of one attempt to create an entry:
 *
 * - `written`: the entry is in the journal.
 * - `occupied`: another writer's entry has this sequence number, so this entry is certainly not in the journal.
 * - `notSent`: this attempt was not sent.
 * - `unknown`: the attempt may have taken effect or may still do so. A retry with the same value and token is safe.
 */
export type EntryWriteResult =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "occupied"; }
    | { readonly kind: "notSent"; readonly failure: Failure; }
    | { readonly kind: "unknown"; readonly failure: Failure; };

/** Makes one attempt to create an entry. */
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
    // Read the token after a conflict too, because an earlier attempt with this token may have taken effect late.
    const present = await store.readToken(key);
    if (!present.ok || present.val === undefined) {
        return { kind: "unknown", failure: result.val };
    }
    return present.val.token === token ? { kind: "written", revision: present.val.revision } : { kind: "occupied" };
}
