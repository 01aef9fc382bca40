import type { LoadReport, LoadState, StreamReport } from "./types.js";

const streamReport = (state: LoadState, index: number): StreamReport | null => {
  const stream = state.plan.streams[index];
  const counts = state.counts[index];
  if (stream === undefined || counts === undefined) {
    return null;
  }
  const { latencyMs, ...rest } = counts;
  return {
    ...rest,
    team: stream.team,
    queue: stream.queue,
    workMs: stream.workMs,
    latency: {
      p50Ms: latencyMs.getValueAtPercentile(50),
      p99Ms: latencyMs.getValueAtPercentile(99),
      maxMs: latencyMs.maxValue,
    },
  };
};

/** Returns the report of a load so far, as plain data. */
export const reportOf = (state: LoadState): LoadReport => ({
  streams: state.plan.streams
    .map((_, index) => streamReport(state, index))
    .filter((report) => report !== null),
  outcomes: Object.fromEntries(state.outcomes),
});
