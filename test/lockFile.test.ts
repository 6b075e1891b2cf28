import test from "ava";
import fs from "node:fs";
import { fileURLToPath } from "node:url";

interface LockedPackage {
    readonly os?: readonly string[];
    readonly cpu?: readonly string[];
    readonly libc?: readonly string[];
    readonly optionalDependencies?: Readonly<Record<string, string>>;
}

const architectures = ["x64", "arm64"] as const;
const lockFile = fileURLToPath(new URL("../../package-lock.json", import.meta.url));
const { packages } = JSON.parse(fs.readFileSync(lockFile, "utf8")) as {
    readonly packages: Readonly<Record<string, LockedPackage>>;
};

function isForLinux({ os, cpu }: LockedPackage, architecture: string): boolean {
    return os?.includes("linux") === true && cpu?.includes(architecture) === true;
}

function listBinaries({ optionalDependencies }: LockedPackage): readonly LockedPackage[] {
    return Object.keys(optionalDependencies ?? {}).flatMap(name => packages[`node_modules/${name}`] ?? [])
        .filter(({ os, cpu }) => os !== undefined || cpu !== undefined);
}

test("guards against a lock file that was written on one architecture and lacks the binaries of another", t => {
    const withBinaries = Object.entries(packages).map(([name, locked]) => ({ name, binaries: listBinaries(locked) }))
        .filter(({ binaries }) => binaries.some(({ cpu }) => cpu !== undefined));
    t.true(withBinaries.length > 0, "packages with binaries were found");
    for (const { name, binaries } of withBinaries) {
        for (const architecture of architectures) {
            t.true(binaries.some(binary => isForLinux(binary, architecture)), `${name} on linux ${architecture}`);
        }
    }
});

test("guards against a required package that installs on one architecture only", t => {
    const dependents = Object.values(packages).flatMap(locked => Object.keys(locked.optionalDependencies ?? {}));
    const optionalPaths = new Set(dependents.map(name => `node_modules/${name}`));
    const restricted = Object.entries(packages).filter(([path, { cpu }]) =>
        cpu !== undefined && !optionalPaths.has(path)
    );
    t.deepEqual(restricted.map(([path]) => path), []);
});
