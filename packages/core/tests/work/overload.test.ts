import test from "ava";
import { OWNERSHIP } from "../../src/work/constants.js";
import {
  onTimeShare,
  runFullScale,
  type FullScaleScenario,
  type ScenarioResult,
} from "./fullScaleScenario.js";

const SEED = 7;

/** Least part of the work on time without event costs that must be on time with them. */
const MIN_ON_TIME_SHARE = 0.9;

/** Greatest part of the owner's processor time that may be in use at the rated load. */
const MAX_BUSY_SHARE = 0.5;

/** Time after the end of a fault within which work must be on time again. */
const RECOVERY_MS = 15_000;

/** No submission may wait this long while there is free capacity for it. */
const MAX_WAIT_DESPITE_CAPACITY_MS = 3_000;

/** Factors on the usual cost of events; with null, events take no time. */
const COST_FACTOR = { NONE: null, USUAL: 1, DOUBLE: 2, EXCESSIVE: 4 } as const;

/** One cycle, in which each kind of work is submitted once. */
const ALL_KINDS = { fromMs: 4_500, untilMs: 22_500 } as const;

const STEADY_SCENARIO: FullScaleScenario = {
  seed: SEED,
  loads: [{ ...ALL_KINDS, times: 1 }],
  powerLoss: null,
  monitorFromMs: ALL_KINDS.fromMs,
};

/** End of the second period of short work (from 9 s and from 27 s), which shows delays the most. */
const SECOND_SHORT_WORK_ENDS_MS = 31_500;

const BURST_ENDS_MS = 13_500;

const BURST_SCENARIO: FullScaleScenario = {
  seed: SEED,
  loads: [
    { fromMs: 9_000, untilMs: 9_500, times: 1 },
    { fromMs: 9_500, untilMs: BURST_ENDS_MS, times: 3 },
    { fromMs: BURST_ENDS_MS, untilMs: SECOND_SHORT_WORK_ENDS_MS, times: 1 },
  ],
  powerLoss: null,
  monitorFromMs: BURST_ENDS_MS + RECOVERY_MS,
};

const OWNER_LOST_AT_MS = 13_600;

/** About 500 submissions arrive within half a second shortly before the owner fails. */
const TAKEOVER_SCENARIO: FullScaleScenario = {
  seed: SEED,
  loads: [
    { fromMs: 9_000, untilMs: 13_000, times: 1 },
    { fromMs: 13_000, untilMs: 13_500, times: 11 },
    { fromMs: 13_500, untilMs: SECOND_SHORT_WORK_ENDS_MS, times: 1 },
  ],
  powerLoss: { of: "owner", atMs: OWNER_LOST_AT_MS, forMs: Infinity },
  monitorFromMs: OWNER_LOST_AT_MS + RECOVERY_MS,
};

const STRONG_NODES_DOWN_MS = 3_000;

/** During the outage a front-end node with a quarter of the processor time is the owner. */
const UNDERPOWERED_OWNER_SCENARIO: FullScaleScenario = {
  seed: SEED,
  loads: [{ fromMs: 9_000, untilMs: SECOND_SHORT_WORK_ENDS_MS, times: 1 }],
  powerLoss: {
    of: "strongNodes",
    atMs: BURST_ENDS_MS - STRONG_NODES_DOWN_MS,
    forMs: STRONG_NODES_DOWN_MS,
  },
  monitorFromMs: BURST_ENDS_MS + RECOVERY_MS,
};

const SHORT_BURST_SCENARIO: FullScaleScenario = {
  seed: SEED,
  loads: [
    { fromMs: 9_000, untilMs: 9_500, times: 1 },
    { fromMs: 9_500, untilMs: BURST_ENDS_MS, times: 3 },
  ],
  powerLoss: null,
  monitorFromMs: SECOND_SHORT_WORK_ENDS_MS,
};

let freeSteadyRun: ScenarioResult | null = null;

const onTimeShareWithoutCost = (): number => {
  freeSteadyRun ??= runFullScale(STEADY_SCENARIO, COST_FACTOR.NONE);
  return onTimeShare(freeSteadyRun, ALL_KINDS);
};

test("at the rated load, an owner's processor is more than half in use or work is late", (t) => {
  const freeShare = onTimeShareWithoutCost();
  const day = runFullScale(STEADY_SCENARIO, COST_FACTOR.USUAL);
  const share = onTimeShare(day, ALL_KINDS);
  t.log({ freeShare, share, busy: day.ownerBusyShare });
  t.true(
    day.ownerBusyShare <= MAX_BUSY_SHARE,
    `${day.ownerBusyShare} of the processor time in use`,
  );
  t.true(
    share >= MIN_ON_TIME_SHARE * freeShare,
    `${share} on time, ${freeShare} without event costs`,
  );
});

test("at double cost of events, more than a tenth of the work that was on time is late", (t) => {
  const freeShare = onTimeShareWithoutCost();
  const day = runFullScale(STEADY_SCENARIO, COST_FACTOR.DOUBLE);
  const share = onTimeShare(day, ALL_KINDS);
  t.log({ freeShare, share, busy: day.ownerBusyShare, besideRoomMs: day.needlessWaitMs });
  t.true(
    share >= MIN_ON_TIME_SHARE * freeShare,
    `${share} on time, ${freeShare} without event costs`,
  );
  t.true(
    day.needlessWaitMs < MAX_WAIT_DESPITE_CAPACITY_MS,
    `waited ${day.needlessWaitMs} ms despite free capacity`,
  );
});

for (const { day, costFactor, failure } of [
  {
    day: BURST_SCENARIO,
    costFactor: COST_FACTOR.DOUBLE,
    failure:
      "at double cost of events, a burst of three times the rated load leaves an owner behind",
  },
  {
    day: TAKEOVER_SCENARIO,
    costFactor: COST_FACTOR.DOUBLE,
    failure: "at double cost of events, a backlog of 500 submissions leaves a new owner behind",
  },
  {
    day: UNDERPOWERED_OWNER_SCENARIO,
    costFactor: COST_FACTOR.USUAL,
    failure:
      "an underpowered node stays the owner although nodes with more processor time are back",
  },
]) {
  test(failure, (t) => {
    const watched = { fromMs: day.monitorFromMs, untilMs: SECOND_SHORT_WORK_ENDS_MS };
    const played = runFullScale(day, costFactor);
    const share = onTimeShare(played, watched);
    t.log({ share, besideRoomMs: played.needlessWaitMs });
    t.true(share >= MIN_ON_TIME_SHARE, `${share} on time, 1 without event costs`);
    t.true(
      played.needlessWaitMs < MAX_WAIT_DESPITE_CAPACITY_MS,
      `waited ${played.needlessWaitMs} ms despite free capacity`,
    );
  });
}

test("an overloaded owner renews its row late or lets the leases of workers expire", (t) => {
  const { site } = runFullScale(SHORT_BURST_SCENARIO, COST_FACTOR.EXCESSIVE);
  t.log({ mostRenewalGapMs: site.maxRenewalGapMs });
  t.true(
    site.maxRenewalGapMs < OWNERSHIP.CONFIRMED_MS,
    `${site.maxRenewalGapMs} ms without a write`,
  );
  t.is(site.ownerChanges, 0);
  t.is(site.expiredRuns, 0);
});
