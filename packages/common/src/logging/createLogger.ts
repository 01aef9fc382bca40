import { Logger, type ILogObjMeta } from "tslog";
import { LOG_CLASS, type LogClass } from "./logClass.js";

/** Fields of one log line, without nesting. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

const LEVEL = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LEVEL;

/** The lowest level that is written; it can change while the logger is in use. */
export class LogThreshold {
  constructor(public level: LogLevel = "info") {}
}

/** Destination of formatted log lines. */
export abstract class LineSink {
  /**
   * Decides whether a line is written. Called before the line is formatted, so that a dropped
   * line costs almost nothing.
   *
   * @param lineClass - Class of the line.
   * @returns Whether the line is written; if not, the sink counts it as dropped.
   */
  abstract admit(lineClass: LogClass): boolean;

  /**
   * Writes an admitted line.
   *
   * @param line - One line of JSON, without a line terminator.
   */
  abstract write(line: string): void;
}

/** Writes every line to standard error at once. */
class StandardErrorSink extends LineSink {
  override admit(): boolean {
    return true;
  }

  override write(line: string): void {
    process.stderr.write(`${line}\n`);
  }
}

/** Writes one JSON line per call; the class defaults to routine. */
export type JsonLogger = (
  level: LogLevel,
  event: string,
  fields?: LogFields,
  lineClass?: LogClass,
) => void;

/**
 * Creates a logger that writes JSON lines.
 *
 * @param program - Name of the binary, included in each line.
 * @param threshold - Lowest level that is written.
 * @param sink - Destination of the lines.
 * @returns A function that writes one JSON line per call.
 */
export const createLogger = (
  program: string,
  threshold: LogThreshold = new LogThreshold(),
  sink: LineSink = new StandardErrorSink(),
): JsonLogger => {
  const logger = new Logger<Record<string, unknown>>({
    type: "hidden",
    hideLogPositionForProduction: true,
    overwrite: {
      // Masking copies the fields. They are flat and contain no secrets, so it is switched off.
      mask: (args) => args,
      toLogObj: ([fields]) => fields as Record<string, unknown>,
      addMeta: (fields, _id, level) => {
        const line: Record<string, unknown> = {
          at: new Date().toISOString(),
          level: level.toLowerCase(),
          program,
          ...fields,
        };
        return line as Record<string, unknown> & ILogObjMeta;
      },
      transportJSON: (line) => {
        sink.write(JSON.stringify(line));
      },
    },
  });
  return (level, event, fields, lineClass = LOG_CLASS.ROUTINE) => {
    if (LEVEL[level] >= LEVEL[threshold.level] && sink.admit(lineClass)) {
      logger[level]({ event, ...fields });
    }
  };
};
