import { parseLogLine, type LogFields } from "./logLine.js";

/** One line of a node's log that contains the id. */
interface TraceLine {
  readonly atMs: number;
  readonly text: string;
}

/** Fields that stand first in each line, without their names. */
const LEADING_FIELDS: readonly string[] = ["at", "level", "program", "event"];

const formatValue = (value: unknown): string =>
  typeof value === "string" && !/\s/u.test(value) ? value : JSON.stringify(value);

const formatLine = (fields: LogFields): TraceLine => {
  const { at, level, program, event } = fields;
  const rest = Object.entries(fields)
    .filter(([name]) => !LEADING_FIELDS.includes(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  const text = [at, level, program, event, ...rest].map(String).join(" ");
  return { atMs: Date.parse(String(at)), text };
};

/** Log lines about one id, in order of time. */
export interface Timeline {
  readonly lines: readonly string[];
  /** Number of lines that contain the id and cannot be parsed. */
  readonly unreadable: number;
}

/**
 * Collects the log lines of all nodes that contain an id, in order of time. The wall clocks of
 * different nodes may differ slightly.
 *
 * @param id - Id of a submission, an item, a call, a worker or a host.
 * @param texts - Contents of the log files.
 */
export const timelineOf = (id: string, texts: readonly string[]): Timeline => {
  const matching = texts.flatMap((text) => text.split("\n")).filter((line) => line.includes(id));
  const parsed = matching.map(parseLogLine);
  const lines = parsed
    .filter((fields) => fields !== null)
    .map(formatLine)
    .sort((one, other) => one.atMs - other.atMs)
    .map(({ text }) => text);
  return { lines, unreadable: parsed.length - lines.length };
};
