import { RULE_FIELD, RULE_KIND, RULES } from "../constants.js";
import type { RuleBase, WaveRule } from "../types.js";
import type { FieldReader } from "./fieldReader.js";
import { type FieldText, type Reference, RuleGrammar } from "./ruleGrammar.js";
import { fieldText, optionalFieldText, poolReference, VALUE_TYPE } from "./valueTypes.js";

/** `wave NAME pool=P zone=Z max-parallel=N max-failures=N paused=yes|no` */
export class WaveGrammar extends RuleGrammar<WaveRule> {
  override readonly kind = RULE_KIND.WAVE;
  override readonly fields = [
    RULE_FIELD.POOL,
    RULE_FIELD.ZONE,
    RULE_FIELD.MAX_PARALLEL,
    RULE_FIELD.MAX_FAILURES,
    RULE_FIELD.PAUSED,
  ];

  override read(reader: FieldReader, base: RuleBase): WaveRule {
    return {
      line: base.line,
      askedBy: base.askedBy,
      kind: RULE_KIND.WAVE,
      wave: reader.name(VALUE_TYPE.WAVE),
      pool: reader.required(RULE_FIELD.POOL, VALUE_TYPE.POOL),
      availabilityZone: reader.optional(RULE_FIELD.ZONE, VALUE_TYPE.ZONE, null),
      maxParallel: reader.optional(
        RULE_FIELD.MAX_PARALLEL,
        VALUE_TYPE.POSITIVE_COUNT,
        RULES.DEFAULT_MAX_PARALLEL,
      ),
      maxFailures: reader.optional(
        RULE_FIELD.MAX_FAILURES,
        VALUE_TYPE.COUNT,
        RULES.DEFAULT_MAX_FAILURES,
      ),
      paused: reader.optional(RULE_FIELD.PAUSED, VALUE_TYPE.YES_OR_NO, false),
    };
  }

  override nameOf(rule: WaveRule): string {
    return rule.wave;
  }

  override formatFields(rule: WaveRule): readonly FieldText[] {
    return [
      fieldText(RULE_FIELD.POOL, rule.pool),
      ...optionalFieldText(RULE_FIELD.ZONE, rule.availabilityZone),
      fieldText(RULE_FIELD.MAX_PARALLEL, rule.maxParallel),
      fieldText(RULE_FIELD.MAX_FAILURES, rule.maxFailures),
      fieldText(RULE_FIELD.PAUSED, rule.paused),
    ];
  }

  override references(rule: WaveRule): readonly Reference[] {
    return [poolReference(rule.pool)];
  }
}
