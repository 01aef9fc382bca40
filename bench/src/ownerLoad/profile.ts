import { readFileSync } from "node:fs";

const US_PER_S = 1_000_000;

interface ProfileNode {
  readonly id: number;
  readonly callFrame: {
    readonly functionName: string;
    readonly url: string;
    readonly lineNumber: number;
  };
}

interface CpuProfile {
  readonly nodes: readonly ProfileNode[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
  readonly startTime: number;
}

/** Self time of a component or function, with its share of all time that was not idle. */
export interface SelfTime {
  readonly name: string;
  readonly ms: number;
  readonly share: number;
}

const IDLE = ["(idle)", "(program)"];

/** Component that a file belongs to, by a text that its URL contains; the first match counts. */
const COMPONENTS: readonly (readonly [string, string])[] = [
  ["packages/core/", "reducer"],
  ["packages/wire/", "rows"],
  ["packages/runners/", "event loop and effects"],
  ["packages/common/", "logger"],
  ["node_modules/tslog", "logger"],
  ["node_modules/prom-client", "metrics"],
  ["apps/work/", "metrics and log sink"],
  ["platform/dist", "calls and codecs"],
  ["node_modules/undici", "undici"],
  ["node:internal/deps/undici", "undici"],
  ["node:_http", "node:http"],
  ["node:internal/http", "node:http"],
  ["node:net", "sockets"],
  ["node:internal/stream_base", "sockets"],
  ["node:internal/streams", "streams"],
  ["node:internal/timers", "timers"],
  ["node:timers", "timers"],
  ["node:buffer", "buffers"],
  ["node:internal/abort", "abort signals"],
  ["node:internal/event_target", "abort signals"],
  ["node:events", "emitters"],
  ["node:", "other Node.js code"],
];

const componentOf = ({ functionName, url }: ProfileNode["callFrame"]): string => {
  if (functionName === "(garbage collector)") {
    return "garbage collection";
  }
  if (url === "") {
    return `native ${functionName}`;
  }
  return COMPONENTS.find(([text]) => url.includes(text))?.[1] ?? url;
};

const functionOf = ({ functionName, url, lineNumber }: ProfileNode["callFrame"]): string => {
  const file = url.split("/").slice(-2).join("/");
  return `${functionName === "" ? "(anonymous)" : functionName} ${file}:${lineNumber + 1}`;
};

const selfTimesBy = (
  profile: CpuProfile,
  fromS: number,
  nameOf: (frame: ProfileNode["callFrame"]) => string,
): readonly SelfTime[] => {
  const frames = new Map(profile.nodes.map(({ id, callFrame }) => [id, callFrame]));
  const usByName = new Map<string, number>();
  let totalUs = 0;
  let elapsedUs = 0;
  profile.samples.forEach((id, index) => {
    const frame = frames.get(id);
    const us = profile.timeDeltas[index + 1] ?? 0;
    elapsedUs += profile.timeDeltas[index] ?? 0;
    if (frame === undefined || IDLE.includes(frame.functionName) || elapsedUs < fromS * US_PER_S) {
      return;
    }
    const name = nameOf(frame);
    usByName.set(name, (usByName.get(name) ?? 0) + us);
    totalUs += us;
  });
  return [...usByName]
    .map(([name, us]) => ({ name, ms: us / 1_000, share: us / totalUs }))
    .sort((one, other) => other.ms - one.ms);
};

/**
 * Sums up the self times of a CPU profile.
 *
 * @param path - Profile that the runtime has written.
 * @param fromS - Time from the start of the profile before which samples are ignored.
 * @returns Self time by component and by function, the largest first.
 */
export const selfTimes = (
  path: string,
  fromS: number,
): { readonly parts: readonly SelfTime[]; readonly functions: readonly SelfTime[] } => {
  const profile = JSON.parse(readFileSync(path, "utf8")) as CpuProfile;
  return {
    parts: selfTimesBy(profile, fromS, componentOf),
    functions: selfTimesBy(profile, fromS, functionOf),
  };
};
