import { type Revision, revision } from "@heatherferry/common";
import type { AuditRow, RulesHeadRow } from "@heatherferry/core";
import { addedLines, diffRules, removedLines, withRevisionLine } from "@heatherferry/rules";
import { auditKey } from "../audit/auditKey.js";
import type { PlannedRow } from "../operation/types.js";
import { RULES_HEAD_KEY, type RulesInForce } from "./rulesInForce.js";

/** Operator who changes the rules, and the time of the change. */
export interface Author {
  readonly name: string;
  /** Wall-clock time on the operator's machine, in milliseconds. */
  readonly atMs: number;
}

/** A new revision, as the rows of one transaction. */
export interface RulesChange {
  readonly revision: Revision;
  readonly rows: readonly PlannedRow[];
}

const headOf = (text: string, next: Revision, author: Author): RulesHeadRow => ({
  type: "rulesHead",
  revision: next,
  text,
  appliedBy: author.name,
  appliedAtMs: author.atMs,
});

const auditOf = (inForce: RulesInForce, text: string, next: Revision, author: Author): AuditRow => {
  const diff = diffRules(inForce.text, text);
  return {
    type: "audit",
    revision: next,
    fromRevision: inForce.revision,
    appliedBy: author.name,
    appliedAtMs: author.atMs,
    added: addedLines(diff),
    removed: removedLines(diff),
  };
};

/**
 * Returns the next revision with its audit record. The transaction commits only if `inForce` is
 * still in force.
 *
 * @param inForce - Rules that the change is based on.
 * @param text - New rules, already validated.
 * @param author - Operator who makes the change.
 */
export const planRulesChange = (
  inForce: RulesInForce,
  text: string,
  author: Author,
): RulesChange => {
  const next = revision(inForce.revision + 1);
  const newText = withRevisionLine(text, next);
  return {
    revision: next,
    rows: [
      { key: RULES_HEAD_KEY, previous: inForce.row, body: headOf(newText, next, author) },
      { key: auditKey(next), previous: null, body: auditOf(inForce, newText, next, author) },
    ],
  };
};

/**
 * Describes what is unknown after a change got no reply, and which command to run.
 *
 * @param change - Change that was sent.
 */
export const describeUnknownChange = (change: RulesChange): string =>
  `It is unknown whether revision ${change.revision} was written. Run \`heatherferry audit ` +
  `--since ${change.revision}\` once the platform's table answers, and repeat this command ` +
  "if your change is not listed.";
