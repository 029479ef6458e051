// Runs every compiled test file with node:test. Arguments filter the files by substring.
import { existsSync, readdirSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import report from "./test-reporter.js";

const filters = process.argv.slice(2);
const directories = ["platform", ...readdirSync("packages").map(name => join("packages", name))];
const files = directories
    .map(directory => join(directory, "dist"))
    .filter(directory => existsSync(directory))
    .flatMap(directory =>
        readdirSync(directory, { recursive: true })
            .filter(file =>
                file.endsWith("_test.js")
                && existsSync(join(directory.replace(/dist$/, "src"), file.replace(/\.js$/, ".ts")))
            )
            .map(file => join(directory, file))
    )
    .filter(file => filters.length === 0 || filters.some(filter => file.includes(filter)))
    .sort();

if (files.length === 0) {
    console.error("no test files found: run `npm run build` first");
    process.exit(1);
}
// Four files at a time keep timing-sensitive process tests from competing for cores on small machines.
const stream = run({ files: files.map(file => join(process.cwd(), file)), concurrency: 4, timeout: 240_000 });
for await (const chunk of report(stream)) {
    process.stdout.write(chunk);
}
