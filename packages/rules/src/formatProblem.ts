import type { RuleProblem } from "./types.js";

/**
 * @param path - Name of the file.
 * @param problem - One problem in it.
 * @returns `file:line:column: what is wrong. Remedy.`
 */
export const formatProblem = (path: string, problem: RuleProblem): string =>
  `${path}:${problem.line}:${problem.column}: ${problem.problem}. ${problem.remedy}.`;
