import { parseLogLine } from "../trace/logLine.js";

const EVENT_PREFIX = "evacuation.";

type LogFields = Readonly<Record<string, unknown>>;

const timeOf = ({ at }: LogFields): number => Date.parse(String(at));

/** Counts of a progress line, with what the runs that they count wait for. */
const WAITS = [
  ["batchRuns", "batch runs until they end"],
  ["movingRuns", "long-running about to move"],
  ["heldRuns", "long-running held by maxUnavailable"],
  ["unplacedRuns", "long-running without room elsewhere"],
] as const;

const describeWork = (fields: LogFields): string => {
  const waits = WAITS.filter(([name]) => Number(fields[name]) > 0);
  return waits.map(([name, what]) => `${String(fields[name])} ${what}`).join(", ");
};

/** Describes the state of a zone by the newest line on it. */
const describeZone = (zone: string, fields: LogFields): string => {
  const { event, at, since, workers } = fields;
  switch (event) {
    case "evacuation.requested":
      return `${zone} requested, seen at ${String(at)}`;
    case "evacuation.progress":
      return `${zone} emptying since ${String(since)}: ${describeWork(fields)}`;
    case "evacuation.emptied":
      return `${zone} empty since ${String(at)}, requested ${String(since)}, ${String(workers)} workers`;
    default:
      return `${zone} back in service since ${String(at)}`;
  }
};

/**
 * Describes the zones whose evacuation nodes have logged, each by the newest line on it.
 *
 * @param texts - Contents of the log files of all nodes.
 * @returns One line for each zone, sorted by zone.
 */
export const describeEvacuations = (texts: readonly string[]): readonly string[] => {
  const newest = new Map<string, LogFields>();
  const lines = texts.flatMap((text) => text.split("\n"));
  for (const line of lines.filter((text) => text.includes(EVENT_PREFIX))) {
    const fields = parseLogLine(line);
    const { event, zone } = fields ?? {};
    if (fields === null || typeof zone !== "string" || !String(event).startsWith(EVENT_PREFIX)) {
      continue;
    }
    const known = newest.get(zone);
    if (known === undefined || timeOf(fields) >= timeOf(known)) {
      newest.set(zone, fields);
    }
  }
  return [...newest]
    .sort(([one], [other]) => one.localeCompare(other))
    .map(([zone, fields]) => describeZone(zone, fields));
};
