import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Resources that a process has used, as the operating system reports them. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes read and written, mostly through sockets. */
  readonly ioBytes: number;
}

const residentBytesOf = (pid: number): number => {
  const line = readFileSync(`/proc/${pid}/status`, "utf8")
    .split("\n")
    .find((candidate) => candidate.startsWith("VmRSS:"));
  return Number(line?.replace(/\D/g, "") ?? 0) * 1_024;
};

const ioBytesOf = (pid: number): number => {
  const lines = readFileSync(`/proc/${pid}/io`, "utf8").split("\n");
  return lines
    .filter((line) => /^[rw]char:/.test(line))
    .reduce((sum, line) => sum + Number(line.replace(/\D/g, "")), 0);
};

/**
 * @param pid - Id of the process.
 * @returns Resources that it has used since its start.
 */
export const processUsage = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return {
    cpuMs: (ticks * 1_000) / CLOCK_TICKS_PER_SECOND,
    residentBytes: residentBytesOf(pid),
    ioBytes: ioBytesOf(pid),
  };
};
