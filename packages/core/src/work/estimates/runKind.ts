import { hashOfText } from "@heatherferry/common";
import type { RunKind, RunTraits } from "./types.js";

/** A way to group runs of which similar run times are expected. */
interface Level {
  readonly name: string;
  /** Whether a kind may have runs of several teams. */
  readonly spansTeams: boolean;
  /** Returns what the runs of a kind have in common; null if the level does not apply. */
  readonly partsOf: (traits: RunTraits) => readonly (string | number)[] | null;
}

/** Levels of kinds above the single submission, the most specific first. */
export const LEVELS: readonly Level[] = [
  {
    name: "image",
    spansTeams: false,
    partsOf: ({ queue, team, image }) => (image === null ? null : [queue, team ?? "", image]),
  },
  {
    name: "step",
    spansTeams: false,
    partsOf: ({ queue, team, step }) => [queue, team ?? "", step],
  },
  {
    name: "team",
    spansTeams: false,
    partsOf: ({ queue, team }) => [queue, team ?? ""],
  },
  {
    name: "queue",
    spansTeams: true,
    partsOf: ({ queue }) => [queue],
  },
];

/** Name of the level of runs of the same step of the same work. */
export const SUBMISSION_LEVEL = "submission";

/** Begins the keys of what tells how much longer runs take than those of their step before. */
const SPREAD_LEVEL = "spread";

const HEX = 16;

/** Returns the kinds that a run belongs to. */
export const runKindOf = (traits: RunTraits): RunKind => {
  const { queue, team, step, payloadHash } = traits;
  const hash = payloadHash.toString(HEX);
  return {
    spreadKey: `${SPREAD_LEVEL} ${queue} ${team ?? ""}`,
    submissionKey: `${SUBMISSION_LEVEL} ${queue} ${team ?? ""} ${step} ${hash}`,
    levelKeys: LEVELS.map(({ name, partsOf }) => {
      const parts = partsOf(traits);
      return parts === null ? null : `${name} ${parts.join(" ")}`;
    }),
    team: hashOfText(team ?? ""),
  };
};
