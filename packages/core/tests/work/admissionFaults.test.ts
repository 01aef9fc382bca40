import test from "ava";
import { ADMISSION } from "../../src/work/admission/index.js";
import { STORE } from "../../src/work/constants.js";
import {
  isInTime,
  play,
  shareOf,
  SIX_TIMES_RATE_PER_S,
  startedAfterRefusals,
  TEAMS,
  wasRefused,
  WITHIN_RATE_PER_S,
} from "./admissionDay.js";
import type { CallerOutcome } from "./admissionOutcomes.js";
import type { AdmissionSite } from "./admissionSite.js";

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

test("nodes refuse by the figures of an owner that hears of no submissions", (t) => {
  const DOWN_MS = 6_000;
  let downAtMs = 0;
  const day = play({
    refuses: true,
    onHot: (site) => {
      downAtMs = site.nowMs;
      site.feedDownUntilMs = { handIns: site.nowMs + DOWN_MS };
    },
  });
  const refusals = day.outcomesOf("hot").flatMap(({ refused }) => refused);
  t.true(refusals.some(({ atMs }) => atMs < downAtMs + ADMISSION.MAX_AGE_MS));
  const stale = refusals.filter(
    ({ atMs }) => atMs > downAtMs + ADMISSION.MAX_AGE_MS + 300 && atMs < downAtMs + DOWN_MS,
  );
  t.deepEqual(stale, []);
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
  // Longer than callers wait, so that calls with an open write end without an answer.
  const CUT_MS = 6_000;
  let cutAtMs = 0;
  const day = play({
    refuses: true,
    hotPerS: SIX_TIMES_RATE_PER_S,
    onHot: (site) => {
      cutAtMs = site.nowMs;
      site.cutUntilMs = site.nowMs + CUT_MS;
      site.feedDownUntilMs = { operators: site.cutUntilMs, handIns: site.cutUntilMs };
    },
  });
  const sentIn = [...day.outcomes.values()].filter(
    ({ firstSentMs }) => firstSentMs > cutAtMs && firstSentMs < cutAtMs + CUT_MS,
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

test("a repeat is refused while the write of the first call may still take effect", (t) => {
  const answers: string[] = [];
  const repeat = (site: AdmissionSite): void => {
    const open = [...site.outcomes.values()].filter(({ acceptedAtMs: at }) => at === null);
    for (const outcome of open) {
      const node = site.nodes.find(({ state }) =>
        [...(state.work?.calls.values() ?? [])].some(({ id, commit }) => {
          return id === outcome.id && commit !== null;
        }),
      );
      if (node !== undefined) {
        answers.push(site.repeat(outcome, node));
      }
    }
  };
  const day = play({
    refuses: true,
    onHot: (site) => {
      site.cutUntilMs = site.nowMs + 2_000;
      site.feedDownUntilMs = { operators: site.cutUntilMs, handIns: site.cutUntilMs };
      site.schedule(1_000, () => {
        repeat(site);
      });
    },
  });
  t.true(answers.length > 5);
  const kinds = answers.map((callId) => day.answers.get(callId));
  t.false(kinds.includes("unavailable"), kinds.join());
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
