/** Ways in which the owner of the cell loses it, as parts of troubles. */
import type { HostProcess } from "./host-process.js";
import type { TroubleContext } from "./trouble.js";

/** How the owner changes. */
export type OwnerChange = "none" | "pause" | "kill" | "stop";

/** Longest pause, ms. */
const maxPauseMs = 5_000;
/** Time after a start in which no other trouble ends the host, ms. */
const startMs = 1_500;

/** Pauses a host, or ends it and starts it again at the same address. */
export async function replaceOwner(
    { random, wait }: TroubleContext,
    host: HostProcess,
    change: OwnerChange,
): Promise<void> {
    if (change === "none") {
        return;
    }
    const awayMs = Math.round(random.getFloat() * maxPauseMs);
    await host.takeTurn(async () => {
        if (change === "pause") {
            host.sendSignal("SIGSTOP");
            await wait(awayMs);
            host.sendSignal("SIGCONT");
            return;
        }
        await (change === "kill" ? host.kill() : host.stop());
        await wait(awayMs);
        host.start();
        await wait(startMs);
    });
}
