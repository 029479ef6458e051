import { ManualClock } from "@waxwingroute/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ConfigurationReplica } from "./configuration-replica.js";
import type { RelayUpdate } from "./types.js";

function createChange(revision: number, name = `t${revision}`) {
    const limit = { cpuMillis: 1, memoryMb: 1, accelerators: 0, slots: revision };
    return { key: `config/team/${name}`, value: JSON.stringify({ format: 1, spec: { limit } }), revision };
}

function createDelta(from: number, ...revisions: number[]): RelayUpdate {
    const changes = revisions.map(revision => createChange(revision));
    return { kind: "delta", from, revision: revisions.at(-1) ?? from, changes };
}

function createReplica(options: { logLength?: number; maxDeltaLength?: number; } = {}) {
    const clock = new ManualClock();
    const replica = new ConfigurationReplica({ clock, ...options });
    replica.applyUpdate({ kind: "snapshot", revision: 0, entries: [] }).unwrap();
    return { clock, replica };
}

describe("ConfigurationReplica", () => {
    // Guards against a late message that puts an older configuration back in force.
    it("ignores what it already has, whatever the order", () => {
        const { replica } = createReplica();
        const seen: number[] = [];
        replica.subscribe((changes, revision) => seen.push(...changes.map(change => change.revision), revision));
        expect(replica.applyUpdate(createDelta(0, 1, 2, 3)).unwrap()).toEqual(true);
        expect(replica.applyUpdate(createDelta(0, 1, 2)).unwrap()).toEqual(false);
        expect(replica.applyUpdate({ kind: "snapshot", revision: 2, entries: [] }).unwrap()).toEqual(false);
        expect(replica.applyUpdate(createDelta(1, 2, 3, 5)).unwrap()).toEqual(true);
        expect(seen).toEqual([1, 2, 3, 3, 5, 5]);
        expect(replica.view.list("Team").length).toEqual(4);
    });

    // Guards against changes that are skipped because a message between was lost.
    it("refuses a delta that begins above its revision, and malformed updates", () => {
        const { replica } = createReplica();
        const applyAndGetCode = (update: RelayUpdate): unknown =>
            (replica.applyUpdate(update).val as { code?: string; }).code;
        expect(applyAndGetCode(createDelta(1, 2))).toEqual("update-gap");
        expect(applyAndGetCode(createDelta(0, 3, 2))).toEqual("malformed-update");
        expect(applyAndGetCode({ kind: "delta", from: 0, revision: 1, changes: [createChange(2)] })).toEqual(
            "malformed-update",
        );
        expect(applyAndGetCode({ kind: "snapshot", revision: 1, entries: [createChange(2)] })).toEqual(
            "malformed-update",
        );
        const foreign = { key: "owner/a/0", value: "", revision: 1 };
        expect(applyAndGetCode({ kind: "delta", from: 0, revision: 1, changes: [foreign] })).toEqual(
            "malformed-update",
        );
        expect(replica.revision).toEqual(0);
    });

    it("serves deltas in parts, and a snapshot to peers behind its log", () => {
        const { replica } = createReplica({ logLength: 4, maxDeltaLength: 3 });
        replica.applyUpdate(createDelta(0, 1, 2, 3, 4, 5)).unwrap();
        expect(replica.buildUpdate(1)).toEqual(createDelta(1, 2, 3, 4));
        expect(replica.buildUpdate(4)).toEqual(createDelta(4, 5));
        replica.applyUpdate(createDelta(5, 6, 7, 8)).unwrap();
        expect(replica.buildUpdate(1) ?? {}).toHaveSubset({ kind: "snapshot", revision: 8 });
        expect(replica.listChanges(1).val).toHaveSubset({ code: "revision-compacted" });
        const other = createReplica().replica;
        other.applyUpdate(replica.buildUpdate(undefined) ?? createDelta(0)).unwrap();
        expect(other.view.list("Team")).toEqual(replica.view.list("Team"));
    });

    // Guards against deletions that a watch misses when it ends amid the changes of a snapshot.
    it("tells listeners what a snapshot changed and deleted", () => {
        const { replica } = createReplica();
        replica.applyUpdate(createDelta(0, 1, 2)).unwrap();
        const seen: string[] = [];
        replica.subscribe(changes => {
            seen.push(...changes.map(({ key, value, revision }) => `${key} ${value !== undefined} at ${revision}`));
        });
        const entries = [createChange(2), createChange(4, "t4")];
        replica.applyUpdate({ kind: "snapshot", revision: 5, entries }).unwrap();
        expect(seen).toEqual(["config/team/t1 false at 3", "config/team/t4 true at 4"]);
        expect(replica.view.findTeam("t1")).toEqual(undefined);
    });

    // Guards against a revoked key that is accepted because the replica counts as current while it lacks changes.
    it("counts a confirmation only for revisions that it has", async () => {
        const { clock, replica } = createReplica();
        expect(replica.isFresh(30_000)).toEqual(false);
        replica.confirm(0, clock.getNow());
        await clock.advance(30_001);
        expect(replica.isFresh(30_000)).toEqual(false);
        replica.confirm(1, clock.getNow());
        expect(replica.isFresh(30_000)).toEqual(false);
        replica.applyUpdate(createDelta(0, 1)).unwrap();
        replica.confirm(1, clock.getNow());
        expect(replica.getConfirmationAge()).toEqual(0);
    });
});
