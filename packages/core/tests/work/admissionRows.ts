import type { Effect } from "../../src/index.js";

export type CommitEffect = Extract<Effect, { type: "store/commit" }>;

/** Leaves the owner's figures for admission out of a commit. */
export const withoutFigures = (commit: CommitEffect): CommitEffect => ({
  ...commit,
  writes: commit.writes.map((row) => {
    if (row.type !== "owner") {
      return row;
    }
    const owner: { admission?: unknown } & typeof row.owner = { ...row.owner };
    delete owner.admission;
    return { ...row, owner };
  }),
});

/** Leaves out of a commit what submissions tell of refused ones. */
export const withoutRefusals = (commit: CommitEffect): CommitEffect => ({
  ...commit,
  writes: commit.writes.map((row) => {
    if (row.type !== "handIn") {
      return row;
    }
    const submission: { refusedBefore?: unknown } & typeof row.submission = { ...row.submission };
    delete submission.refusedBefore;
    return { ...row, submission };
  }),
});
