import { expect } from "earl";
import { describe, it } from "node:test";
import { ConfigurationView } from "./configuration-view.js";
import { hashSecret } from "./key-secret.js";
import { encodeResource, toStoreKey } from "./resource-codec.js";
import type { ConfigurationResource } from "./schemas.js";

const limit = { cpuMillis: 1000, memoryMb: 1024, accelerators: 0, slots: 4 };

function createTeam(name: string, weight = 1): ConfigurationResource {
    return { kind: "Team", name, version: 0, spec: { weight, limit, overLimit: "complete" } };
}

function createKey(name: string, team: string, secret: string): ConfigurationResource {
    return { kind: "Key", name, version: 0, spec: { team, hash: hashSecret(secret) } };
}

function toEntry(resource: ConfigurationResource, revision: number) {
    return { key: toStoreKey(resource.kind, resource.name), value: encodeResource(resource), revision };
}

describe("ConfigurationView", () => {
    // Guards against accepting a deleted key or the key of a team that does not exist.
    it("authenticates a secret until its key is replaced or deleted", () => {
        const view = new ConfigurationView();
        view.apply(toEntry(createKey("quotes-1", "quotes", "first"), 1));
        expect(view.authenticate("first")).toEqual(undefined);
        view.apply(toEntry(createTeam("quotes"), 2));
        expect(view.authenticate("first")?.team.name).toEqual("quotes");
        expect(view.authenticate("second")).toEqual(undefined);
        expect(view.authenticate("x".repeat(100_000))).toEqual(undefined);
        view.apply(toEntry(createKey("quotes-1", "quotes", "second"), 3));
        expect(view.authenticate("first")).toEqual(undefined);
        expect(view.authenticate("second")?.key.name).toEqual("quotes-1");
        view.apply({ key: "config/key/quotes-1", value: undefined, revision: 4 });
        expect(view.authenticate("second")).toEqual(undefined);
    });

    it("rejects a secret that keys of two teams share", () => {
        const view = new ConfigurationView();
        view.apply(toEntry(createTeam("quotes"), 1));
        view.apply(toEntry(createTeam("cutting"), 2));
        view.apply(toEntry(createKey("quotes-1", "quotes", "same"), 3));
        view.apply(toEntry(createKey("cutting-1", "cutting", "same"), 4));
        expect(view.authenticate("same")).toEqual(undefined);
        view.apply({ key: "config/key/cutting-1", value: undefined, revision: 5 });
        expect(view.authenticate("same")?.team.name).toEqual("quotes");
    });

    it("ignores changes that are not newer and ranges that are older than the view", () => {
        const view = new ConfigurationView();
        expect(view.apply(toEntry(createTeam("quotes", 5), 9))).toEqual(true);
        expect(view.apply(toEntry(createTeam("quotes", 3), 8))).toEqual(false);
        expect(view.apply(toEntry(createTeam("quotes", 3), 9))).toEqual(false);
        expect(view.load({ entries: [], revision: 8 })).toEqual(false);
        expect(view.findTeam("quotes")?.spec.weight).toEqual(5);
        expect(view.load({ entries: [], revision: 10 })).toEqual(true);
        expect(view.findTeam("quotes")).toEqual(undefined);
    });

    // Guards against a damaged value, or one of a newer program, that removes the limit of a team.
    it("keeps the last valid value when a later one cannot be decoded", () => {
        const codes: string[] = [];
        const view = new ConfigurationView({ onProblem: problem => codes.push(problem.code) });
        const { key } = toEntry(createTeam("quotes"), 0);
        view.apply(toEntry(createTeam("quotes", 5), 1));
        const newer = "{\"format\":2,\"spec\":{\"weights\":[1]}}";
        for (const [index, value] of ["{", "{}", newer, "{\"format\":1,\"spec\":{\"weight\":-1}}"].entries()) {
            view.apply({ key, value, revision: 2 + index });
            expect(view.findTeam("quotes")?.spec.weight).toEqual(5);
        }
        expect(codes).toEqual(["damaged-value", "damaged-value", "newer-format", "damaged-value"]);
        view.load({ entries: [{ key, value: newer, revision: 6 }], revision: 6 });
        expect(view.findTeam("quotes")?.spec.weight).toEqual(5);
        expect(view.listProblems().map(problem => problem.code)).toEqual(["newer-format"]);
        view.apply(toEntry(createTeam("quotes", 7), 7));
        expect(view.listProblems()).toEqual([]);
        expect(view.revision).toEqual(7);
    });

    it("lists drains and reports their targets as drained until they are deleted", () => {
        const view = new ConfigurationView();
        const target = { kind: "worker", name: "w-3" } as const;
        view.apply(toEntry({ kind: "Drain", name: "repair", version: 0, spec: { target, reason: "fan" } }, 1));
        expect(view.isDrained("worker", "w-3")).toEqual(true);
        expect(view.isDrained("executor", "w-3")).toEqual(false);
        expect(view.listDrains().length).toEqual(1);
        view.apply({ key: "config/drain/repair", value: undefined, revision: 2 });
        expect(view.isDrained("worker", "w-3")).toEqual(false);
    });
});
