// Type-checked lint rules. The verb list enforces docs/naming.md on function and method names.
import tseslint from "typescript-eslint";
import { verbPattern } from "./scripts/verbs.js";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/generated/**", "node_modules/**", "target/**"] },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        extends: [...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "no-console": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/prefer-promise-reject-errors": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "class", format: ["PascalCase"] },
                {
                    selector: ["function", "classMethod"],
                    format: ["camelCase"],
                    custom: { regex: verbPattern, match: true },
                },
                { selector: "variable", modifiers: ["global", "const"], format: ["camelCase", "PascalCase"] },
                {
                    selector: ["variable", "parameter"],
                    format: ["camelCase", "PascalCase"],
                    leadingUnderscore: "allow",
                },
            ],
        },
    },
    {
        // Promises that nobody awaits go through the `Supervisor`, since an error in one would end the process.
        files: ["packages/cell/src/**/*.ts", "packages/node/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: ["packages/cell/src/testing/**", "packages/node/src/main.ts"],
        rules: { "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }] },
    },
    {
        files: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
        rules: {
            "@typescript-eslint/no-floating-promises": "off",
            "@typescript-eslint/naming-convention": "off",
            "@typescript-eslint/no-explicit-any": "off",
            "@typescript-eslint/no-unsafe-member-access": "off",
            "@typescript-eslint/no-unsafe-assignment": "off",
        },
    },
);
