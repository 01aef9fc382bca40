import { LOG_CLASS, revision, type KeyHash } from "@heatherferry/common";
import { EMPTY_RULE_SET, parseRules, type RuleSet } from "@heatherferry/rules";
import type { Effect } from "../effect.js";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import type { KeyHolder, RevisionsState, RulesHeadRow } from "./types.js";

export const initialRevisions = (): RevisionsState => ({
  revision: revision(0),
  newestSeenRevision: revision(0),
  rules: EMPTY_RULE_SET,
  keysByHash: new Map(),
  unreadableRevisions: 0,
});

const indexKeys = (rules: RuleSet): Map<KeyHash, KeyHolder> => {
  const index = new Map<KeyHash, KeyHolder>();
  for (const { key, team, hash } of rules.keys.values()) {
    index.set(hash, { key, team });
  }
  return index;
};

const applyRulesHead = (state: State, head: RulesHeadRow, effects: Effect[]): void => {
  const { revisions } = state;
  if (head.revision <= revisions.newestSeenRevision) {
    return;
  }
  revisions.newestSeenRevision = head.revision;
  const { rules, problems } = parseRules(head.text);
  if (problems.length > 0) {
    revisions.unreadableRevisions += 1;
    effects.push({
      type: "log/write",
      level: "error",
      event: "rules.unreadable",
      fields: { revision: head.revision, problems: problems.length },
      lineClass: LOG_CLASS.ROUTINE,
    });
    return;
  }
  revisions.revision = head.revision;
  revisions.rules = rules;
  revisions.keysByHash = indexKeys(rules);
  effects.push({ type: "rules/inForce", revision: head.revision });
};

/**
 * Applies newer rules. A lower revision is never applied, whatever its source.
 *
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 * @param effects - Receives the effects.
 * @returns Whether the rules in force have changed.
 */
export const applyRevisionRows = (
  state: State,
  rows: readonly TableRow[],
  effects: Effect[],
): boolean => {
  const before = state.revisions.revision;
  for (const { body } of rows) {
    if (body.type === "rulesHead") {
      applyRulesHead(state, body, effects);
    }
  }
  return state.revisions.revision !== before;
};
