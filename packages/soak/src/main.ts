/**
 * Plays a run: `main.js --seed N --program PATH [--shape NAME] [--rate N] [--executors N] [--lanes N] [--duration S]
 * [--hosts N] [--output FOLDER]`. Prints the verdict and the longest waits for the advice service. Exits with 1 if a rule
 * was broken.
 */
import { isAbsolute, resolve } from "node:path";
import { parseArgs } from "node:util";
import type { FirstCallWait } from "./first-calls.js";
import { isShapeName, shapes } from "./shapes.js";
import type { Shape } from "./shapes.js";
import { SoakRun } from "./soak-run.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        program: { type: "string", default: "target/waxwing-node.cjs" },
        shape: { type: "string", default: "mixed" },
        duration: { type: "string", default: "48" },
        calm: { type: "string", default: "32" },
        rate: { type: "string" },
        executors: { type: "string" },
        lanes: { type: "string" },
        hosts: { type: "string", default: "6" },
        output: { type: "string" },
    },
});
const { shape, output, program } = values;
if (!isShapeName(shape)) {
    process.stderr.write(`soak: there is no shape ${shape}; shapes are ${Object.keys(shapes).join(", ")}\n`);
    process.exit(2);
}
["SIGINT" as const, "SIGTERM" as const].forEach(signal => process.on(signal, () => process.exit(2)));
const shapeOptions: Shape = shapes[shape];
const { workload, executors, lanes } = shapeOptions;
const rate = values.rate === undefined ? undefined : Number(values.rate);
const result = await new SoakRun({
    seed: Number(values.seed),
    program: isAbsolute(program) ? program : resolve(program),
    shape: {
        ...shapeOptions,
        executors: Number(values.executors ?? executors),
        lanes: Number(values.lanes ?? lanes),
        workload: rate === undefined ? workload : { ...workload, jobsPerSecond: rate, peakJobsPerSecond: rate },
    },
    troubleMs: Number(values.duration) * 1_000,
    calmMs: Number(values.calm) * 1_000,
    hosts: Number(values.hosts),
    outputDirectory: output === undefined ? undefined : resolve(output),
}).run();
const broken = Object.entries(result.breaks).filter(([, texts]) => texts.length > 0);
const counts = broken.map(([rule, texts]) => `${rule} ${texts.length}`).join(", ");
const { advice, longestFirstCall, longestPassedOver } = result;
process.stdout.write(
    `${shape} seed ${values.seed}: ${result.jobs} jobs, ${result.accepted} accepted, ${result.open} open, ${result.runs} runs: ${
        counts || "no rule broken"
    }\n`,
);
process.stdout.write(
    `    advice: ${advice.calls} calls, worked on for ${
        toSeconds(advice.workMs)
    } s, ${advice.refused} refused, ${`${result.ticketRefusals} starts refused`}; longest stand in the calm ${
        toSeconds(result.longestStandingMs)
    } s\n`,
);
printWait("longest wait for a first call", longestFirstCall);
printWait("longest passed over by others", longestPassedOver);
broken.forEach(([rule, texts]) => texts.slice(0, 5).forEach(text => process.stdout.write(`    ${rule}: ${text}\n`)));
process.exit(broken.length > 0 ? 1 : 0);

function printWait(title: string, wait: FirstCallWait | undefined): void {
    if (wait !== undefined) {
        const { step, queue, readyAt, waitMs, passedOverMs, isAsked } = wait;
        const times = `${toSeconds(waitMs)} s, of them ${toSeconds(passedOverMs)} s with calls about others`;
        const details = `${step} of ${queue}, ready at ${toSeconds(readyAt)} s${isAsked ? "" : ", never asked"}`;
        process.stdout.write(`    ${shape}: ${title} ${times} (${details})\n`);
    }
}

function toSeconds(ms: number): string {
    return (ms / 1_000).toFixed(1);
}
