import type { ChildProcess } from "node:child_process";

const children = new Set<ChildProcess>();
let isWatching = false;

const killAll = (): void => {
  children.forEach((child) => child.kill("SIGKILL"));
};

/** Handles the end of this process; other commands of the program end by themselves at a signal. */
const watchOwnEnd = (): void => {
  if (isWatching) {
    return;
  }
  isWatching = true;
  process.once("exit", killAll);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => {
      killAll();
      process.exit(1);
    });
  }
};

/** Has a child process killed when this process ends before it. */
export const endWithThisProcess = (child: ChildProcess): void => {
  watchOwnEnd();
  children.add(child);
  child.once("exit", () => {
    children.delete(child);
  });
};
