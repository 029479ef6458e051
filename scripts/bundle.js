// Bundles the program of a host into target/waxwing-node.cjs. One file loads several times faster than the packages.
import { build } from "esbuild";
import { existsSync } from "node:fs";
import { resolve } from "node:path";

const sources = {
    name: "workspace-sources",
    setup(builder) {
        builder.onResolve({ filter: /^@waxwingroute\// }, ({ path }) => {
            const name = path.replace("@waxwingroute/", "");
            const candidates = name === "platform-adapter" ? ["platform"] : [`packages/${name}`];
            const file = candidates.map(directory => resolve(directory, "src/index.ts")).find(existsSync);
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

await build({
    entryPoints: ["packages/node/src/main.ts"],
    outfile: "target/waxwing-node.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
    plugins: [sources],
});
