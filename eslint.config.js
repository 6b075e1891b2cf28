import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**"] },
    {
        files: ["src/**/*.ts", "bench/**/*.ts", "test/**/*.ts", "tools/**/*.ts", "tools/**/*.cts", "platform/**/*.ts"],
        extends: [...tseslint.configs.recommended],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "prefer-const": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/consistent-type-imports": "off",
        },
    },
);
