import test from "ava";
import { ADMISSION } from "../../src/work/admission/index.js";
import { STORE } from "../../src/work/constants.js";
import { isUseful, targetMs, type CallerOutcome } from "./admissionOutcomes.js";
import { AdmissionSite } from "./admissionSite.js";
import { stepOf, workOf } from "./workSpecs.js";

const SEED = 3;

const HOSTS = 6;

/** Submissions per second that each team is entitled to. */
const TEAMS = { hot: 4, calm: 4, cool: 4 } as const;

type Team = keyof typeof TEAMS;

/** The site gets through ten of these a second. */
const WORK = workOf([stepOf(4, 1_000, [])]);

const WITHIN_RATE_PER_S = 2.5;
const SIX_TIMES_RATE_PER_S = 6 * TEAMS.hot;

/** Time for the first owner to be found, and for teams to get going. */
const START_MS = 3_000;
const HOT_FROM_MS = 5_000;
const HOT_UNTIL_MS = 20_000;
const END_MS = 65_000;

const idOf = (number: number): string =>
  ((number * 0x9e37_79b1) >>> 0).toString(16).padStart(16, "0");

/** Hands work of a team in at a rate, with some jitter. */
const load = (site: AdmissionSite, team: Team, perS: number, untilMs: number): void => {
  const next = (): void => {
    if (site.nowMs < untilMs) {
      site.handIn(idOf(site.outcomes.size + 1), team, WORK);
      site.schedule((1_000 / perS) * (0.8 + site.randomBelow(400) / 1_000), next);
    }
  };
  site.schedule(10, next);
};

interface Day {
  readonly refuses: boolean;
  readonly hotPerS?: number;
  readonly onHot?: (site: AdmissionSite) => void;
}

/** Plays two teams within their rates beside one that is beyond its rate for a while. */
const play = ({ refuses, hotPerS = SIX_TIMES_RATE_PER_S, onHot }: Day): AdmissionSite => {
  const site = new AdmissionSite(SEED, HOSTS, TEAMS);
  site.publishesFigures = refuses;
  site.run(START_MS);
  load(site, "calm", WITHIN_RATE_PER_S, HOT_UNTIL_MS + 10_000);
  load(site, "cool", WITHIN_RATE_PER_S, HOT_UNTIL_MS + 10_000);
  site.run(HOT_FROM_MS - START_MS);
  load(site, "hot", hotPerS, HOT_UNTIL_MS);
  site.run(5_000);
  onHot?.(site);
  site.run(END_MS - site.nowMs);
  return site;
};

const isInTime = (outcome: CallerOutcome): boolean =>
  outcome.completedAtMs !== null &&
  outcome.completedAtMs - outcome.firstSentMs <= targetMs(outcome);

const wasRefused = ({ refused }: CallerOutcome): boolean => refused.length > 0;

const shareOf = (
  outcomes: readonly CallerOutcome[],
  holds: (outcome: CallerOutcome) => boolean,
): number => outcomes.filter(holds).length / outcomes.length;

/** Returns submissions that were started although each of their calls was refused. */
const startedAfterRefusals = (site: AdmissionSite): readonly string[] =>
  [...site.outcomes.values()]
    .filter(
      ({ startedAtMs, refused, attempts, uncertain, acceptedAtMs }) =>
        startedAtMs !== null && acceptedAtMs === null && !uncertain && refused.length === attempts,
    )
    .map(({ id }) => id);

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

test("nodes refuse by the figures of an owner that is gone", (t) => {
  let goneAtMs = 0;
  const day = play({
    refuses: true,
    onHot: (site) => {
      goneAtMs = site.nowMs;
      site.kill(site.ownerIndex(), 60_000);
    },
  });
  const refusals = day.outcomesOf("hot").flatMap(({ refused }) => refused);
  t.true(refusals.some(({ atMs }) => atMs < goneAtMs));
  // A new owner has its figures at the earliest once it has taken over, loaded and measured.
  const staleFromMs = goneAtMs + ADMISSION.MAX_AGE_MS;
  const stale = refusals.filter(({ atMs }) => atMs > staleFromMs && atMs < staleFromMs + 500);
  t.deepEqual(stale, []);
  t.deepEqual(startedAfterRefusals(day), []);
  t.is(shareOf(day.outcomesOf("calm"), wasRefused), 0);
});

test("a store that is 60 times slower has submissions refused", (t) => {
  const day = play({
    refuses: true,
    hotPerS: WITHIN_RATE_PER_S,
    onHot: (site) => {
      site.writeAnswerMs = 240;
      site.scanAnswerMs = { owner: 240 };
    },
  });
  t.is([...day.outcomes.values()].filter(wasRefused).length, 0);
});

test("during an outage of the store, callers are refused late, return together or run unaccepted", (t) => {
  const OUTAGE_MS = 4_000;
  let downAtMs = 0;
  const day = play({
    refuses: true,
    onHot: (site) => {
      downAtMs = site.nowMs;
      site.storeDownUntilMs = site.nowMs + OUTAGE_MS;
    },
  });
  const refusals = [...day.outcomes.values()].flatMap(({ refused }) => refused);
  const inOutage = refusals.filter(
    ({ atMs }) => atMs > downAtMs + STORE.LOST_MS && atMs < downAtMs + OUTAGE_MS,
  );
  const seconds = inOutage.map(({ atMs, returnAtMs }) => Math.round((returnAtMs - atMs) / 1_000));
  t.log({ refused: inOutage.length, seconds: [...new Set(seconds)].sort() });
  t.true(inOutage.length > 30);
  t.true(new Set(seconds).size >= 3);
  t.deepEqual(startedAfterRefusals(day), []);
  // All callers within their rate are back before they give up.
  t.is(
    shareOf(day.outcomesOf("calm"), ({ completedAtMs }) => completedAtMs !== null),
    1,
  );
});

test("a node that is cut off from the store begins writes for longer than 0.8 s", (t) => {
  let cutAtMs = 0;
  const day = play({
    refuses: true,
    hotPerS: SIX_TIMES_RATE_PER_S,
    onHot: (site) => {
      cutAtMs = site.nowMs;
      site.cutUntilMs = site.nowMs + 2_500;
      site.feedDownUntilMs = { operators: site.cutUntilMs, handIns: site.cutUntilMs };
    },
  });
  const sentIn = [...day.outcomes.values()].filter(
    ({ firstSentMs }) => firstSentMs > cutAtMs && firstSentMs < cutAtMs + 2_500,
  );
  const laterThan = (ms: number): readonly CallerOutcome[] =>
    sentIn.filter(({ firstSentMs }) => firstSentMs > cutAtMs + ms);
  t.true(sentIn.some(({ uncertain }) => uncertain));
  t.true(laterThan(800).length > 20);
  t.is(laterThan(800).filter(({ uncertain }) => uncertain).length, 0);
  t.deepEqual(startedAfterRefusals(day), []);
});

test("a caller whose submission is stored without an answer is told that it never runs", (t) => {
  const day = play({
    refuses: true,
    onHot: (site) => {
      site.handInAnswersLostUntilMs = site.nowMs + 5_000;
    },
  });
  const outcomes = [...day.outcomes.values()];
  t.true(outcomes.some(({ uncertain, startedAtMs }) => uncertain || startedAtMs !== null));
  const refusedButRan = outcomes.filter(
    ({ acceptedAtMs, startedAtMs, attempts, refused }) =>
      acceptedAtMs === null && startedAtMs !== null && refused.length === attempts,
  );
  t.deepEqual(refusedButRan, []);
});

/** Share of the submissions after an outage, by teams within their rates, that are in time. */
const inTimeAfterOutage = (tellsRefusals: boolean): number => {
  const OUTAGE_MS = 4_000;
  let backAtMs = 0;
  const day = play({
    refuses: true,
    hotPerS: TEAMS.hot,
    onHot: (site) => {
      site.tellsRefusals = tellsRefusals;
      backAtMs = site.nowMs + OUTAGE_MS;
      site.storeDownUntilMs = backAtMs;
    },
  });
  const later = [...day.outcomesOf("calm"), ...day.outcomesOf("cool")].filter(
    ({ firstSentMs, refused }) =>
      firstSentMs > backAtMs + 2_500 && firstSentMs < backAtMs + 8_000 && refused.length === 0,
  );
  return shareOf(later, isInTime);
};

test("callers that an outage has made late go before those that can still be in time", (t) => {
  const told = inTimeAfterOutage(true);
  const untold = inTimeAfterOutage(false);
  t.log({ told, untold });
  t.true(told > untold);
});
