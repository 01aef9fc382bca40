import { HeatherferryError, type ValueOf } from "@heatherferry/common";
import { formatProblem } from "./formatProblem.js";
import type { RuleProblem } from "./types.js";

/** Why a rules file, or an edit of one, is rejected. */
export const RULES_ERROR_KIND = {
  PROBLEMS: "problems",
  NO_SUCH_RULE: "noSuchRule",
} as const;

export type RulesErrorKind = ValueOf<typeof RULES_ERROR_KIND>;

/** A rules file is invalid, or an edit of one is not possible. */
export class RulesError extends HeatherferryError {
  constructor(
    readonly kind: RulesErrorKind,
    problem: string,
    remedy: string,
    /** All problems of the file, ordered by line. */
    readonly problems: readonly RuleProblem[] = [],
  ) {
    super(problem, remedy);
  }
}

/**
 * Creates the error for a rules file with problems.
 *
 * @param path - Name of the file, for messages.
 * @param problems - All problems of the file; at least one.
 * @returns An error that lists each problem with its position and remedy.
 */
export const rulesProblemsError = (path: string, problems: readonly RuleProblem[]): RulesError => {
  const lines = problems.map((problem) => formatProblem(path, problem));
  return new RulesError(
    RULES_ERROR_KIND.PROBLEMS,
    `The rules have ${problems.length} problem(s):\n${lines.join("\n")}\nNothing was changed`,
    "Correct these lines and try again",
    problems,
  );
};
