import { Logger } from "tslog";

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

const LEVEL = { debug: 2, info: 3, warn: 4, error: 5 } as const;

export type LogLevel = keyof typeof LEVEL;

/** Writes JSON lines to standard error. */
export type JsonLogger = (level: LogLevel, event: string, fields?: LogFields) => void;

const writeLine = (line: string): void => {
  process.stderr.write(`${line}\n`);
};

/**
 * @param program - Name of the binary, kept in each line.
 * @param minLevel - Lines below this level are dropped.
 * @returns A function that writes one JSON line a call.
 */
export const createLogger = (program: string, minLevel: LogLevel = "info"): JsonLogger => {
  const logger = new Logger<Record<string, unknown>>({
    type: "hidden",
    minLevel: LEVEL[minLevel],
    hideLogPositionForProduction: true,
  });
  logger.attachTransport((record) => {
    const { _meta, ...fields } = record as Record<string, unknown> & {
      _meta: { date: Date; logLevelName: string };
    };
    writeLine(
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
