/** Asks V8 to free unused memory. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

/** Collects all garbage of the heap and of buffers, and returns free pages to the system. */
export function collectGarbage(): void {
    if (collect === undefined) {
        // The limit of the heap cannot be lowered in a running process, so that V8 does not see the limit of the host.
        setFlagsFromString("--expose-gc");
        collect = runInNewContext("gc") as () => void;
    }
    collect();
}
