import type { ChildProcess } from "node:child_process";

const children = new Set<ChildProcess>();

const killAll = (): void => {
  children.forEach((child) => child.kill("SIGKILL"));
};

process.once("exit", killAll);
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => {
    killAll();
    process.exit(1);
  });
}

/** Has a child process killed when this process ends before it. */
export const endWithThisProcess = (child: ChildProcess): void => {
  children.add(child);
  child.once("exit", () => {
    children.delete(child);
  });
};
