import { readdirSync, readFileSync } from "node:fs";

const KB_PER_MB = 1_024;

/**
 * Returns the largest resident memory that a process has had, in MB.
 *
 * @param pid - Id of a running process.
 */
export const peakMemoryMb = (pid: number): number => {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/mu.exec(status)?.[1]) / KB_PER_MB;
};

/**
 * Returns the number of descriptors that a process has open.
 *
 * @param pid - Id of a running process.
 */
export const openDescriptors = (pid: number): number => readdirSync(`/proc/${pid}/fd`).length;
