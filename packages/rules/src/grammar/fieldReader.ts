import { RULE_PROBLEM_KIND } from "../constants.js";
import type { RuleProblem, RuleProblemKind } from "../types.js";
import type { Word } from "../text/splitLine.js";
import type { ValueType } from "./valueType.js";

interface ParsedField {
  readonly value: string;
  readonly column: number;
}

/** Parses the `name=value` words of one line and collects every problem found in them. */
export class FieldReader {
  readonly problems: RuleProblem[] = [];
  private readonly fieldsByName = new Map<string, ParsedField>();
  private readonly endColumn: number;

  /**
   * @param line - Line number in the file, starting at 1.
   * @param words - All words of the line: kind, name and fields.
   */
  constructor(
    private readonly line: number,
    private readonly words: readonly Word[],
  ) {
    const last = words.at(-1);
    this.endColumn = last === undefined ? 1 : last.column + last.text.length;
  }

  /**
   * Parses all fields of the line. Must be called once, before any field is read.
   *
   * @param known - Names of the fields that this kind of rule has.
   */
  parseFields(known: readonly string[]): void {
    for (const word of this.words.slice(2)) {
      this.parseField(word, known);
    }
  }

  /**
   * Whether the line has a field.
   *
   * @param name - Name of the field.
   */
  has(name: string): boolean {
    return this.fieldsByName.has(name);
  }

  /**
   * Reads a mandatory field.
   *
   * @param name - Name of the field.
   * @param type - Type of its value.
   * @returns The value, or a placeholder if the field is missing or invalid; the problem is
   * reported.
   */
  required<T>(name: string, type: ValueType<T>): T {
    if (!this.has(name)) {
      this.report(
        RULE_PROBLEM_KIND.MISSING_FIELD,
        this.endColumn,
        `The field ${name}= is missing`,
        `Add ${name}= to this line`,
      );
    }
    return this.optional(name, type, type.placeholder);
  }

  /**
   * Reads an optional field.
   *
   * @param name - Name of the field.
   * @param type - Type of its value.
   * @param fallback - Returned if the line does not have the field.
   * @returns The value, or a placeholder if the field is invalid; the problem is reported.
   */
  optional<T, Fallback>(name: string, type: ValueType<T>, fallback: Fallback): T | Fallback {
    const field = this.fieldsByName.get(name);
    return field === undefined ? fallback : this.read(field.value, field.column, type);
  }

  /**
   * Reads the name of the rule, the second word of the line.
   *
   * @param type - Type of the name.
   * @returns The name, or a placeholder if it is missing or invalid; the problem is reported.
   */
  name<T>(type: ValueType<T>): T {
    const word = this.words[1];
    if (word === undefined || word.text.includes("=")) {
      this.report(
        RULE_PROBLEM_KIND.MALFORMED,
        word?.column ?? this.endColumn,
        "The rule has no name",
        "Write the name as the second word: kind name field=value",
      );
      return type.placeholder;
    }
    return this.read(word.text, word.column, type);
  }

  /**
   * Records a problem of this line.
   *
   * @param kind - Kind of the problem.
   * @param column - Column in the line, starting at 1.
   * @param problem - What is wrong, without a full stop.
   * @param remedy - What to do about it, without a full stop.
   */
  report(kind: RuleProblemKind, column: number, problem: string, remedy: string): void {
    this.problems.push({ kind, line: this.line, column, problem, remedy });
  }

  /**
   * Returns the column where the value of a field starts.
   *
   * @param name - Name of the field.
   * @returns The column, or the column after the last word if the line does not have the field.
   */
  columnOf(name: string): number {
    return this.fieldsByName.get(name)?.column ?? this.endColumn;
  }

  private read<T>(text: string, column: number, type: ValueType<T>): T {
    const result = type.read(text);
    if (result.type === "value") {
      return result.value;
    }
    const { kind, problem, remedy } = result.fault;
    this.report(kind, column, problem, remedy);
    return type.placeholder;
  }

  private parseField(word: Word, known: readonly string[]): void {
    const equals = word.text.indexOf("=");
    if (equals <= 0) {
      this.report(
        RULE_PROBLEM_KIND.MALFORMED,
        word.column,
        `"${word.text}" is not of the form field=value`,
        "Remove spaces around the =, and write free text after a #",
      );
      return;
    }
    const name = word.text.slice(0, equals);
    if (!known.includes(name)) {
      this.report(
        RULE_PROBLEM_KIND.UNKNOWN_FIELD,
        word.column,
        `This kind of rule has no field ${name}=`,
        `Use one of ${known.join(", ")}`,
      );
      return;
    }
    if (this.fieldsByName.has(name)) {
      this.report(
        RULE_PROBLEM_KIND.DUPLICATE,
        word.column,
        `The field ${name}= appears twice on this line`,
        "Keep one of them",
      );
      return;
    }
    const column = word.column + equals + 1;
    this.fieldsByName.set(name, { value: word.text.slice(equals + 1), column });
  }
}
