import { spawnSync } from "node:child_process";
import { dirname, resolve } from "node:path";
import { loadSettings } from "@heatherferry/common";
import { z } from "zod";

const DEPLOY_FILE = z.object({
  build: z.string().min(1),
  roles: z.object({ work: z.object({ run: z.string().min(1) }) }),
});

/** The command of a role of the deploy file, and the folder in which it runs. */
export interface DeployedProgram {
  readonly folder: string;
  readonly program: string;
  readonly args: readonly string[];
}

/**
 * Builds the program of a deploy file as the platform does.
 *
 * @param path - Path of `deploy/system.toml` in a repository.
 * @returns How the platform runs the role `work`.
 * @throws Error with the output of the build if it fails.
 */
export const buildDeployed = (path: string): DeployedProgram => {
  const { build, roles } = loadSettings(path, DEPLOY_FILE);
  const folder = dirname(dirname(resolve(path)));
  const built = spawnSync("bash", ["-c", build], { cwd: folder, encoding: "utf8" });
  if (built.status !== 0) {
    throw new Error(`The build of ${path} failed; run it by hand: ${built.stderr}${built.stdout}`);
  }
  const [program = "", ...args] = roles.work.run.split(" ");
  return { folder, program, args };
};
