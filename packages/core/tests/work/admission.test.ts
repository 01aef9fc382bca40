import test from "ava";
import {
  HOT_UNTIL_MS,
  isInTime,
  play,
  shareOf,
  SIX_TIMES_RATE_PER_S,
  startedAfterRefusals,
  TEAMS,
  wasRefused,
} from "./admissionDay.js";
import { isUseful, type CallerOutcome } from "./admissionOutcomes.js";
import type { AdmissionSite } from "./admissionSite.js";

/** Plays each load once without refusals, so that tests share it. */
const withoutRefusals = new Map<number, AdmissionSite>();

const playedWithoutRefusals = (hotPerS: number): AdmissionSite => {
  const site = withoutRefusals.get(hotPerS) ?? play({ refuses: false, hotPerS });
  withoutRefusals.set(hotPerS, site);
  return site;
};

for (const hotPerS of [3 * TEAMS.hot, SIX_TIMES_RATE_PER_S, 10 * TEAMS.hot]) {
  test(`refusals lose work that the room would have carried, at ${hotPerS} submissions/s of a team`, (t) => {
    const day = play({ refuses: true, hotPerS });
    const free = playedWithoutRefusals(hotPerS);
    t.is(free.outcomesOf("hot").filter(wasRefused).length, 0);
    t.true(day.outcomesOf("hot").filter(wasRefused).length > 0);
    const useful = (site: AdmissionSite): number => site.outcomesOf("hot").filter(isUseful).length;
    const inTime = (site: AdmissionSite): number => site.outcomesOf("hot").filter(isInTime).length;
    t.log({ useful: useful(day), usefulWithout: useful(free) });
    t.log({ inTime: inTime(day), inTimeWithout: inTime(free) });
    // Both days draw their own jitter, so that they differ by a few submissions.
    t.true(useful(day) >= 0.95 * useful(free));
    t.true(inTime(day) >= 0.95 * inTime(free));
    t.deepEqual(startedAfterRefusals(day), []);
  });
}

test("a team at six times its rate has submissions of others refused or late", (t) => {
  const day = play({ refuses: true });
  for (const team of ["calm", "cool"] as const) {
    t.is(day.outcomesOf(team).filter(wasRefused).length, 0);
    t.is(shareOf(day.outcomesOf(team), isInTime), 1);
  }
});

test("callers that return when told are refused again, or start after later ones", (t) => {
  const day = play({ refuses: true });
  const returned = day.outcomesOf("hot").filter(({ refused, attempts }) => {
    return refused.length > 0 && attempts > 1;
  });
  const refusedAgain = shareOf(returned, ({ refused }) => refused.length > 1);
  const newcomers = day.outcomesOf("hot");
  const refusedAtFirst = shareOf(newcomers, wasRefused);
  t.log({ returned: returned.length, refusedAgain, refusedAtFirst });
  t.true(refusedAgain < refusedAtFirst / 2);
  // Returned ones go before later ones beyond the rate; both wait for capacity after the surge.
  const started = returned
    .filter(({ startedAtMs }) => startedAtMs !== null && startedAtMs > HOT_UNTIL_MS + 10_000)
    .sort((one, other) => one.firstSentMs - other.firstSentMs);
  const half = Math.floor(started.length / 2);
  const mean = (outcomes: readonly CallerOutcome[]): number =>
    outcomes.reduce((sum, { startedAtMs }) => sum + (startedAtMs ?? 0), 0) / outcomes.length;
  t.true(half > 5);
  t.true(mean(started.slice(0, half)) <= mean(started.slice(half)));
});

test("a repeat of an accepted submission is told that it never runs", (t) => {
  const repeats: string[] = [];
  let inLineAtMs = 0;
  const day = play({
    refuses: true,
    onHot: (site) => {
      site.run(3_000);
      inLineAtMs = site.nowMs;
      for (const outcome of site.outcomesOf("hot").filter(({ acceptedAtMs: at }) => at !== null)) {
        repeats.push(site.repeat(outcome));
      }
    },
  });
  const newcomers = day
    .outcomesOf("hot")
    .filter(({ firstSentMs }) => firstSentMs > inLineAtMs && firstSentMs < inLineAtMs + 500);
  t.true(newcomers.some(wasRefused));
  t.true(repeats.length > 50);
  const kinds = repeats.map((callId) => day.answers.get(callId));
  t.deepEqual([...new Set(kinds)], ["accepted"]);
});

test("the owner accepts what other nodes refuse", (t) => {
  const day = play({
    refuses: true,
    onHot: (site) => {
      site.callsOwner = true;
    },
  });
  t.true(shareOf(day.outcomesOf("hot"), wasRefused) > 0.25);
  t.is(shareOf(day.outcomesOf("calm"), wasRefused), 0);
});
