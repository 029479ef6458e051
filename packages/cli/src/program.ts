/**
 * The commands of the program.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { applicableKinds, applyFile } from "./commands/apply.js";
import { createDrain, removeDrains } from "./commands/drains.js";
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
    parseNumber,
    printAnswer,
    printItems,
    targetArgument,
    toPath,
} from "./commands/parts.js";
import { createRequestCommand } from "./commands/request.js";
import { watchChanges } from "./commands/watch.js";
import { CommandError, exitCodes } from "./program-io.js";
import type { ProgramIo } from "./program-io.js";
import { commonArguments, Session, toSegment } from "./session.js";

/** Builds the command tree. Each command's `run` returns the exit code. */
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
                    ...commonArguments,
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
                args: { kind: kindArgument, name: nameArgument, ...commonArguments },
                run: ({ args }) => printAnswer(new Session(io, args), "GET", toPath(args.kind, args.name)),
            }),
            list: defineCommand({
                meta: { name: "list", description: "Lists the resources of a kind" },
                args: { kind: kindArgument, ...commonArguments },
                run: ({ args }) => printItems(new Session(io, args), `/v1/${toSegment(args.kind)}`),
            }),
            watch: defineCommand({
                meta: { name: "watch", description: "Prints changes as they come into force" },
                args: {
                    kind: { ...kindArgument, required: false },
                    ...commonArguments,
                    from: {
                        type: "string",
                        description: "Revision above which to start. Default: now",
                        valueHint: "revision",
                    },
                    count: {
                        type: "string",
                        description: "Changes after which to end. Default: no bound",
                        valueHint: "number",
                    },
                    "retry-ms": {
                        type: "string",
                        description: "Time without any server after which to fail, in milliseconds",
                        default: "30000",
                        valueHint: "ms",
                    },
                },
                run: ({ args }) =>
                    watchChanges(new Session(io, args), {
                        kind: args.kind,
                        from: parseNumber("from", args.from),
                        count: parseNumber("count", args.count),
                        retryMs: parseNumber("retry-ms", args["retry-ms"]) ?? 0,
                    }),
            }),
            delete: defineCommand({
                meta: { name: "delete", description: "Deletes a resource" },
                args: {
                    kind: kindArgument,
                    name: nameArgument,
                    ...commonArguments,
                    version: {
                        type: "string",
                        description: "Version to delete. Default: the current one",
                        valueHint: "number",
                    },
                },
                run: ({ args }) => {
                    if (toSegment(args.kind) === "jobs") {
                        throw new CommandError("jobs cannot be deleted: use waxwing job cancel", exitCodes.usage);
                    }
                    const wanted = parseNumber("version", args.version);
                    return printAnswer(new Session(io, args), "DELETE", toPath(args.kind, args.name), {
                        version: wanted,
                    });
                },
            }),
            key: createKeyCommands(io),
            job: createJobCommands(io),
            drain: defineCommand({
                meta: { name: "drain", description: "Takes a worker, executor or host out of rotation" },
                args: {
                    kind: targetArgument,
                    name: nameArgument,
                    ...commonArguments,
                    reason: { type: "string", description: "Why, for other operators", default: "", valueHint: "text" },
                },
                run: ({ args }) => createDrain(new Session(io, args), args.kind, args.name, args.reason),
            }),
            undrain: defineCommand({
                meta: { name: "undrain", description: "Puts a worker, executor or host back into rotation" },
                args: { kind: targetArgument, name: nameArgument, ...commonArguments },
                run: ({ args }) => removeDrains(new Session(io, args), args.kind, args.name),
            }),
            config: createConfigurationCommands(io),
            shard: createShardCommands(io),
            request: createRequestCommand(io),
            explain: createExplainCommand(io),
        },
    });
}
