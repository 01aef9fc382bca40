/**
 * Parses a line of a node's log.
 *
 * @returns Its fields; null for a line that is not complete, as at the end of a file.
 */
export const parseLogLine = (line: string): Record<string, unknown> | null => {
  const start = line.indexOf("{");
  if (start < 0) {
    return null;
  }
  try {
    const value: unknown = JSON.parse(line.slice(start));
    return typeof value === "object" && value !== null ? (value as Record<string, unknown>) : null;
  } catch {
    // The caller counts truncated lines.
    return null;
  }
};
