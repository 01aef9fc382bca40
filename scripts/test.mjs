// Runs the tests that run side by side, then those that must run alone, with the given options of
// AVA. Exits with 1 if either run fails.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const options = process.argv.slice(2);

const run = (config) =>
  spawnSync("npx", ["--no-install", "ava", "--config", config, ...options], {
    cwd: root,
    stdio: "inherit",
  }).status === 0;

const results = ["ava.config.mjs", "clients.ava.config.mjs"].map(run);
process.exit(results.every(Boolean) ? 0 : 1);
