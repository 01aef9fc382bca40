import { targetMs, type CallerOutcome } from "./admissionOutcomes.js";
import { AdmissionSite } from "./admissionSite.js";
import { stepOf, workOf } from "./workSpecs.js";

const SEED = 3;

const HOSTS = 6;

/** Submissions per second that each team is entitled to. */
export const TEAMS = { hot: 4, calm: 4, cool: 4 } as const;

type Team = keyof typeof TEAMS;

/** The site gets through ten of these a second. */
const WORK = workOf([stepOf(4, 1_000, [])]);

export const WITHIN_RATE_PER_S = 2.5;
export const SIX_TIMES_RATE_PER_S = 6 * TEAMS.hot;

/** Time for the first owner to be found, and for teams to get going. */
const START_MS = 3_000;
const HOT_FROM_MS = 5_000;
export const HOT_UNTIL_MS = 20_000;
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
export const play = ({ refuses, hotPerS = SIX_TIMES_RATE_PER_S, onHot }: Day): AdmissionSite => {
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

export const isInTime = (outcome: CallerOutcome): boolean =>
  outcome.completedAtMs !== null &&
  outcome.completedAtMs - outcome.firstSentMs <= targetMs(outcome);

export const wasRefused = ({ refused }: CallerOutcome): boolean => refused.length > 0;

export const shareOf = (
  outcomes: readonly CallerOutcome[],
  holds: (outcome: CallerOutcome) => boolean,
): number => outcomes.filter(holds).length / outcomes.length;

/** Returns submissions that were started although each of their calls was refused. */
export const startedAfterRefusals = (site: AdmissionSite): readonly string[] =>
  [...site.outcomes.values()]
    .filter(
      ({ startedAtMs, refused, attempts, uncertain, acceptedAtMs }) =>
        startedAtMs !== null && acceptedAtMs === null && !uncertain && refused.length === attempts,
    )
    .map(({ id }) => id);
