// Installs the dependencies if the lock file is newer than the installed tree, then builds.
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

const run = (command, args) => {
  const result = spawnSync(command, args, { cwd: root, stdio: "inherit" });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
};

const modifiedAtMs = (path) => (existsSync(path) ? statSync(path).mtimeMs : 0);

const installedAtMs = modifiedAtMs(`${root}node_modules/.package-lock.json`);
if (installedAtMs < modifiedAtMs(`${root}package-lock.json`)) {
  run("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
}
run("npx", ["--no-install", "tsc", "-b"]);
