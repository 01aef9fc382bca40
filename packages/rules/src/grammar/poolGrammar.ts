import { RULE_FIELD, RULE_KIND } from "../constants.js";
import type { PoolRule, RuleBase } from "../types.js";
import type { FieldReader } from "./fieldReader.js";
import { type FieldText, type Reference, RuleGrammar } from "./ruleGrammar.js";
import { fieldText, VALUE_TYPE } from "./valueTypes.js";

/** `pool NAME hosts=GLOB max-unavailable=N max-unavailable-per-rack=N spare=yes|no` */
export class PoolGrammar extends RuleGrammar<PoolRule> {
  override readonly kind = RULE_KIND.POOL;
  override readonly fields = [
    RULE_FIELD.HOSTS,
    RULE_FIELD.MAX_UNAVAILABLE,
    RULE_FIELD.MAX_UNAVAILABLE_PER_RACK,
    RULE_FIELD.SPARE,
  ];

  override read(reader: FieldReader, base: RuleBase): PoolRule {
    const maxUnavailable = reader.required(RULE_FIELD.MAX_UNAVAILABLE, VALUE_TYPE.COUNT);
    return {
      line: base.line,
      askedBy: base.askedBy,
      kind: RULE_KIND.POOL,
      pool: reader.name(VALUE_TYPE.POOL),
      hosts: reader.required(RULE_FIELD.HOSTS, VALUE_TYPE.HOST_PATTERN),
      maxUnavailable,
      maxUnavailablePerRack: reader.optional(
        RULE_FIELD.MAX_UNAVAILABLE_PER_RACK,
        VALUE_TYPE.COUNT,
        maxUnavailable,
      ),
      spare: reader.optional(RULE_FIELD.SPARE, VALUE_TYPE.YES_OR_NO, false),
    };
  }

  override nameOf(rule: PoolRule): string {
    return rule.pool;
  }

  override formatFields(rule: PoolRule): readonly FieldText[] {
    return [
      fieldText(RULE_FIELD.HOSTS, rule.hosts),
      fieldText(RULE_FIELD.MAX_UNAVAILABLE, rule.maxUnavailable),
      fieldText(RULE_FIELD.MAX_UNAVAILABLE_PER_RACK, rule.maxUnavailablePerRack),
      fieldText(RULE_FIELD.SPARE, rule.spare),
    ];
  }

  override references(): readonly Reference[] {
    return [];
  }
}
