// Reports the result of `node --test` in short form and ends with "N passed, N failed".
//
// Tests named in KNOWN-RED.txt (lines "test: <full name>") are run and printed, but do not count as failures.
// A known-red test that passes counts as a failure, so that the list cannot go stale.
import { existsSync, readFileSync } from "node:fs";
import { relative } from "node:path";

function readKnownRed() {
    if (!existsSync("KNOWN-RED.txt")) {
        return new Set();
    }
    const lines = readFileSync("KNOWN-RED.txt", "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
}

function formatError(error) {
    const cause = error?.cause ?? error;
    return String(cause?.stack ?? cause).split("\n").slice(0, 12).map(line => `    ${line}`).join("\n");
}

export default async function* report(source) {
    const knownRed = readKnownRed();
    const seenKnownRed = new Set();
    const names = [];
    const failures = [];
    let passed = 0;
    let failed = 0;
    let skipped = 0;
    for await (const event of source) {
        const { data } = event;
        if (event.type === "test:start") {
            names.length = data.nesting;
            names[data.nesting] = data.name;
        }
        else if (event.type === "test:pass" || event.type === "test:fail") {
            const name = [...names.slice(0, data.nesting), data.name].join(" > ");
            const isSuite = data.details?.type === "suite";
            // A suite fails when one of its tests fails; counting it too would count the failure twice.
            const isSuiteOfFailedTests = isSuite && data.details?.error?.failureType === "subtestsFailed";
            if (data.skip !== undefined && data.skip !== false || data.todo !== undefined && data.todo !== false) {
                skipped++;
                yield `skipped: ${name}\n`;
            }
            else if (event.type === "test:pass") {
                if (isSuite) {
                    continue;
                }
                if (knownRed.has(name)) {
                    seenKnownRed.add(name);
                    failed++;
                    failures.push(`${name}\n    listed in KNOWN-RED.txt but passes: remove its entry`);
                }
                else {
                    passed++;
                }
            }
            else if (!isSuiteOfFailedTests) {
                if (knownRed.has(name)) {
                    seenKnownRed.add(name);
                    yield `known red: ${name}\n${formatError(data.details?.error)}\n`;
                }
                else {
                    failed++;
                    const file = data.file === undefined ? "" : ` (${relative(process.cwd(), data.file)})`;
                    failures.push(`${name}${file}\n${formatError(data.details?.error)}`);
                    yield `FAILED: ${name}\n`;
                }
            }
        }
        else if (event.type === "test:stdout" && process.env.SHOW_TEST_OUTPUT === "1") {
            yield data.message;
        }
        else if (event.type === "test:diagnostic" && data.message.startsWith("result:")) {
            yield `${data.message}\n`;
        }
    }
    for (const name of knownRed) {
        if (!seenKnownRed.has(name)) {
            failed++;
            failures.push(`${name}\n    listed in KNOWN-RED.txt but was not run`);
        }
    }
    for (const failure of failures) {
        yield `\nFAILED: ${failure}\n`;
    }
    if (failed > 0) {
        process.exitCode = 1;
    }
    yield `${passed} passed, ${failed} failed${skipped > 0 ? `, ${skipped} skipped` : ""}\n`;
}
