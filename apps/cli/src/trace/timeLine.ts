/** One line of a node's log that names the id. */
interface TraceLine {
  readonly atMs: number;
  readonly text: string;
}

/** Fields that are shown before the others, or not at all. */
const LEADING_FIELDS: readonly string[] = ["at", "level", "program", "event"];

const shown = (value: unknown): string =>
  typeof value === "string" && !/\s/u.test(value) ? value : JSON.stringify(value);

const parseLine = (line: string): Record<string, unknown> | null => {
  const start = line.indexOf("{");
  if (start < 0) {
    return null;
  }
  try {
    const value: unknown = JSON.parse(line.slice(start));
    return typeof value === "object" && value !== null ? (value as Record<string, unknown>) : null;
  } catch {
    // A line cut off at the end of a file is counted by the caller.
    return null;
  }
};

const describe = (fields: Record<string, unknown>): TraceLine => {
  const { at, level, program, event } = fields;
  const rest = Object.entries(fields)
    .filter(([name]) => !LEADING_FIELDS.includes(name))
    .map(([name, value]) => `${name}=${shown(value)}`);
  const text = [at, level, program, event, ...rest].map(String).join(" ");
  return { atMs: Date.parse(String(at)), text };
};

export interface TimeLine {
  readonly lines: readonly string[];
  /** Lines that name the id and cannot be read. */
  readonly unreadable: number;
}

/**
 * Gathers the log lines that name an id, of all nodes, in the order of time. Times of day of
 * different nodes may differ a little.
 *
 * @param id - Of a submission, an item, a call, a worker or a host.
 * @param texts - Whole log files.
 * @returns The lines.
 */
export const timeLineOf = (id: string, texts: readonly string[]): TimeLine => {
  const naming = texts.flatMap((text) => text.split("\n")).filter((line) => line.includes(id));
  const parsed = naming.map(parseLine);
  const lines = parsed
    .filter((fields) => fields !== null)
    .map(describe)
    .sort((one, other) => one.atMs - other.atMs)
    .map(({ text }) => text);
  return { lines, unreadable: parsed.length - lines.length };
};
