// Bundles the program of a host into target/, or the directory that an argument names. Few files load several times faster
// than the packages. The entry waxwing-node.cjs only listens to signals and loads the rest, waxwing-node-program.cjs, since
// a signal that arrives while 1.9 MB are parsed would otherwise end the process.
import { build } from "esbuild";
import { existsSync } from "node:fs";
import { join, resolve } from "node:path";

const directory = process.argv[2] ?? "target";

const sources = {
    name: "workspace-sources",
    setup(builder) {
        builder.onResolve({ filter: /^@waxwingroute\// }, ({ path }) => {
            const name = path.replace("@waxwingroute/", "");
            const [packageName, module = "index"] = name.split("/");
            const source = packageName === "platform-adapter" ? "platform" : `packages/${packageName}`;
            const file = [resolve(source, `src/${module}.ts`)].find(existsSync);
            return file === undefined ? undefined : { path: file };
        });
        // zod exports the messages of 40 languages, a sixth of the bundle. Its English ones are imported by themselves.
        builder.onResolve(
            { filter: /locales\/index\.js$/ },
            ({ importer }) => importer.includes("/zod/") ? { path: "locales", namespace: "no-locales" } : undefined,
        );
        builder.onLoad({ filter: /.*/, namespace: "no-locales" }, () => ({ contents: "export {};" }));
        // The CommonJS files of this package find each other by a computed name, which no bundler can follow.
        builder.onResolve({ filter: /^ts-results$/ }, ({ path }) => ({ path, namespace: "default-export" }));
        builder.onLoad({ filter: /.*/, namespace: "default-export" }, () => ({
            contents: `import * as all from "./node_modules/ts-results/esm/index.js"; export default all;`,
            resolveDir: process.cwd(),
        }));
    },
};

const entry = {
    name: "program-apart",
    setup(builder) {
        builder.onResolve(
            { filter: /^\.\/node-program\.js$/ },
            () => ({ path: "./waxwing-node-program.cjs", external: true }),
        );
    },
};

const options = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
};

await build({
    ...options,
    entryPoints: ["packages/node/src/main.ts"],
    outfile: join(directory, "waxwing-node.cjs"),
    // `require` loads a CommonJS file faster than `import`, which first looks for the names of its exports.
    supported: { "dynamic-import": false },
    plugins: [entry, sources],
});
await build({
    ...options,
    entryPoints: ["packages/node/src/node-program.ts"],
    outfile: join(directory, "waxwing-node-program.cjs"),
    plugins: [sources],
});
