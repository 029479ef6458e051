/**
 * Decides from the configuration replica which callers may use which queues.
 */
import { createFailure, Err, Ok, toId } from "@waxwingroute/core";
import type { QueueId, Result, TeamId } from "@waxwingroute/core";
import type { ConfigurationReplica } from "@waxwingroute/relay";
import { AccessControl } from "./types.js";
import type { AccessFailure, AuthorizedCaller } from "./types.js";

/** Longest deadline of a request, in milliseconds. */
const maxDeadlineMs = 600_000;
/** Deadline of a request for a request key, which has no queue to take a default from, in milliseconds. */
const requestKeyDeadlineMs = 30_000;

/** Options of a `ReplicaAccessControl`. */
export interface ReplicaAccessControlOptions {
    readonly replica: ConfigurationReplica;
    /** Age of the last confirmation of the configuration above which API keys cannot be checked, in milliseconds. */
    readonly stalenessMs: number;
    /** Whether protected queues refuse or serve requests above that age. */
    readonly whenStale: "refuse" | "serve";
}

/** Authorizes callers with the queues and API keys of a configuration replica. */
export class ReplicaAccessControl extends AccessControl {
    constructor(private readonly options: ReplicaAccessControlOptions) {
        super();
    }

    authorize(apiKey: string | undefined, queue: QueueId | undefined): Result<AuthorizedCaller, AccessFailure> {
        const { replica } = this.options;
        if (replica.revision === undefined) {
            return refuse(
                503,
                "not-ready",
                "the configuration is not loaded yet: use another entry host, or try again",
            );
        }
        if (queue === undefined) {
            return this.authenticateTeam(apiKey).map(team => ({ team, defaultDeadlineMs: requestKeyDeadlineMs }));
        }
        const resource = replica.view.findQueue(queue);
        if (resource === undefined) {
            return refuse(
                404,
                "unknown-queue",
                `queue "${queue}" does not exist: check the name; a new queue works after a few seconds`,
            );
        }
        const { spec } = resource;
        const defaultDeadlineMs = Math.min(spec.defaultDeadlineMs, maxDeadlineMs);
        if (spec.access === "open") {
            // Work on an open queue counts against the limit of the queue, whichever caller sent it.
            return Ok({ team: toId<TeamId>(`open:${queue}`), defaultDeadlineMs });
        }
        return this.authenticateTeam(apiKey).andThen(team =>
            team === spec.team
                ? Ok({ team, defaultDeadlineMs })
                : refuse(
                    403,
                    "wrong-team",
                    `the API key belongs to team "${team}", but queue "${queue}" belongs to another team`,
                )
        );
    }

    private authenticateTeam(apiKey: string | undefined): Result<TeamId, AccessFailure> {
        const { replica, stalenessMs, whenStale } = this.options;
        if (apiKey === undefined) {
            return refuse(
                401,
                "missing-key",
                "the request has no API key: send one of the team as \"Authorization: Bearer <key>\"",
            );
        }
        if (whenStale === "refuse" && !replica.isFresh(stalenessMs)) {
            return refuse(
                503,
                "configuration-stale",
                `the configuration was not confirmed for ${stalenessMs} ms, so API keys cannot be checked: use another entry host, or try again`,
            );
        }
        const caller = replica.view.authenticate(apiKey);
        return caller === undefined
            ? refuse(
                401,
                "invalid-key",
                "the API key is unknown or revoked: get a team key from an operator; new keys work after some seconds",
            )
            : Ok(toId<TeamId>(caller.team.name));
    }
}

function refuse(status: number, code: string, message: string): Result<never, AccessFailure> {
    return Err({ ...createFailure(code, message, "notRun"), status });
}
