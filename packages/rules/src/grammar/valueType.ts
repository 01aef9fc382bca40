import { RULE_PROBLEM_KIND, RULES } from "../constants.js";
import type { RuleProblemKind } from "../types.js";

/** Why the text of a value is refused. */
export interface ValueFault {
  readonly kind: RuleProblemKind;
  readonly problem: string;
  readonly remedy: string;
}

/** A text that was understood, or the reason why not. */
export type ValueReading<T> =
  | { readonly type: "value"; readonly value: T }
  | { readonly type: "fault"; readonly fault: ValueFault };

const understood = <T>(value: T): ValueReading<T> => ({ type: "value", value });

const refused = <T>(kind: RuleProblemKind, problem: string, remedy: string): ValueReading<T> => ({
  type: "fault",
  fault: { kind, problem, remedy },
});

/** How the text of a field becomes a value, and back. */
export abstract class ValueType<T> {
  /** Stands in for a refused value; the line that holds it is dropped. */
  abstract readonly placeholder: T;

  /**
   * @param text - The value as written.
   * @returns The value, or why it is refused.
   */
  abstract read(text: string): ValueReading<T>;
}

/** A whole number within bounds. */
export class WholeNumber extends ValueType<number> {
  override readonly placeholder: number;

  /**
   * @param min - The least value allowed.
   * @param max - The largest value allowed.
   */
  constructor(
    private readonly min: number,
    private readonly max: number,
  ) {
    super();
    this.placeholder = min;
  }

  override read(text: string): ValueReading<number> {
    const range = `Write a whole number from ${this.min} to ${this.max}`;
    if (/^-\d+$/u.test(text)) {
      return refused(RULE_PROBLEM_KIND.NEGATIVE_LIMIT, `${text} is negative`, range);
    }
    if (!/^\d+$/u.test(text)) {
      return refused(RULE_PROBLEM_KIND.BAD_VALUE, `"${text}" is not a whole number`, range);
    }
    const value = Number(text);
    if (value > this.max) {
      return refused(RULE_PROBLEM_KIND.TOO_LARGE, `${text} is above ${this.max}`, range);
    }
    if (value < this.min) {
      return refused(RULE_PROBLEM_KIND.BAD_VALUE, `${text} is below ${this.min}`, range);
    }
    return understood(value);
  }
}

/** `yes` or `no`. */
export class YesOrNo extends ValueType<boolean> {
  override readonly placeholder = false;

  override read(text: string): ValueReading<boolean> {
    if (text === "yes" || text === "no") {
      return understood(text === "yes");
    }
    return refused(
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

  /** @param brand - Makes the branded id. */
  constructor(private readonly brand: (text: string) => Id) {
    super();
    this.placeholder = brand("");
  }

  override read(text: string): ValueReading<Id> {
    if (!NAME_PATTERN.test(text) || text.length > RULES.MAX_NAME_LENGTH) {
      return refused(
        RULE_PROBLEM_KIND.BAD_NAME,
        `"${text.slice(0, RULES.MAX_NAME_LENGTH)}" cannot be a name`,
        `Use up to ${RULES.MAX_NAME_LENGTH} letters, digits, ".", "_" and "-", ` +
          "beginning with a letter or a digit",
      );
    }
    // Names become keys of JSON objects, where an inherited property would answer for them.
    if (text in Object.prototype) {
      return refused(
        RULE_PROBLEM_KIND.BAD_NAME,
        `The name "${text}" is reserved`,
        "Choose another",
      );
    }
    return understood(this.brand(text));
  }
}

/** A pattern over host names. */
export class HostPattern extends ValueType<string> {
  override readonly placeholder = "";

  override read(text: string): ValueReading<string> {
    if (/^[A-Za-z0-9._*?-]+$/u.test(text)) {
      return understood(text);
    }
    return refused(
      RULE_PROBLEM_KIND.BAD_VALUE,
      `"${text}" is not a pattern of host names`,
      'Use letters, digits, ".", "_", "-", "*" for any run and "?" for one character',
    );
  }
}

/** A SHA-256 digest in lower-case hexadecimal. */
export class Sha256<Hash extends string> extends ValueType<Hash> {
  override readonly placeholder: Hash;

  /** @param brand - Makes the branded hash. */
  constructor(private readonly brand: (text: string) => Hash) {
    super();
    this.placeholder = brand("");
  }

  override read(text: string): ValueReading<Hash> {
    if (/^[0-9a-f]{64}$/u.test(text)) {
      return understood(this.brand(text));
    }
    return refused(
      RULE_PROBLEM_KIND.BAD_VALUE,
      "The hash is not a SHA-256 digest",
      "Write 64 hexadecimal digits in lower case, as `heatherferry keys grant` does",
    );
  }
}
