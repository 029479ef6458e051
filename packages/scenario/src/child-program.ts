/**
 * One program started by a test, with its signals and its log file.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";

/** Options of `ChildProgram`. */
export interface ChildProgramOptions {
    /** Name for messages. */
    readonly name: string;
    /** Path of the compiled main file. */
    readonly main: string;
    readonly args: readonly string[];
    /** File to which standard output and standard error are appended. */
    readonly logFile: string;
    /** Milliseconds within which the program ends after SIGTERM. Default 15,000. */
    readonly stopMs?: number;
}

/** Characters of the log that a failure shows. */
const logTailLength = 1_500;

/** Programs that this process has started and that have not ended. */
const runningChildren = new Set<ChildProcess>();

// Programs must not outlive a test process that ends early, for example at the runner's time-out.
process.once("exit", () => runningChildren.forEach(child => child.kill("SIGKILL")));
process.once("SIGTERM", () => process.exit(143));

/** A program that can be started more than once, one run at a time. */
export class ChildProgram {
    private child: ChildProcess | undefined;
    private exited: Promise<void> = Promise.resolve();

    constructor(private readonly options: ChildProgramOptions) {}

    get isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Id of the running process; `undefined` while it does not run. */
    get processId(): number | undefined {
        return this.isRunning ? this.child?.pid : undefined;
    }

    start(): Result<void, Failure> {
        const { name, main, args, logFile } = this.options;
        if (this.isRunning) {
            return Err(createFailure("process-running", `process "${name}" is running already`, "notRun"));
        }
        const log = openSync(logFile, "a");
        const child = spawn(process.execPath, [main, ...args], { stdio: ["ignore", log, log] });
        closeSync(log);
        this.child = child;
        runningChildren.add(child);
        child.once("exit", () => runningChildren.delete(child));
        this.exited = new Promise(resolve => {
            child.once("exit", () => resolve());
            child.once("error", () => resolve());
        });
        return Ok(undefined);
    }

    /** Sends SIGTERM and waits; fails if the program does not end by itself with status 0. */
    async stop(): Promise<Result<void, Failure>> {
        const sent = this.sendSignal("SIGTERM");
        if (!sent.ok) {
            return sent;
        }
        const { name, stopMs = 15_000 } = this.options;
        const timer = setTimeout(() => this.child?.kill("SIGKILL"), stopMs);
        await this.exited;
        clearTimeout(timer);
        const { exitCode, signalCode } = this.child ?? { exitCode: null, signalCode: null };
        if (exitCode === 0) {
            return Ok(undefined);
        }
        const end = signalCode === null ? `with status ${exitCode}` : `by ${signalCode}`;
        const message = `process "${name}" ended ${end} after SIGTERM, within ${stopMs} ms; log: ${this.readLogTail()}`;
        return Err(createFailure("process-failed", message, "ran"));
    }

    /** Ends the program with SIGKILL, also while it is paused. */
    async kill(): Promise<Result<void, Failure>> {
        const sent = this.sendSignal("SIGKILL");
        await this.exited;
        return sent;
    }

    pause(): Result<void, Failure> {
        return this.sendSignal("SIGSTOP");
    }

    resume(): Result<void, Failure> {
        return this.sendSignal("SIGCONT");
    }

    /** Returns the end of the program's log. */
    readLogTail(): string {
        try {
            return readFileSync(this.options.logFile, "utf8").slice(-logTailLength);
        }
        catch {
            return "(no log)";
        }
    }

    private sendSignal(name: NodeJS.Signals): Result<void, Failure> {
        if (!this.isRunning) {
            const message = `process "${this.options.name}" is not running; log: ${this.readLogTail()}`;
            return Err(createFailure("process-ended", message, "notRun"));
        }
        this.child?.kill(name);
        return Ok(undefined);
    }
}
