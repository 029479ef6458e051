// Creates the skeleton of a workspace package: node scripts/new-package.js <name> "<description>" [dependency...]
// Dependencies that name a workspace package are linked; others take the version of the root package.json.
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";

const [name, description, ...dependencies] = process.argv.slice(2);
const directory = `packages/${name}`;
if (name === undefined || description === undefined || existsSync(`${directory}/package.json`)) {
    console.error(`usage: new-package.js <name> "<description>" [dependency...]; ${name ?? "name"} must not exist yet`);
    process.exit(2);
}
const root = JSON.parse(readFileSync("package.json", "utf8"));
const versions = { ...root.dependencies, ...root.devDependencies };
const isLocal = dependency => existsSync(`packages/${dependency}/package.json`);
mkdirSync(`${directory}/src`, { recursive: true });
const writeJson = (file, value) => writeFileSync(file, `${JSON.stringify(value, undefined, 4)}\n`);
writeJson(`${directory}/package.json`, {
    name: `@waxwingroute/${name}`,
    version: root.version,
    description,
    license: root.license,
    type: "module",
    exports: { ".": { types: "./dist/index.d.ts", default: "./dist/index.js" } },
    dependencies: Object.fromEntries(
        dependencies.map(dependency =>
            isLocal(dependency) ? [`@waxwingroute/${dependency}`, root.version] : [dependency, versions[dependency]]
        ),
    ),
});
writeJson(`${directory}/tsconfig.json`, {
    extends: "../../tsconfig.base.json",
    compilerOptions: { rootDir: "src", outDir: "dist" },
    include: ["src"],
    references: dependencies.filter(isLocal).map(dependency => ({ path: `../${dependency}` })),
});
if (!existsSync(`${directory}/README.md`)) {
    writeFileSync(`${directory}/README.md`, `# @waxwingroute/${name}\n\n${description}\n`);
}
if (!existsSync(`${directory}/src/index.ts`)) {
    writeFileSync(`${directory}/src/index.ts`, `/** ${description} */\nexport {};\n`);
}
const solution = existsSync("tsconfig.json")
    ? JSON.parse(readFileSync("tsconfig.json", "utf8"))
    : { files: [], references: [] };
solution.references.push({ path: `packages/${name}` });
writeJson("tsconfig.json", solution);
