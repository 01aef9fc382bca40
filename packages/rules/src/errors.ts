import { HeatherferryError, type ValueOf } from "@heatherferry/common";
import { formatProblem } from "./formatProblem.js";
import type { RuleProblem } from "./types.js";

/** Why rules, or an edit of them, are refused. */
export const RULES_ERROR_KIND = {
  PROBLEMS: "problems",
  NO_SUCH_RULE: "noSuchRule",
} as const;

export type RulesErrorKind = ValueOf<typeof RULES_ERROR_KIND>;

/** A rules file that cannot be used, or an edit of it that cannot be made. */
export class RulesError extends HeatherferryError {
  constructor(
    readonly kind: RulesErrorKind,
    problem: string,
    remedy: string,
    /** All problems of the file, in line order. */
    readonly problems: readonly RuleProblem[] = [],
  ) {
    super(problem, remedy);
  }
}

/**
 * @param path - Name of the file for messages.
 * @param problems - All problems of the file; at least one.
 * @returns The error that shows each of them with its place and remedy.
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
