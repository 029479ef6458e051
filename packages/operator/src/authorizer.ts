/**
 * Decides who may write: operators with the operator token, submitters of jobs with a key of their team.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { ConfigurationReplica } from "@waxwingroute/relay";
import { formatValue, hashSecret, hasSecretLength, isSameHash } from "@waxwingroute/resources";

/** Options of an `Authorizer`. */
export interface AuthorizerOptions {
    readonly replica: ConfigurationReplica;
    /** SHA-256 of the operator token, 64 hexadecimal digits. If `undefined`, operator writes need no token. */
    readonly operatorTokenHash: string | undefined;
    /** Age of the last confirmation of the configuration above which keys cannot be checked, in milliseconds. */
    readonly keyStalenessMs: number;
    /** Whether requests with team keys are refused or served above that age. */
    readonly whenStale: "refuse" | "serve";
}

/** Checks bearer tokens. */
export class Authorizer {
    constructor(private readonly options: AuthorizerOptions) {}

    /** Checks the operator token. Failure: `unauthorized` (`notRun`). */
    checkOperatorToken(token: string | undefined): Result<void, Failure> {
        const { operatorTokenHash } = this.options;
        const isOperator = operatorTokenHash === undefined
            || token !== undefined && hasSecretLength(token) && isSameHash(hashSecret(token), operatorTokenHash);
        return isOperator ? Ok(undefined) : Err(createFailure(
            "unauthorized",
            "the request needs the operator token: send it as Authorization: Bearer <token>",
            "notRun",
        ));
    }

    /**
     * Checks that a key belongs to a team. Failures (`notRun`): `unauthorized`, `wrong-team`, `keys-stale`,
     * `not-ready`.
     */
    checkTeamKey(secret: string | undefined, team: string): Result<void, Failure> {
        const { replica, keyStalenessMs, whenStale } = this.options;
        if (replica.revision === undefined) {
            return Err(createFailure("not-ready", "no configuration is loaded yet: try again", "notRun", 1_000));
        }
        if (whenStale === "refuse" && !replica.isFresh(keyStalenessMs)) {
            const message =
                `the configuration was not confirmed for ${keyStalenessMs} ms, so keys cannot be checked: try again`;
            return Err(createFailure("keys-stale", message, "notRun", 1_000));
        }
        const caller = secret === undefined ? undefined : replica.view.authenticate(secret);
        if (caller === undefined) {
            const message =
                "the key is missing, unknown or revoked: send one of the team as Authorization: Bearer <key>";
            return Err(createFailure("unauthorized", message, "notRun"));
        }
        return caller.team.name === team ? Ok(undefined) : Err(createFailure(
            "wrong-team",
            `the key does not belong to team ${formatValue(team)}: use a key of that team`,
            "notRun",
        ));
    }
}
