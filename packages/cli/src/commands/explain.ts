/**
 * `waxwing explain`: the timeline of one job, from the logs of several processes.
 *
 * Prints the lines that name the job, its steps or its tasks, ordered by time, together with cluster events that can
 * explain a delay: changes of ownership, of the configuration and of the connection to the store, and the state of the
 * calls to the advisor while steps wait for it.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { formatJson } from "../formatting.js";
import { CommandError, exitCodes } from "../program-io.js";
import type { ProgramIo } from "../program-io.js";

/** Messages of cluster events that can delay any job. */
const contextMessages = new Set([
    "advice calls",
    "all executors settled",
    "cell ownership acquired",
    "cell ownership lost",
    "cell recovered",
    "commit failed",
    "configuration applied",
    "executor does not answer",
    "executors settled",
    "host started",
    "journal closed",
    "orders resumed",
    "orders suspended",
    "runs lost",
    "shutdown begins",
    "store does not serve this host",
    "store reached again",
]);

/** Messages about an executor that are shown if one of the job's lines names it. */
const executorMessages = new Set(["ends acknowledged", "ends not acknowledged"]);

/** Time before the job's first line and after its last in which cluster events are shown, in milliseconds. */
const contextWindowMs = 2_000;
/** Fields that every log line has; the output omits them. */
const commonFields = new Set(["program", "host", "zone", "logLevel"]);

interface LogLine {
    readonly timeMs: number;
    readonly host: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
    readonly isContext: boolean;
}

/** Reads the log files and prints the timeline of the job. Throws `CommandError` if no line names the job. */
export async function explainJob(
    io: ProgramIo,
    job: string,
    files: readonly string[],
    format: string,
): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of files) {
        const text = await readLog(io, file);
        for (const line of text.split("\n")) {
            const parsed = parseLine(line, job);
            if (parsed !== undefined) {
                lines.push(parsed);
            }
        }
    }
    const jobLines = lines.filter(line => !line.isContext);
    if (jobLines.length === 0) {
        throw new CommandError(`no line of the logs names job ${job}: pass the logs of all hosts`, exitCodes.failed);
    }
    const executors = new Set(jobLines.map(line => line.fields.executor));
    const times = jobLines.map(line => line.timeMs);
    const firstMs = Math.min(...times);
    const lastMs = Math.max(...times);
    const timeline = lines
        .filter(line =>
            !line.isContext
            || line.timeMs >= firstMs - contextWindowMs && line.timeMs <= lastMs + contextWindowMs
                && (!executorMessages.has(line.message) || executors.has(line.fields.executor))
        )
        .sort((one, other) => one.timeMs - other.timeMs);
    const summary = formatWaits(jobLines, firstMs);
    io.writeOut(
        format === "json" ? formatJson(timeline) : timeline.map(line => formatLine(line, firstMs)).join("") + summary,
    );
    return exitCodes.done;
}

/** Reasons of `step waits` in words; others are shown as they are. */
const reasonTexts: Readonly<Record<string, string>> = {
    adviceInFlight: "the advisor's answer",
    adviceNotAsked: "a call to the advisor",
    adviceRefused: "an executor that the advisor has not refused",
    executorsAvoided: "executors that refused starts or failed runs",
    executorsBlocked: "runs of unknown size or a probe on its executors",
    executorsLeaving: "an executor that does not leave",
    executorsUnreachable: "executors that do not answer",
    gangIncomplete: "the end of all runs of its gang",
    gangNeedsProven: "executors that have survived their last starts, since its gang may crash them",
    heldForProbe: "an executor that is held for a probe of another step",
    maxPerExecutor: "an executor with fewer tasks of its step",
    mayStillRun: "executors that may run its tasks since the takeover",
    noExecutor: "an executor of its pool and label",
    missedRoom: "nothing that the scheduler knows: a fault",
    noRoom: "room",
    none: "nothing that the scheduler knows",
    ordersSuspended: "the right of the owner to send orders",
    probeLimit: "other probes of tasks that may crash executors",
    probeNeedsIdle: "an executor for a probe: idle, or without a run that is not proven",
    queueUnknown: "the declaration of its queue",
    reservedForGang: "executors that are reserved for a gang",
    startUnconfirmed: "an executor that has neither confirmed nor refused its start",
    teamLimit: "the limit of its team",
    tickDue: "the next tick, which has new room for it unless a more urgent step takes it",
    ticketExpired: "a new ticket of the advisor",
};

/** Says for each step that waits at the end of the logs what it waits for, and since when. */
function formatWaits(jobLines: readonly LogLine[], firstMs: number): string {
    const waits = new Map<string, LogLine>();
    for (const line of [...jobLines].sort((one, other) => one.timeMs - other.timeMs)) {
        const { step, task } = line.fields;
        if (line.message === "step waits" && typeof step === "string") {
            waits.set(step, line);
        }
        else if (line.message === "start" && typeof task === "string") {
            waits.delete(task.slice(0, task.lastIndexOf(".")));
        }
        else if (line.message === "job finished" || line.message === "job cancelled") {
            waits.clear();
        }
    }
    return [...waits.values()].map(({ fields, timeMs }) => {
        const reason = String(fields.reason);
        const since = (timeMs - firstMs - Number(fields.reasonSinceMs)) / 1_000;
        return `task ${String(fields.task)} could start, waits for ${reasonTexts[reason] ?? reason} (${reason}) `
            + `since ${since.toFixed(3)}${formatDueCall(fields.adviceDueMs)}${formatDecider(fields)}\n`;
    }).join("");
}

/** Names the step or run that decided the wait, as far as the line holds one. */
function formatDecider({ awaitedExecutor, awaitedState, reservedFor, takenBy }: LogLine["fields"]): string {
    const parts = [
        typeof takenBy === "string" ? [`room was taken by ${takenBy}`] : [],
        typeof reservedFor === "string" ? [`executors are reserved for ${reservedFor}`] : [],
        typeof awaitedExecutor === "string" ? [`a run is ${String(awaitedState)} on ${awaitedExecutor}`] : [],
    ].flat();
    return parts.map(part => `, ${part}`).join("");
}

function formatDueCall(adviceDueMs: unknown): string {
    return typeof adviceDueMs === "number" ? `, a call has been due for ${(adviceDueMs / 1_000).toFixed(3)} s` : "";
}

/** Builds the command `waxwing explain`. */
export function createExplainCommand(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: {
            name: "explain",
            description:
                "Shows the timeline of a job, for example: waxwing explain 5c0e7a21d94b36f8 --logs a.log,b.log",
        },
        args: {
            job: { type: "positional", description: "Id of the job", required: true },
            logs: {
                type: "string",
                description: "Log files of the hosts, separated by commas; - for standard input",
                required: true,
                valueHint: "files",
            },
            output: { type: "enum", options: ["table", "json"], default: "table", description: "Output format" },
        },
        run: ({ args }) => explainJob(io, args.job, args.logs.split(","), args.output),
    }) as CommandDef;
}

async function readLog(io: ProgramIo, file: string): Promise<string> {
    try {
        return await io.readTextFile(file);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw new CommandError(`log file "${file}" cannot be read (${reason}): check --logs`, exitCodes.usage);
    }
}

/**
 * Parses a log line; returns `undefined` if it is irrelevant to the job. Text before the JSON object is skipped,
 * because log collectors prepend times and names.
 */
function parseLine(text: string, job: string): LogLine | undefined {
    const start = text.indexOf("{\"context\"");
    const mentionsJob = text.includes(job);
    if (start < 0 || !mentionsJob && ![...contextMessages, ...executorMessages].some(name => text.includes(name))) {
        return undefined;
    }
    try {
        const { context, message, time } = JSON.parse(text.slice(start)) as {
            context: Record<string, unknown>;
            message: string;
            time: number;
        };
        const host = typeof context.host === "string" ? context.host : "?";
        const fields = Object.fromEntries(Object.entries(context).filter(([name]) => !commonFields.has(name)));
        return { timeMs: time, host, message, fields, isContext: !mentionsJob };
    }
    catch {
        // The line was truncated when its process ended.
        return undefined;
    }
}

function formatLine(line: LogLine, firstMs: number): string {
    const seconds = ((line.timeMs - firstMs) / 1_000).toFixed(3).padStart(9);
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    const contextMark = line.isContext ? "*" : " ";
    return `${seconds} ${contextMark} ${line.host.padEnd(20)} ${line.message}: ${fields}\n`;
}
