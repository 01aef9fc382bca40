import { Logger } from "tslog";

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

const LEVEL = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LEVEL;

/** Takes finished log lines. */
export abstract class LineSink {
  /** @param line - One line of JSON, without its end. */
  abstract write(line: string): void;
}

/** Writes to standard error as it goes. */
class StandardErrorSink extends LineSink {
  override write(line: string): void {
    process.stderr.write(`${line}\n`);
  }
}

/** Writes one JSON line a call. */
export type JsonLogger = (level: LogLevel, event: string, fields?: LogFields) => void;

/**
 * @param program - Name of the binary, kept in each line.
 * @param minLevel - Lines below this level are dropped.
 * @param sink - Where lines go.
 * @returns A function that writes one JSON line a call.
 */
export const createLogger = (
  program: string,
  minLevel: LogLevel = "info",
  sink: LineSink = new StandardErrorSink(),
): JsonLogger => {
  const logger = new Logger<Record<string, unknown>>({
    type: "hidden",
    minLevel: LEVEL[minLevel],
    hideLogPositionForProduction: true,
  });
  logger.attachTransport((record) => {
    const { _meta, ...fields } = record as Record<string, unknown> & {
      _meta: { date: Date; logLevelName: string };
    };
    sink.write(
      JSON.stringify({
        at: _meta.date.toISOString(),
        level: _meta.logLevelName.toLowerCase(),
        program,
        ...fields,
      }),
    );
  });
  return (level, event, fields) => {
    logger[level]({ event, ...fields });
  };
};
