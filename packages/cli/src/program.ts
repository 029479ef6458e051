/**
 * The command tree of `waxwing`: names, arguments and help texts of all commands.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { applicableKinds, applyFile } from "./commands/apply.js";
import { createDrain, deleteDrains } from "./commands/drains.js";
import { createExplainCommand } from "./commands/explain.js";
import {
    createConfigurationCommands,
    createJobCommands,
    createKeyCommands,
    createShardCommands,
} from "./commands/groups.js";
import {
    kindArgument,
    nameArgument,
    parseIntegerOption,
    printResourceList,
    printResponse,
    targetKindArgument,
    toResourcePath,
} from "./commands/parts.js";
import { createRequestCommand } from "./commands/request.js";
import { watchChanges } from "./commands/watch.js";
import { CommandError, exitCodes } from "./program-io.js";
import type { ProgramIo } from "./program-io.js";
import { serverArguments, Session, toPathSegment } from "./session.js";

/** Builds the command tree. The `run` function of each command returns the exit code of the process. */
export function createProgram(io: ProgramIo, version: string): CommandDef {
    return defineCommand({
        meta: { name: "waxwing", version, description: "Operates a waxwingroute cluster" },
        subCommands: {
            apply: defineCommand({
                meta: { name: "apply", description: "Creates or updates the resources of a JSON file" },
                args: {
                    file: {
                        type: "positional",
                        description: `One resource or an array of them (${applicableKinds}); - for standard input`,
                        required: true,
                    },
                    ...serverArguments,
                    key: {
                        type: "string",
                        description: "Key of the team, for jobs. Default: WAXWING_KEY",
                        valueHint: "key",
                    },
                },
                run: ({ args }) =>
                    applyFile(new Session(io, args), args.file, args.key ?? io.environment["WAXWING_KEY"]),
            }),
            get: defineCommand({
                meta: { name: "get", description: "Shows one resource" },
                args: { kind: kindArgument, name: nameArgument, ...serverArguments },
                run: ({ args }) => printResponse(new Session(io, args), "GET", toResourcePath(args.kind, args.name)),
            }),
            list: defineCommand({
                meta: { name: "list", description: "Lists the resources of a kind" },
                args: { kind: kindArgument, ...serverArguments },
                run: ({ args }) => printResourceList(new Session(io, args), `/v1/${toPathSegment(args.kind)}`),
            }),
            watch: defineCommand({
                meta: { name: "watch", description: "Prints changes as they take effect" },
                args: {
                    kind: { ...kindArgument, required: false },
                    ...serverArguments,
                    from: {
                        type: "string",
                        description: "Revision above which to start. Default: now",
                        valueHint: "revision",
                    },
                    count: {
                        type: "string",
                        description: "Number of changes after which to end. Default: no limit",
                        valueHint: "number",
                    },
                    "retry-ms": {
                        type: "string",
                        description: "Time without a response from any server after which to fail, in milliseconds",
                        default: "30000",
                        valueHint: "ms",
                    },
                },
                run: ({ args }) =>
                    watchChanges(new Session(io, args), {
                        kind: args.kind,
                        afterRevision: parseIntegerOption("from", args.from),
                        maxChanges: parseIntegerOption("count", args.count),
                        retryTimeoutMs: parseIntegerOption("retry-ms", args["retry-ms"]) ?? 0,
                    }),
            }),
            delete: defineCommand({
                meta: { name: "delete", description: "Deletes a resource" },
                args: {
                    kind: kindArgument,
                    name: nameArgument,
                    ...serverArguments,
                    version: {
                        type: "string",
                        description: "Version to delete. Default: the current one",
                        valueHint: "number",
                    },
                },
                run: ({ args }) => {
                    if (toPathSegment(args.kind) === "jobs") {
                        throw new CommandError("jobs cannot be deleted: use waxwing job cancel", exitCodes.usage);
                    }
                    const requestedVersion = parseIntegerOption("version", args.version);
                    return printResponse(new Session(io, args), "DELETE", toResourcePath(args.kind, args.name), {
                        version: requestedVersion,
                    });
                },
            }),
            key: createKeyCommands(io),
            job: createJobCommands(io),
            drain: defineCommand({
                meta: { name: "drain", description: "Takes a worker, executor or host out of rotation" },
                args: {
                    kind: targetKindArgument,
                    name: nameArgument,
                    ...serverArguments,
                    reason: {
                        type: "string",
                        description: "Reason, for other operators",
                        default: "",
                        valueHint: "text",
                    },
                },
                run: ({ args }) => createDrain(new Session(io, args), args.kind, args.name, args.reason),
            }),
            undrain: defineCommand({
                meta: { name: "undrain", description: "Puts a worker, executor or host back into rotation" },
                args: { kind: targetKindArgument, name: nameArgument, ...serverArguments },
                run: ({ args }) => deleteDrains(new Session(io, args), args.kind, args.name),
            }),
            config: createConfigurationCommands(io),
            shard: createShardCommands(io),
            request: createRequestCommand(io),
            explain: createExplainCommand(io),
        },
    });
}
