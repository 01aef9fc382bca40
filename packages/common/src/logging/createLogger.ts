import { Logger, type ILogObjMeta } from "tslog";
import { LOG_CLASS, type LogClass } from "./logClass.js";

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

const LEVEL = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LEVEL;

/** The least level that is written, which may change while the logger is in use. */
export class LogThreshold {
  constructor(public level: LogLevel = "info") {}
}

/** Takes finished log lines. */
export abstract class LineSink {
  /**
   * Asked before a line is formatted, so that a dropped line costs next to nothing.
   *
   * @param lineClass - Class of the line to come.
   * @returns Whether the line may be written; if not, the sink counts it as dropped.
   */
  abstract admit(lineClass: LogClass): boolean;

  /** @param line - One line of JSON that was admitted, without its end. */
  abstract write(line: string): void;
}

/** Writes to standard error as it goes. */
class StandardErrorSink extends LineSink {
  override admit(): boolean {
    return true;
  }

  override write(line: string): void {
    process.stderr.write(`${line}\n`);
  }
}

/** Writes one JSON line a call; a line without a class is a routine one. */
export type JsonLogger = (
  level: LogLevel,
  event: string,
  fields?: LogFields,
  lineClass?: LogClass,
) => void;

/**
 * @param program - Name of the binary, kept in each line.
 * @param threshold - Lines below its level are dropped.
 * @param sink - Where lines go.
 * @returns A function that writes one JSON line a call.
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
      // Fields are flat and hold no secrets, so they need no copies.
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
