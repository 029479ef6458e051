/**
 * The signals of a process, from its first statement on.
 *
 * Without a listener, SIGTERM, SIGINT, SIGHUP and SIGUSR2 end a process at once and SIGUSR1 opens a debugger's port. A
 * program therefore loads this module before all others; it imports nothing, so that nothing is loaded before it.
 */

/**
 * What a program does on a signal: `stop` ends it in order, `reload` means that its settings have changed, and `unused`
 * signals have no meaning.
 */
export type SignalPurpose = "stop" | "reload" | "unused";

/** Receives the name of a signal, for example `SIGTERM`. */
export type SignalListener = (signal: string) => void;

/** Where the signals come from: `process`, or in tests an event emitter. */
export interface SignalSource {
    on(signal: NodeJS.Signals, listener: () => void): unknown;
}

const purposes: Readonly<Record<SignalPurpose, readonly NodeJS.Signals[]>> = {
    stop: ["SIGTERM", "SIGINT"],
    reload: ["SIGHUP"],
    unused: ["SIGUSR1", "SIGUSR2"],
};

/**
 * Listens to the signals as soon as it is created, and keeps those of a purpose until the program can handle them.
 * Several kept signals of one name count as one.
 *
 * @example
 * ```ts
 * const signals = new ProcessSignals();
 * const { runProgram } = await import("./run-program.js");
 * await runProgram(signals); // calls `signals.handle("stop", ...)` when it can stop
 * ```
 */
export class ProcessSignals {
    private readonly kept = new Map<SignalPurpose, Set<string>>();
    private readonly listeners = new Map<SignalPurpose, SignalListener>();

    constructor(source: SignalSource = process) {
        for (const purpose of Object.keys(purposes) as SignalPurpose[]) {
            for (const signal of purposes[purpose]) {
                source.on(signal, () => this.receive(purpose, signal));
            }
        }
    }

    /** Whether a signal of this purpose was received that is not handled yet. */
    has(purpose: SignalPurpose): boolean {
        return this.kept.has(purpose);
    }

    /** Passes the signals of a purpose to `listener`: those that were kept at once, later ones as they come. */
    handle(purpose: SignalPurpose, listener: SignalListener): void {
        this.listeners.set(purpose, listener);
        const kept = this.kept.get(purpose) ?? [];
        this.kept.delete(purpose);
        for (const signal of kept) {
            listener(signal);
        }
    }

    private receive(purpose: SignalPurpose, signal: string): void {
        const listener = this.listeners.get(purpose);
        if (listener !== undefined) {
            listener(signal);
            return;
        }
        this.kept.set(purpose, (this.kept.get(purpose) ?? new Set()).add(signal));
    }
}
