/** The keys about the ownership of the cell, as one read or watch of the store shows them. */
import type { LogWriter } from "@waxwingroute/telemetry";
import type { OwnerRecord, PossibleOwner, StoredEpoch } from "./store-keys.js";
import { decodeEpoch, decodeOwner, decodePossibleOwners, epochKey, ownerKey, possibleOwnersKey } from "./store-keys.js";
import type { StoreItem, StoreReplies } from "./store.js";

/** The decoded keys and the revision of the store at which they had these values. */
export interface OwnershipView {
    readonly owner: OwnerRecord | undefined;
    readonly ownerRevision: number;
    readonly storedEpoch: StoredEpoch;
    readonly possibleOwners: readonly PossibleOwner[];
    readonly storeRevision: number;
}

/** Decodes a list of all keys below `ownershipPrefix`. */
export function decodeView(listed: StoreReplies["list"], logger: LogWriter): OwnershipView {
    const find = (key: string) => listed.items.find(item => item.key === key);
    return {
        owner: parseOwner(find(ownerKey), logger),
        ownerRevision: find(ownerKey)?.revision ?? 0,
        storedEpoch: decodeEpoch(find(epochKey)),
        possibleOwners: parsePossibleOwners(find(possibleOwnersKey), logger),
        storeRevision: listed.storeRevision,
    };
}

/** Applies the changes that a watch reports to an earlier view. */
export function updateView(view: OwnershipView, watched: StoreReplies["watch"], logger: LogWriter): OwnershipView {
    const items = new Map(watched.changes.map(change => [change.key, change.item]));
    const owner = items.get(ownerKey);
    const epoch = items.get(epochKey);
    return {
        owner: items.has(ownerKey) ? parseOwner(owner, logger) : view.owner,
        ownerRevision: items.has(ownerKey) ? owner?.revision ?? 0 : view.ownerRevision,
        storedEpoch: epoch === undefined ? view.storedEpoch : decodeEpoch(epoch),
        possibleOwners: items.has(possibleOwnersKey)
            ? parsePossibleOwners(items.get(possibleOwnersKey), logger)
            : view.possibleOwners,
        storeRevision: watched.storeRevision,
    };
}

function parseOwner(item: StoreItem | undefined, logger: LogWriter): OwnerRecord | undefined {
    const decoded = item === undefined ? undefined : decodeOwner(item.value);
    if (decoded?.ok === false) {
        logger.write("error", "owner record cannot be read", { revision: item?.revision });
    }
    return decoded?.ok === true ? decoded.val : undefined;
}

function parsePossibleOwners(item: StoreItem | undefined, logger: LogWriter): readonly PossibleOwner[] {
    const decoded = item === undefined ? undefined : decodePossibleOwners(item.value);
    if (decoded?.ok === false) {
        logger.write("error", "possible owners cannot be read", { reason: decoded.val.message });
    }
    return decoded?.ok === true ? decoded.val : [];
}
