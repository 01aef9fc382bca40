import { demandOf, type Load } from "./grownDemand.js";
import { GrownSite, type Fate } from "./grownSite.js";
import { RoomWatch } from "./roomWatch.js";

/** The owner of the work loses power, or all nodes that are strong enough for it do. */
export interface PowerLoss {
  readonly of: "owner" | "strongNodes";
  readonly atMs: number;
  /** Infinite where they do not come back. */
  readonly forMs: number;
}

/** What a day is made of. */
export interface GrownDay {
  readonly seed: number;
  /** In the order of time. */
  readonly loads: readonly Load[];
  /** Null where no node loses power. */
  readonly powerLoss: PowerLoss | null;
  /** Submissions that wait beside room are looked for from then on. */
  readonly watchFromMs: number;
}

/** Long enough for what was handed in last to be late. */
const TAIL_MS = 5_000;

/** A day that was played. */
export interface PlayedDay {
  readonly site: GrownSite;
  /** The longest that a submission waited beside room for it. */
  readonly besideRoomMs: number;
  /** Share of its time in which the owner was at work while callers handed work in. */
  readonly ownerBusyShare: number;
}

const isInTime = ({ demand, shownAtMs, objectiveMs }: Fate): boolean =>
  shownAtMs !== null && shownAtMs - demand.atMs <= objectiveMs;

/** @returns The part of what was handed in within a time that was shown as completed in time. */
export const inTimeShare = (
  { site }: PlayedDay,
  { fromMs, untilMs }: Omit<Load, "times">,
): number => {
  const fates = [...site.fates.values()].filter(
    ({ demand }) => demand.atMs >= fromMs && demand.atMs < untilMs,
  );
  return fates.filter(isInTime).length / fates.length;
};

const losePower = (site: GrownSite, { of, atMs, forMs }: PowerLoss): void => {
  site.at(atMs, () => {
    const lost = of === "owner" ? [site.ownerIndex()] : site.strongNodes;
    lost.forEach((node) => {
      site.kill(node, forMs);
    });
  });
};

/**
 * Plays a day of a site of the size that is stated.
 *
 * @param processorPrice - Times that events cost what they usually do; null where they take no
 * time.
 */
export const playGrownDay = (day: GrownDay, processorPrice: number | null): PlayedDay => {
  const site = new GrownSite(day.seed, processorPrice);
  site.expect(demandOf(day.seed, day.loads));
  const watch = new RoomWatch(site, day.watchFromMs);
  if (day.powerLoss !== null) {
    losePower(site, day.powerLoss);
  }
  const fromMs = day.loads[0]?.fromMs ?? 0;
  const untilMs = day.loads.at(-1)?.untilMs ?? 0;
  site.run(fromMs);
  const busyBeforeMs = site.ownerBusyMs();
  site.run(untilMs - fromMs);
  const ownerBusyShare = (site.ownerBusyMs() - busyBeforeMs) / (untilMs - fromMs);
  site.run(TAIL_MS);
  return { site, besideRoomMs: watch.mostWaitMs, ownerBusyShare };
};
