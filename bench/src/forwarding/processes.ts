import { fork, type ChildProcess } from "node:child_process";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";

const started: ChildProcess[] = [];

/**
 * Starts a program of this benchmark that sends its address when it listens.
 *
 * @param name - File name beside this one.
 * @param args - Its arguments.
 * @returns `host:port`.
 */
export const startListening = async (name: string, args: readonly string[]): Promise<string> => {
  const path = fileURLToPath(new URL(name, import.meta.url));
  const child = fork(path, [...args]);
  started.push(child);
  return new Promise((resolve, reject) => {
    child.once("message", (message) => {
      const bound = message as AddressInfo;
      resolve(`${bound.address}:${bound.port}`);
    });
    child.once("exit", () => {
      reject(new Error(`${name} ended before it listened`));
    });
  });
};

/**
 * Starts an entry host and waits until it listens.
 *
 * @param settingsPath - Its settings file.
 * @returns The callers' address, and the process.
 */
export const startEntry = async (
  settingsPath: string,
): Promise<{ callers: string; admin: string; pid: number }> => {
  const path = fileURLToPath(new URL("../../../../apps/entry/dist/src/main.js", import.meta.url));
  const child = fork(path, ["--settings", settingsPath], {
    stdio: ["ignore", "ignore", "pipe", "ipc"],
  });
  started.push(child);
  return new Promise((resolve, reject) => {
    child.once("exit", (code) => {
      reject(new Error(`The entry host ended with code ${code ?? "none"}`));
    });
    child.stderr?.on("data", (chunk: Buffer) => {
      for (const line of chunk.toString().split("\n").filter(Boolean)) {
        const record = JSON.parse(line) as Record<string, string>;
        if (record.event === "listening") {
          resolve({
            callers: record.callers ?? "",
            admin: record.admin ?? "",
            pid: child.pid ?? 0,
          });
        }
      }
    });
  });
};

/** Ends what was started here. */
export const stopAll = (): void => {
  started.forEach((child) => child.kill("SIGKILL"));
};
