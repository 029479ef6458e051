/**
 * Generates the parser from the grammar: `npm run generate` writes it to `src/generated/scenario-parser.ts`.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import peggy from "peggy";

const grammarFile = fileURLToPath(new URL("../src/scenario.peggy", import.meta.url));
const parserFile = fileURLToPath(new URL("../src/generated/scenario-parser.ts", import.meta.url));

/** Returns the text of the parser for the grammar as it is now. */
export function generateParser(): string {
    const source = peggy.generate(readFileSync(grammarFile, "utf8"), { output: "source", format: "es" });
    // The output is JavaScript; the file is TypeScript so that the compiler copies it to dist.
    return `// @ts-nocheck\n${source}`;
}

/** Returns the text of the committed parser. */
export function readParser(): string {
    return readFileSync(parserFile, "utf8");
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    writeFileSync(parserFile, generateParser());
}
