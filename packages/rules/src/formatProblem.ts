import type { RuleProblem } from "./types.js";

/**
 * Formats a problem for operators.
 *
 * @param path - Name of the file.
 * @param problem - A problem in the file.
 * @returns `file:line:column: what is wrong. Remedy.`
 */
export const formatProblem = (path: string, problem: RuleProblem): string =>
  `${path}:${problem.line}:${problem.column}: ${problem.problem}. ${problem.remedy}.`;
