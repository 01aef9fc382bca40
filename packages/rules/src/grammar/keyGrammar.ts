import { RULE_FIELD, RULE_KIND } from "../constants.js";
import type { KeyRule, RuleBase } from "../types.js";
import type { FieldReader } from "./fieldReader.js";
import { type FieldText, type Reference, RuleGrammar } from "./ruleGrammar.js";
import { fieldText, teamReference, VALUE_TYPE } from "./valueTypes.js";

/** `key NAME team=T hash=SHA256HEX` */
export class KeyGrammar extends RuleGrammar<KeyRule> {
  override readonly kind = RULE_KIND.KEY;
  override readonly fields = [RULE_FIELD.TEAM, RULE_FIELD.HASH];

  override read(reader: FieldReader, base: RuleBase): KeyRule {
    return {
      line: base.line,
      askedBy: base.askedBy,
      kind: RULE_KIND.KEY,
      key: reader.name(VALUE_TYPE.KEY),
      team: reader.required(RULE_FIELD.TEAM, VALUE_TYPE.TEAM),
      hash: reader.required(RULE_FIELD.HASH, VALUE_TYPE.KEY_HASH),
    };
  }

  override nameOf(rule: KeyRule): string {
    return rule.key;
  }

  override formatFields(rule: KeyRule): readonly FieldText[] {
    return [fieldText(RULE_FIELD.TEAM, rule.team), fieldText(RULE_FIELD.HASH, rule.hash)];
  }

  override references(rule: KeyRule): readonly Reference[] {
    return [teamReference(rule.team)];
  }
}
