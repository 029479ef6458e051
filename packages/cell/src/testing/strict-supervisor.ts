/** A supervisor for tests in which no error may be caught. */
import type { Clock } from "@waxwingroute/core";
import { Supervisor } from "@waxwingroute/telemetry";

/** Returns a supervisor that throws each error again, so that the test in which it occurs fails. */
export function createStrictSupervisor(clock: Clock): Supervisor {
    const write = (_level: string, message: string, fields?: Readonly<Record<string, unknown>>) => {
        throw new Error(`${message}: ${JSON.stringify(fields)}`);
    };
    return new Supervisor({ clock, logger: { write }, logIntervalMs: 0 });
}
