/**
 * Who may write: operators by their token, submitters by the key of their team.
 */
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import type { ConfigurationReplica } from "@waxwingroute/relay";
import { formatValue, hashSecret, hasSecretLength, isSameHash } from "@waxwingroute/resources";

/** Options of an `Authorization`. */
export interface AuthorizationOptions {
    readonly replica: ConfigurationReplica;
    /** SHA-256 of the operator token, 64 hexadecimal digits. Without it operator writes need no token. */
    readonly operatorTokenHash: string | undefined;
    /** Age of the last confirmation above which keys are not judged, in milliseconds. */
    readonly keyStalenessMs: number;
    /** What happens to work under keys above that age. */
    readonly whenStale: "refuse" | "serve";
}

/** Judges bearer tokens. */
export class Authorization {
    constructor(private readonly options: AuthorizationOptions) {}

    /** Checks the operator token. Failure: `unauthorized` (`notRun`). */
    checkOperator(token: string | undefined): Result<void, Failure> {
        const { operatorTokenHash } = this.options;
        const isOperator = operatorTokenHash === undefined
            || token !== undefined && hasSecretLength(token) && isSameHash(hashSecret(token), operatorTokenHash);
        return isOperator ? Ok(undefined) : Err(createFailure(
            "unauthorized",
            "this needs the operator token: send it as Authorization: Bearer <token>",
            "notRun",
        ));
    }

    /**
     * Checks that a key belongs to a team. Failures (`notRun`): `unauthorized`, `wrong-team`, `keys-stale`,
     * `not-ready`.
     */
    checkTeam(secret: string | undefined, team: string): Result<void, Failure> {
        const { replica, keyStalenessMs, whenStale } = this.options;
        if (replica.revision === undefined) {
            return Err(createFailure("not-ready", "no configuration is loaded yet: try again", "notRun", 1_000));
        }
        if (whenStale === "refuse" && !replica.isFresh(keyStalenessMs)) {
            const message =
                `the configuration was not confirmed for ${keyStalenessMs} ms, so keys cannot be judged: try again`;
            return Err(createFailure("keys-stale", message, "notRun", 1_000));
        }
        const holder = secret === undefined ? undefined : replica.view.authenticate(secret);
        if (holder === undefined) {
            const message =
                "the key is missing, unknown or withdrawn: send one of the team as Authorization: Bearer <key>";
            return Err(createFailure("unauthorized", message, "notRun"));
        }
        return holder.team.name === team ? Ok(undefined) : Err(createFailure(
            "wrong-team",
            `the key belongs to another team than ${formatValue(team)}: use a key of that team`,
            "notRun",
        ));
    }
}
