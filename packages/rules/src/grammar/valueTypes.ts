import {
  availabilityZoneId,
  keyHash,
  keyId,
  poolId,
  queueId,
  teamId,
  waveId,
} from "@heatherferry/common";
import { RULE_FIELD, RULE_KIND, RULE_PROBLEM_KIND, RULES } from "../constants.js";
import type { FieldText, Reference } from "./ruleGrammar.js";
import { HostPattern, Name, Sha256, WholeNumber, YesOrNo } from "./valueType.js";

/** Types of the values in a rules file. */
export const VALUE_TYPE = {
  COUNT: new WholeNumber(0, RULES.MAX_COUNT),
  POSITIVE_COUNT: new WholeNumber(1, RULES.MAX_COUNT),
  DURATION_MS: new WholeNumber(1, RULES.MAX_DURATION_MS),
  YES_OR_NO: new YesOrNo(),
  HOST_PATTERN: new HostPattern(),
  KEY_HASH: new Sha256(keyHash),
  TEAM: new Name(teamId),
  KEY: new Name(keyId),
  POOL: new Name(poolId),
  QUEUE: new Name(queueId),
  WAVE: new Name(waveId),
  ZONE: new Name(availabilityZoneId),
} as const;

/**
 * Formats a field.
 *
 * @param name - Name of the field.
 * @param value - Its value.
 */
export const fieldText = (name: string, value: string | number | boolean): FieldText => ({
  name,
  value: typeof value === "boolean" ? (value ? "yes" : "no") : String(value),
});

/**
 * Formats an optional field.
 *
 * @param name - Name of the field.
 * @param value - Its value, or null if it has none.
 * @returns The field in an array, which is empty if there is no value.
 */
export const optionalFieldText = (
  name: string,
  value: string | number | null,
): readonly FieldText[] => (value === null ? [] : [fieldText(name, value)]);

/**
 * Creates a reference to a team rule.
 *
 * @param name - Name of the team.
 */
export const teamReference = (name: string): Reference => ({
  kind: RULE_KIND.TEAM,
  name,
  field: RULE_FIELD.TEAM,
  problemKind: RULE_PROBLEM_KIND.UNKNOWN_TEAM,
});

/**
 * Creates a reference to a pool rule.
 *
 * @param name - Name of the pool.
 */
export const poolReference = (name: string): Reference => ({
  kind: RULE_KIND.POOL,
  name,
  field: RULE_FIELD.POOL,
  problemKind: RULE_PROBLEM_KIND.UNKNOWN_POOL,
});
