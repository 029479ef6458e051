// Formats the sources with dprint's plugins, or checks them: node scripts/format.js <write|check>
//
// The plugins run in the WebAssembly host of @dprint/formatter instead of the dprint program: the program's packages for
// other systems are not in every registry, and `npm ci` refuses a lock file without them.
import { createFromBuffer } from "@dprint/formatter";
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const mode = process.argv[2];
if (mode !== "write" && mode !== "check") {
    console.error("usage: node scripts/format.js <write|check>");
    process.exit(2);
}
const settings = JSON.parse(readFileSync("dprint.json", "utf8"));
const { plugins, excludes, typescript, json, ...global } = settings;
function createFormatter(plugin, pluginSettings) {
    const formatter = createFromBuffer(readFileSync(`node_modules/@dprint/${plugin}/plugin.wasm`));
    formatter.setConfig(global, pluginSettings);
    return formatter;
}
const formatters = new Map([
    [".ts", createFormatter("typescript", typescript)],
    [".js", createFormatter("typescript", typescript)],
    [".json", createFormatter("json", json)],
]);
const files = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard"], { encoding: "utf8" })
    .split("\n")
    .filter(file => [...formatters.keys()].some(extension => file.endsWith(extension)))
    .filter(file => file !== "package-lock.json" && !file.includes("/generated/") && !file.startsWith("journal/"));

let changed = 0;
for (const file of files) {
    let text;
    try {
        text = readFileSync(file, "utf8");
    }
    catch {
        continue; // deleted in the working tree
    }
    const formatter = formatters.get(file.slice(file.lastIndexOf(".")));
    const formatted = formatter.formatText({ filePath: file, fileText: text });
    if (formatted !== text) {
        changed++;
        if (mode === "write") {
            writeFileSync(file, formatted);
        }
        else {
            console.error(`not formatted: ${file}`);
        }
    }
}
console.log(
    `${files.length} files, ${changed} ${mode === "write" ? "formatted" : "not formatted (run \`npm run format\`)"}`,
);
process.exit(mode === "check" && changed > 0 ? 1 : 0);
