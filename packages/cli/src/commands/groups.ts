/**
 * Command groups with subcommands, such as `key create` and `job cancel`.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { CommandError, exitCodes } from "../program-io.js";
import type { ProgramIo } from "../program-io.js";
import { serverArguments, Session } from "../session.js";
import { nameArgument, printResourceList, printResponse, toResourcePath } from "./parts.js";

/** Builds the command group `waxwing config`. */
export function createConfigurationCommands(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: { name: "config", description: "Shows the state of the configuration" },
        subCommands: {
            where: defineCommand({
                meta: { name: "config where", description: "Shows which revision is in force on which host" },
                args: serverArguments,
                run: ({ args }) => printResourceList(new Session(io, args), "/v1/config/where"),
            }),
        },
    });
}

/** Builds the command group `waxwing key`. */
export function createKeyCommands(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: { name: "key", description: "Creates and withdraws keys" },
        subCommands: {
            create: defineCommand({
                meta: { name: "key create", description: "Creates a key and prints its secret, once" },
                args: {
                    name: nameArgument,
                    ...serverArguments,
                    team: { type: "string", description: "Team of the key", required: true, valueHint: "name" },
                },
                run: ({ args }) => {
                    const body = { kind: "Key", name: args.name, spec: { team: args.team } };
                    return printResponse(new Session(io, args), "POST", "/v1/keys", { body });
                },
            }),
            withdraw: defineCommand({
                meta: { name: "key withdraw", description: "Withdraws a key; it stops working within seconds" },
                args: { name: nameArgument, ...serverArguments },
                run: ({ args }) => printResponse(new Session(io, args), "DELETE", toResourcePath("key", args.name)),
            }),
        },
    });
}

/** Builds the command group `waxwing job`. */
export function createJobCommands(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: { name: "job", description: "Explains and cancels jobs" },
        subCommands: {
            explain: defineCommand({
                meta: { name: "job explain", description: "Shows why a job is in its state" },
                args: { name: nameArgument, ...serverArguments },
                run: ({ args }) =>
                    printResponse(new Session(io, args), "GET", `${toResourcePath("job", args.name)}/explain`),
            }),
            cancel: defineCommand({
                meta: { name: "job cancel", description: "Cancels a job" },
                args: {
                    name: nameArgument,
                    ...serverArguments,
                    key: {
                        type: "string",
                        description: "Key of the team, instead of the operator token",
                        valueHint: "key",
                    },
                },
                run: ({ args }) => {
                    const path = `${toResourcePath("job", args.name)}/cancel`;
                    return printResponse(new Session(io, args), "POST", path, { bearer: args.key });
                },
            }),
        },
    });
}

/** Builds the command group `waxwing shard`. */
export function createShardCommands(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: { name: "shard", description: "Commands for shards" },
        subCommands: {
            "force-release": defineCommand({
                meta: {
                    name: "shard force-release",
                    description:
                        "Ends the right of a shard's owner and successor; use it only when both have certainly ended",
                },
                args: {
                    shard: {
                        type: "positional",
                        description: "<zone>/<number>, for example glasgow/0",
                        required: true,
                    },
                    ...serverArguments,
                    reason: { type: "string", description: "Reason, for the log", default: "", valueHint: "text" },
                },
                run: ({ args }) => {
                    const [zone = "", number = "", ...rest] = args.shard.split("/");
                    if (zone === "" || !/^\d+$/.test(number) || rest.length > 0) {
                        const message =
                            `shard "${args.shard}" is not valid: write <zone>/<number>, for example glasgow/0`;
                        throw new CommandError(message, exitCodes.usage);
                    }
                    const path = `/v1/shards/${encodeURIComponent(zone)}/${number}/force-release`;
                    return printResponse(new Session(io, args), "POST", path, { body: { reason: args.reason } });
                },
            }),
        },
    });
}
