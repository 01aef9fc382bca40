import { RULE_PROBLEM_KIND } from "../constants.js";
import type { RuleProblem, RuleProblemKind } from "../types.js";
import type { Word } from "../text/splitLine.js";
import type { ValueType } from "./valueType.js";

interface WrittenField {
  readonly value: string;
  readonly column: number;
}

/** Reads the `name=value` words of one line and collects all that is wrong with them. */
export class FieldReader {
  readonly problems: RuleProblem[] = [];
  private readonly written = new Map<string, WrittenField>();
  private readonly endColumn: number;

  /**
   * @param line - Line in the file, from 1.
   * @param words - All words of the line: the kind, the name and the fields.
   */
  constructor(
    private readonly line: number,
    private readonly words: readonly Word[],
  ) {
    const last = words.at(-1);
    this.endColumn = last === undefined ? 1 : last.column + last.text.length;
  }

  /**
   * Takes the fields apart; to be called once, before any is read.
   *
   * @param known - The fields that the line's kind has.
   */
  takeApart(known: readonly string[]): void {
    for (const word of this.words.slice(2)) {
      this.takeWord(word, known);
    }
  }

  /**
   * @param name - Name of a field.
   * @returns Whether the line has it.
   */
  has(name: string): boolean {
    return this.written.has(name);
  }

  /**
   * @param name - Name of a field that must be there.
   * @param type - How its text is read.
   * @returns The value, or a placeholder once a problem was noted.
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
   * @param name - Name of a field that may be left out.
   * @param type - How its text is read.
   * @param absent - The value where it is left out.
   * @returns The value, or a placeholder once a problem was noted.
   */
  optional<T, Absent>(name: string, type: ValueType<T>, absent: Absent): T | Absent {
    const field = this.written.get(name);
    return field === undefined ? absent : this.read(field.value, field.column, type);
  }

  /**
   * @param type - How the rule's own name is read.
   * @returns The name, or a placeholder once a problem was noted.
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
   * @param kind - What sort of problem it is.
   * @param column - Where it is.
   * @param problem - What is wrong, without a final stop.
   * @param remedy - What to do, without a final stop.
   */
  report(kind: RuleProblemKind, column: number, problem: string, remedy: string): void {
    this.problems.push({ kind, line: this.line, column, problem, remedy });
  }

  /**
   * @param name - Name of a field.
   * @returns Where it stands, or the end of the line.
   */
  columnOf(name: string): number {
    return this.written.get(name)?.column ?? this.endColumn;
  }

  private read<T>(text: string, column: number, type: ValueType<T>): T {
    const reading = type.read(text);
    if (reading.type === "value") {
      return reading.value;
    }
    const { kind, problem, remedy } = reading.fault;
    this.report(kind, column, problem, remedy);
    return type.placeholder;
  }

  private takeWord(word: Word, known: readonly string[]): void {
    const equals = word.text.indexOf("=");
    if (equals <= 0) {
      this.report(
        RULE_PROBLEM_KIND.MALFORMED,
        word.column,
        `"${word.text}" is not of the form field=value`,
        "Write no space around the =, and put words for people after a #",
      );
      return;
    }
    const name = word.text.slice(0, equals);
    if (!known.includes(name)) {
      this.report(
        RULE_PROBLEM_KIND.UNKNOWN_FIELD,
        word.column,
        `The field ${name}= is unknown here`,
        `Use one of ${known.join(", ")}`,
      );
      return;
    }
    if (this.written.has(name)) {
      this.report(
        RULE_PROBLEM_KIND.DUPLICATE,
        word.column,
        `The field ${name}= stands twice in this line`,
        "Keep one of them",
      );
      return;
    }
    const column = word.column + equals + 1;
    this.written.set(name, { value: word.text.slice(equals + 1), column });
  }
}
