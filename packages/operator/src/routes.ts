/**
 * The paths of the resource interface and their methods (docs/design.md, section 5).
 */
import { createFailure, Err, Ok, toId, toShardId } from "@waxwingroute/core";
import type { Failure, Result, ShardId, ZoneId } from "@waxwingroute/core";
import { formatValue, parseName } from "@waxwingroute/resources";
import type { ConfigurationKind } from "@waxwingroute/resources";
import { match, P } from "ts-pattern";

/** What a path refers to. */
export type Route =
    | { readonly type: "resources"; readonly kind: ConfigurationKind; }
    | { readonly type: "resource"; readonly kind: ConfigurationKind; readonly name: string; }
    | { readonly type: "jobs"; }
    | { readonly type: "job"; readonly name: string; }
    | { readonly type: "cancelJob"; readonly name: string; }
    | { readonly type: "explainJob"; readonly name: string; }
    | { readonly type: "watch"; }
    | { readonly type: "where"; }
    | { readonly type: "forceRelease"; readonly shard: ShardId; };

/** The kind that each path segment stands for. */
const kindsBySegment = new Map<string, ConfigurationKind>([
    ["teams", "Team"],
    ["keys", "Key"],
    ["queues", "Queue"],
    ["drains", "Drain"],
]);

/** The HTTP methods that each route allows. */
export const allowedMethods: { readonly [Type in Route["type"]]: readonly string[]; } = {
    resources: ["GET", "POST"],
    resource: ["GET", "PUT", "DELETE"],
    jobs: ["GET", "POST"],
    job: ["GET"],
    cancelJob: ["POST"],
    explainJob: ["GET"],
    watch: ["GET"],
    where: ["GET"],
    forceRelease: ["POST"],
};

/** Highest shard number in a path. */
const maxShardNumber = 9_999;

/** Finds the kind for a path segment such as `teams`, or for a kind's own name such as `Team`. */
export function findKind(text: string): ConfigurationKind | undefined {
    return kindsBySegment.get(text) ?? [...kindsBySegment.values()].find(kind => kind === text);
}

/** Finds the route of a path. Failures (`notRun`): `unknown-path`, `unknown-kind`, `invalid-name`, `invalid-path`. */
export function parseRoute(path: string): Result<Route, Failure> {
    let segments: string[];
    try {
        segments = path.split("/").slice(1).map(decodeURIComponent);
    }
    catch {
        return Err(
            createFailure("invalid-path", `path ${formatValue(path)} has an invalid % escape: correct it`, "notRun"),
        );
    }
    return match(segments)
        .with(["v1", "watch"], () => Ok<Route>({ type: "watch" }))
        .with(["v1", "config", "where"], () => Ok<Route>({ type: "where" }))
        .with(["v1", "shards", P.select("zone"), P.select("number"), "force-release"], ({ zone, number }) => {
            return parseShard(zone, number).map<Route>(shard => ({ type: "forceRelease", shard }));
        })
        .with(["v1", "jobs"], () => Ok<Route>({ type: "jobs" }))
        .with(["v1", "jobs", P.select()], text => parseName(text).map<Route>(name => ({ type: "job", name })))
        .with(["v1", "jobs", P.select(), "cancel"], text => {
            return parseName(text).map<Route>(name => ({ type: "cancelJob", name }));
        })
        .with(["v1", "jobs", P.select(), "explain"], text => {
            return parseName(text).map<Route>(name => ({ type: "explainJob", name }));
        })
        .with(["v1", P.select()], segment => parseKind(segment).map<Route>(kind => ({ type: "resources", kind })))
        .with(["v1", P.select("segment"), P.select("text")], ({ segment, text }) => {
            return parseKind(segment).andThen(kind =>
                parseName(text).map<Route>(name => ({ type: "resource", kind, name }))
            );
        })
        .otherwise(() => {
            return Err(
                createFailure("unknown-path", `path ${formatValue(path)} does not exist: use /v1/{kind}`, "notRun"),
            );
        });
}

function parseKind(segment: string): Result<ConfigurationKind, Failure> {
    const kind = kindsBySegment.get(segment);
    const known = [...kindsBySegment.keys(), "jobs"].join(", ");
    return kind === undefined
        ? Err(
            createFailure("unknown-kind", `kind ${formatValue(segment)} does not exist: use one of ${known}`, "notRun"),
        )
        : Ok(kind);
}

function parseShard(zone: string, text: string): Result<ShardId, Failure> {
    const number = /^\d{1,4}$/.test(text) ? Number(text) : maxShardNumber + 1;
    if (number > maxShardNumber) {
        const message = `shard number ${formatValue(text)}: use an integer from 0 to ${maxShardNumber}`;
        return Err(createFailure("invalid-name", message, "notRun"));
    }
    return parseName(zone, "zone").map(checked => toShardId(toId<ZoneId>(checked), number));
}
