import { RULE_FIELD, RULE_KIND } from "../constants.js";
import type { RuleBase, TeamRule } from "../types.js";
import type { FieldReader } from "./fieldReader.js";
import { type FieldText, type Reference, RuleGrammar } from "./ruleGrammar.js";
import { fieldText, VALUE_TYPE } from "./valueTypes.js";

/** `team NAME share=N limit=N` */
export class TeamGrammar extends RuleGrammar<TeamRule> {
  override readonly kind = RULE_KIND.TEAM;
  override readonly fields = [RULE_FIELD.SHARE, RULE_FIELD.LIMIT];

  override read(reader: FieldReader, base: RuleBase): TeamRule {
    return {
      line: base.line,
      askedBy: base.askedBy,
      kind: RULE_KIND.TEAM,
      team: reader.name(VALUE_TYPE.TEAM),
      share: reader.required(RULE_FIELD.SHARE, VALUE_TYPE.POSITIVE_COUNT),
      limit: reader.required(RULE_FIELD.LIMIT, VALUE_TYPE.COUNT),
    };
  }

  override nameOf(rule: TeamRule): string {
    return rule.team;
  }

  override formatFields(rule: TeamRule): readonly FieldText[] {
    return [fieldText(RULE_FIELD.SHARE, rule.share), fieldText(RULE_FIELD.LIMIT, rule.limit)];
  }

  override references(): readonly Reference[] {
    return [];
  }
}
