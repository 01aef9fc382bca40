import type { Rule, RuleBase, RuleKind, RuleProblemKind } from "../types.js";
import type { FieldReader } from "./fieldReader.js";

/** A name that one rule uses and another rule must declare. */
export interface Reference {
  readonly kind: RuleKind;
  readonly name: string;
  /** The field that contains the name. */
  readonly field: string;
  /** Kind of the problem reported if no rule declares the name. */
  readonly problemKind: RuleProblemKind;
}

/** A field as text for a rules file. */
export interface FieldText {
  readonly name: string;
  readonly value: string;
}

/** Reads and formats the rules of one kind. */
export abstract class RuleGrammar<R extends Rule> {
  abstract readonly kind: R["kind"];

  /** Names of all fields of this kind, in the order in which they are formatted. */
  abstract readonly fields: readonly string[];

  /**
   * Reads a rule from the fields of its line.
   *
   * @param reader - The parsed fields; receives the problems.
   * @param base - Line number and comment.
   * @returns The rule; callers must discard it if the reader has problems.
   */
  abstract read(reader: FieldReader, base: RuleBase): R;

  /**
   * Returns the name of a rule.
   *
   * @param rule - A rule of this kind.
   */
  abstract nameOf(rule: R): string;

  /**
   * Formats the fields of a rule.
   *
   * @param rule - A rule of this kind.
   * @returns All fields with their values, defaults included; fields without a value are omitted.
   */
  abstract formatFields(rule: R): readonly FieldText[];

  /**
   * Returns the names that a rule uses and other rules must declare.
   *
   * @param rule - A rule of this kind.
   */
  abstract references(rule: R): readonly Reference[];
}
