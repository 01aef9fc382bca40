import { fork, type ChildProcess } from "node:child_process";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { Program } from "@heatherferry/standins";

const children: ChildProcess[] = [];
const programs: Program[] = [];

/**
 * Starts a program of this benchmark and waits until it sends the address at which it listens.
 *
 * @param name - Name of its file in this directory.
 * @param args - Its arguments.
 * @returns The address and the id of the process.
 */
export const startProcess = async (
  name: string,
  args: readonly string[],
): Promise<{ address: string; pid: number }> => {
  const path = fileURLToPath(new URL(name, import.meta.url));
  const child = fork(path, [...args]);
  children.push(child);
  return new Promise((resolve, reject) => {
    child.once("message", (message) => {
      const bound = message as AddressInfo;
      resolve({ address: `${bound.address}:${bound.port}`, pid: child.pid ?? 0 });
    });
    child.once("exit", () => {
      reject(new Error(`${name} exited before it listened; see its output on stderr`));
    });
  });
};

/** Addresses and process id of a running daemon. */
export interface StartedDaemon {
  readonly callers: string;
  readonly admin: string;
  readonly pid: number;
}

const textOf = (value: unknown): string => (typeof value === "string" ? value : "");

const startDaemon = async (app: string, settingsPath: string): Promise<StartedDaemon> => {
  const path = fileURLToPath(new URL(`../../../../apps/${app}/dist/src/main.js`, import.meta.url));
  const program = new Program(path, ["--settings", settingsPath]);
  programs.push(program);
  const { callers, admin } = await program.waitForLog("listening");
  return { callers: textOf(callers), admin: textOf(admin), pid: program.pid };
};

/**
 * Starts an entry host and waits until it listens.
 *
 * @param settingsPath - Its settings file.
 * @returns Its addresses and the id of its process.
 */
export const startEntry = async (settingsPath: string): Promise<StartedDaemon> =>
  startDaemon("entry", settingsPath);

/**
 * Starts a maintainer and waits until it listens.
 *
 * @param settingsPath - Its settings file.
 * @returns Its addresses and the id of its process.
 */
export const startMaintainer = async (settingsPath: string): Promise<StartedDaemon> =>
  startDaemon("maintainer", settingsPath);

/** Kills all processes that this module has started. */
export const killAll = (): void => {
  children.forEach((child) => child.kill("SIGKILL"));
  programs.forEach((program) => {
    program.signal("SIGKILL");
  });
};
