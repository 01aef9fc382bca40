import test from "ava";
import { OWNERSHIP } from "../../src/work/constants.js";
import { inTimeShare, playGrownDay, type GrownDay, type PlayedDay } from "./grownDay.js";

const SEED = 7;

/** The parts of what a free processor serves in time that a charged one has to, at least. */
const SERVED_SHARE = 0.9;

/** At the stated load, at most this part of the owner's processor is in use. */
const BUSY_SHARE = 0.5;

/** The site serves in time again so long after the end of a trouble. */
const RECOVERY_MS = 15_000;

/** Nothing waits so long beside room for it. */
const BESIDE_ROOM_MS = 3_000;

/** Times that events cost what they usually do; null where they take no time. */
const PRICE = { FREE: null, USUAL: 1, TWICE: 2, FAR_TOO_MUCH: 4 } as const;

/** Each kind of work has its turn once. */
const ALL_TURNS = { fromMs: 4_500, untilMs: 22_500 } as const;

const STEADY_DAY: GrownDay = {
  seed: SEED,
  loads: [{ ...ALL_TURNS, times: 1 }],
  powerLoss: null,
  watchFromMs: ALL_TURNS.fromMs,
};

/** The turn of short work, in which what comes late shows most, is at 9 s and at 27 s. */
const LATER_TURN_ENDS_MS = 31_500;

const BURST_ENDS_MS = 13_500;

const BURST_DAY: GrownDay = {
  seed: SEED,
  loads: [
    { fromMs: 9_000, untilMs: 9_500, times: 1 },
    { fromMs: 9_500, untilMs: BURST_ENDS_MS, times: 3 },
    { fromMs: BURST_ENDS_MS, untilMs: LATER_TURN_ENDS_MS, times: 1 },
  ],
  powerLoss: null,
  watchFromMs: BURST_ENDS_MS + RECOVERY_MS,
};

const OWNER_LOST_AT_MS = 13_600;

/** Some 500 submissions come within half a second before the owner is lost. */
const TAKE_OVER_DAY: GrownDay = {
  seed: SEED,
  loads: [
    { fromMs: 9_000, untilMs: 13_000, times: 1 },
    { fromMs: 13_000, untilMs: 13_500, times: 11 },
    { fromMs: 13_500, untilMs: LATER_TURN_ENDS_MS, times: 1 },
  ],
  powerLoss: { of: "owner", atMs: OWNER_LOST_AT_MS, forMs: Infinity },
  watchFromMs: OWNER_LOST_AT_MS + RECOVERY_MS,
};

const STRONG_LOST_MS = 3_000;

/** Meanwhile a node at the door owns the work, with a quarter of the processor. */
const WEAK_OWNER_DAY: GrownDay = {
  seed: SEED,
  loads: [{ fromMs: 9_000, untilMs: LATER_TURN_ENDS_MS, times: 1 }],
  powerLoss: {
    of: "strongNodes",
    atMs: BURST_ENDS_MS - STRONG_LOST_MS,
    forMs: STRONG_LOST_MS,
  },
  watchFromMs: BURST_ENDS_MS + RECOVERY_MS,
};

const SHORT_BURST_DAY: GrownDay = {
  seed: SEED,
  loads: [
    { fromMs: 9_000, untilMs: 9_500, times: 1 },
    { fromMs: 9_500, untilMs: BURST_ENDS_MS, times: 3 },
  ],
  powerLoss: null,
  watchFromMs: LATER_TURN_ENDS_MS,
};

let steadyFree: PlayedDay | null = null;

const freeShareOfSteadyDay = (): number => {
  steadyFree ??= playGrownDay(STEADY_DAY, PRICE.FREE);
  return inTimeShare(steadyFree, ALL_TURNS);
};

test("at the stated load an owner's processor is more than half in use, or work comes late", (t) => {
  const free = freeShareOfSteadyDay();
  const day = playGrownDay(STEADY_DAY, PRICE.USUAL);
  const share = inTimeShare(day, ALL_TURNS);
  t.log({ free, share, busy: day.ownerBusyShare });
  t.true(day.ownerBusyShare <= BUSY_SHARE, `${day.ownerBusyShare} of the processor in use`);
  t.true(share >= SERVED_SHARE * free, `${share} in time, ${free} with a free processor`);
});

test("where events cost twice as much, more than a tenth of what was served in time is late", (t) => {
  const free = freeShareOfSteadyDay();
  const day = playGrownDay(STEADY_DAY, PRICE.TWICE);
  const share = inTimeShare(day, ALL_TURNS);
  t.log({ free, share, busy: day.ownerBusyShare, besideRoomMs: day.besideRoomMs });
  t.true(share >= SERVED_SHARE * free, `${share} in time, ${free} with a free processor`);
  t.true(day.besideRoomMs < BESIDE_ROOM_MS, `LOST: ${day.besideRoomMs} ms beside room`);
});

for (const { day, price, failure } of [
  {
    day: BURST_DAY,
    price: PRICE.TWICE,
    failure:
      "a burst of three times the load leaves an owner behind whose events cost twice as much",
  },
  {
    day: TAKE_OVER_DAY,
    price: PRICE.TWICE,
    failure: "500 that wait leave a new owner behind whose events cost twice as much",
  },
  {
    day: WEAK_OWNER_DAY,
    price: PRICE.USUAL,
    failure: "a weak node keeps the work though strong ones are back",
  },
]) {
  test(failure, (t) => {
    const turn = { fromMs: day.watchFromMs, untilMs: LATER_TURN_ENDS_MS };
    const played = playGrownDay(day, price);
    const share = inTimeShare(played, turn);
    t.log({ share, besideRoomMs: played.besideRoomMs });
    t.true(share >= SERVED_SHARE, `${share} in time, all of it with a free processor`);
    t.true(played.besideRoomMs < BESIDE_ROOM_MS, `LOST: ${played.besideRoomMs} ms beside room`);
  });
}

test("an owner that is asked for far more than it can do renews late, or lets leases end", (t) => {
  const { site } = playGrownDay(SHORT_BURST_DAY, PRICE.FAR_TOO_MUCH);
  t.log({ mostRenewalGapMs: site.mostRenewalGapMs });
  t.true(site.mostRenewalGapMs < OWNERSHIP.SURE_MS, `${site.mostRenewalGapMs} ms without a write`);
  t.is(site.takeOvers, 0);
  t.is(site.lapses, 0);
});
