import type { Rule, RuleBase, RuleKind, RuleProblemKind } from "../types.js";
import type { FieldReader } from "./fieldReader.js";

/** A name in one rule that another rule must declare. */
export interface Reference {
  readonly kind: RuleKind;
  readonly name: string;
  /** The field that holds it. */
  readonly field: string;
  readonly problemKind: RuleProblemKind;
}

/** A field as it is written. */
export interface FieldText {
  readonly name: string;
  readonly value: string;
}

/** How one kind of rule is read and written. */
export abstract class RuleGrammar<R extends Rule> {
  abstract readonly kind: R["kind"];

  /** Names of all its fields, in the order in which they are written. */
  abstract readonly fields: readonly string[];

  /**
   * @param reader - The line's fields; problems are reported to it.
   * @param base - The line's number and comment.
   * @returns The rule; to be dropped when the reader has problems.
   */
  abstract read(reader: FieldReader, base: RuleBase): R;

  /**
   * @param rule - A rule of this kind.
   * @returns Its name.
   */
  abstract nameOf(rule: R): string;

  /**
   * @param rule - A rule of this kind.
   * @returns All fields with their values.
   */
  abstract write(rule: R): readonly FieldText[];

  /**
   * @param rule - A rule of this kind.
   * @returns The names that other rules must declare.
   */
  abstract references(rule: R): readonly Reference[];
}
