import { parseLogLine, type LogFields } from "../trace/logLine.js";

const MS_PER_S = 1_000;

const seconds = (value: unknown): string => `${(Number(value) / MS_PER_S).toFixed(1)} s`;

/** Returns what the expected run time of a start rested on. */
const explainEstimate = (fields: LogFields): string => {
  const { expectedMs, estimateEnds, estimateAgeMs, estimateKind, callerEstimateMs } = fields;
  if (typeof expectedMs !== "number") {
    return "the version that ordered it did not log a run time";
  }
  if (Number(estimateEnds) === 0) {
    return `expected to take ${seconds(expectedMs)}, the caller's estimate`;
  }
  return (
    `expected to take ${seconds(expectedMs)}, learned from ${String(estimateEnds)} ends, ` +
    `the newest ${seconds(estimateAgeMs)} old, of "${String(estimateKind)}"; ` +
    `the caller estimated ${seconds(callerEstimateMs)}`
  );
};

/**
 * Explains the starts of an item: for each, the run time that it was decided by, how old that figure
 * was and how many ends it rested on.
 *
 * @param item - Name of the item.
 * @param texts - Contents of the log files.
 * @returns A line for each start, in order of time.
 */
export const explainRuns = (item: string, texts: readonly string[]): readonly string[] =>
  texts
    .flatMap((text) => text.split("\n"))
    .filter((line) => line.includes(item) && line.includes("run.ordered"))
    .flatMap((line) => {
      const fields = parseLogLine(line);
      return fields === null ? [] : [fields];
    })
    .filter(({ event, item: started }) => event === "run.ordered" && started === item)
    .sort((one, other) => Date.parse(String(one.at)) - Date.parse(String(other.at)))
    .map((fields) => {
      const { at, run, worker } = fields;
      return `${String(at)} run ${String(run)} on ${String(worker)}: ${explainEstimate(fields)}`;
    });
