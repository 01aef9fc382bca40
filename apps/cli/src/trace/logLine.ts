/** Fields of a line of a node's log. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Parses a line of a node's log.
 *
 * @param line - The line; anything may stand before its JSON object.
 * @returns Null if it holds no JSON object, as where a file is cut off.
 */
export const parseLogLine = (line: string): LogFields | null => {
  const start = line.indexOf("{");
  if (start < 0) {
    return null;
  }
  try {
    const value: unknown = JSON.parse(line.slice(start));
    return typeof value === "object" && value !== null ? (value as LogFields) : null;
  } catch {
    // The caller tells how many lines cannot be read.
    return null;
  }
};
