import { RULE_PROBLEM_KIND, RULES } from "../constants.js";
import type { RuleProblemKind } from "../types.js";

/** Why a value is invalid. */
export interface ValueFault {
  readonly kind: RuleProblemKind;
  readonly problem: string;
  readonly remedy: string;
}

/** The result of reading a value: the value, or why its text is invalid. */
export type ValueResult<T> =
  | { readonly type: "value"; readonly value: T }
  | { readonly type: "fault"; readonly fault: ValueFault };

const valid = <T>(value: T): ValueResult<T> => ({ type: "value", value });

const invalid = <T>(kind: RuleProblemKind, problem: string, remedy: string): ValueResult<T> => ({
  type: "fault",
  fault: { kind, problem, remedy },
});

/** Reads values of one type from the text of a field. */
export abstract class ValueType<T> {
  /** Used in place of an invalid value; the rule that contains it is discarded. */
  abstract readonly placeholder: T;

  /**
   * Reads a value.
   *
   * @param text - The text of the value.
   * @returns The value, or why the text is invalid.
   */
  abstract read(text: string): ValueResult<T>;
}

/** A whole number within a range. */
export class WholeNumber extends ValueType<number> {
  override readonly placeholder: number;

  /**
   * @param min - Smallest valid value.
   * @param max - Largest valid value.
   */
  constructor(
    private readonly min: number,
    private readonly max: number,
  ) {
    super();
    this.placeholder = min;
  }

  override read(text: string): ValueResult<number> {
    const range = `Write a whole number from ${this.min} to ${this.max}`;
    if (/^-\d+$/u.test(text)) {
      return invalid(RULE_PROBLEM_KIND.NEGATIVE_LIMIT, `${text} is negative`, range);
    }
    if (!/^\d+$/u.test(text)) {
      return invalid(RULE_PROBLEM_KIND.BAD_VALUE, `"${text}" is not a whole number`, range);
    }
    const value = Number(text);
    if (value > this.max) {
      return invalid(RULE_PROBLEM_KIND.TOO_LARGE, `${text} is above ${this.max}`, range);
    }
    if (value < this.min) {
      return invalid(RULE_PROBLEM_KIND.BAD_VALUE, `${text} is below ${this.min}`, range);
    }
    return valid(value);
  }
}

/** `yes` or `no`. */
export class YesOrNo extends ValueType<boolean> {
  override readonly placeholder = false;

  override read(text: string): ValueResult<boolean> {
    if (text === "yes" || text === "no") {
      return valid(text === "yes");
    }
    return invalid(
      RULE_PROBLEM_KIND.BAD_VALUE,
      `"${text}" is neither yes nor no`,
      "Write yes or no",
    );
  }
}

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/u;

/** The name of a team, pool, queue, key, wave or availability zone. */
export class Name<Id extends string> extends ValueType<Id> {
  override readonly placeholder: Id;

  /** @param brand - Converts the text to the branded id. */
  constructor(private readonly brand: (text: string) => Id) {
    super();
    this.placeholder = brand("");
  }

  override read(text: string): ValueResult<Id> {
    if (!NAME_PATTERN.test(text) || text.length > RULES.MAX_NAME_LENGTH) {
      return invalid(
        RULE_PROBLEM_KIND.BAD_NAME,
        `"${text.slice(0, RULES.MAX_NAME_LENGTH)}" is not a valid name`,
        `Use up to ${RULES.MAX_NAME_LENGTH} letters, digits, ".", "_" and "-", ` +
          "starting with a letter or a digit",
      );
    }
    // Names become keys of JSON objects, where the lookup of such a name would return a property
    // inherited from Object.prototype.
    if (text in Object.prototype) {
      return invalid(
        RULE_PROBLEM_KIND.BAD_NAME,
        `The name "${text}" is reserved`,
        "Choose another name",
      );
    }
    return valid(this.brand(text));
  }
}

/** A glob pattern of host names. */
export class HostPattern extends ValueType<string> {
  override readonly placeholder = "";

  override read(text: string): ValueResult<string> {
    if (/^[A-Za-z0-9._*?-]+$/u.test(text)) {
      return valid(text);
    }
    return invalid(
      RULE_PROBLEM_KIND.BAD_VALUE,
      `"${text}" is not a pattern of host names`,
      'Use letters, digits, ".", "_", "-", "*" for any characters and "?" for one character',
    );
  }
}

/** A SHA-256 digest in lower-case hexadecimal. */
export class Sha256<Hash extends string> extends ValueType<Hash> {
  override readonly placeholder: Hash;

  /** @param brand - Converts the text to the branded hash. */
  constructor(private readonly brand: (text: string) => Hash) {
    super();
    this.placeholder = brand("");
  }

  override read(text: string): ValueResult<Hash> {
    if (/^[0-9a-f]{64}$/u.test(text)) {
      return valid(this.brand(text));
    }
    return invalid(
      RULE_PROBLEM_KIND.BAD_VALUE,
      "The hash is not a SHA-256 digest",
      "Write 64 hexadecimal digits in lower case, as `heatherferry keys grant` does",
    );
  }
}
