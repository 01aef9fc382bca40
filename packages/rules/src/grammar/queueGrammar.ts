import type { TeamId } from "@heatherferry/common";
import { RULE_FIELD, RULE_KIND, RULE_PROBLEM_KIND, RULES } from "../constants.js";
import type { QueueRule, RuleBase } from "../types.js";
import type { FieldReader } from "./fieldReader.js";
import { type FieldText, type Reference, RuleGrammar } from "./ruleGrammar.js";
import {
  fieldText,
  optionalFieldText,
  poolReference,
  teamReference,
  VALUE_TYPE,
} from "./valueTypes.js";

const readOpenTeam = (reader: FieldReader): TeamId | null => {
  if (reader.optional(RULE_FIELD.OPEN, VALUE_TYPE.YES_OR_NO, false)) {
    return reader.required(RULE_FIELD.TEAM, VALUE_TYPE.TEAM);
  }
  if (reader.has(RULE_FIELD.TEAM)) {
    reader.report(
      RULE_PROBLEM_KIND.BAD_VALUE,
      reader.columnOf(RULE_FIELD.TEAM),
      "team= names the team charged for requests without a key, but this queue requires a key",
      "Add open=yes, or remove team=",
    );
  }
  return null;
};

/** `queue NAME pool=P open=yes|no team=T urgent=yes|no max-queued=N timeout-ms=N max-view-age-ms=N` */
export class QueueGrammar extends RuleGrammar<QueueRule> {
  override readonly kind = RULE_KIND.QUEUE;
  override readonly fields = [
    RULE_FIELD.POOL,
    RULE_FIELD.OPEN,
    RULE_FIELD.TEAM,
    RULE_FIELD.URGENT,
    RULE_FIELD.MAX_QUEUED,
    RULE_FIELD.TIMEOUT_MS,
    RULE_FIELD.MAX_VIEW_AGE_MS,
  ];

  override read(reader: FieldReader, base: RuleBase): QueueRule {
    return {
      line: base.line,
      askedBy: base.askedBy,
      kind: RULE_KIND.QUEUE,
      queue: reader.name(VALUE_TYPE.QUEUE),
      pool: reader.required(RULE_FIELD.POOL, VALUE_TYPE.POOL),
      openTeam: readOpenTeam(reader),
      urgent: reader.optional(RULE_FIELD.URGENT, VALUE_TYPE.YES_OR_NO, false),
      maxQueued: reader.optional(RULE_FIELD.MAX_QUEUED, VALUE_TYPE.COUNT, RULES.DEFAULT_MAX_QUEUED),
      timeoutMs: reader.optional(
        RULE_FIELD.TIMEOUT_MS,
        VALUE_TYPE.DURATION_MS,
        RULES.DEFAULT_TIMEOUT_MS,
      ),
      maxViewAgeMs: reader.optional(RULE_FIELD.MAX_VIEW_AGE_MS, VALUE_TYPE.DURATION_MS, null),
    };
  }

  override nameOf(rule: QueueRule): string {
    return rule.queue;
  }

  override formatFields(rule: QueueRule): readonly FieldText[] {
    return [
      fieldText(RULE_FIELD.POOL, rule.pool),
      fieldText(RULE_FIELD.OPEN, rule.openTeam !== null),
      ...optionalFieldText(RULE_FIELD.TEAM, rule.openTeam),
      fieldText(RULE_FIELD.URGENT, rule.urgent),
      fieldText(RULE_FIELD.MAX_QUEUED, rule.maxQueued),
      fieldText(RULE_FIELD.TIMEOUT_MS, rule.timeoutMs),
      ...optionalFieldText(RULE_FIELD.MAX_VIEW_AGE_MS, rule.maxViewAgeMs),
    ];
  }

  override references(rule: QueueRule): readonly Reference[] {
    const pool = poolReference(rule.pool);
    return rule.openTeam === null ? [pool] : [pool, teamReference(rule.openTeam)];
  }
}
