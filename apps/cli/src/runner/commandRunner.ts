import { assertNever } from "@heatherferry/common";
import type { TableRange, TableWrite } from "@heatherferry/core";
import { PlatformError, type PlatformTable } from "@heatherferry/runners";
import type { Operation } from "../operation/operation.js";
import { TableView } from "../operation/tableView.js";
import type { ExitCode } from "../operation/types.js";
import { initialState, reduce } from "../reducer/reducer.js";
import type { CommandEffect, CommandEvent } from "../reducer/types.js";
import type { OperatorTerminal } from "./operatorTerminal.js";

type EffectOutcome =
  | { readonly type: "event"; readonly event: CommandEvent }
  | { readonly type: "exit"; readonly exitCode: ExitCode }
  | { readonly type: "none" };

const delay = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const NO_OUTCOME: EffectOutcome = { type: "none" };

const eventOutcome = (event: CommandEvent): EffectOutcome => ({ type: "event", event });

const reasonOf = (error: unknown): string => {
  if (error instanceof PlatformError) {
    return `${error.problem}.`;
  }
  throw error;
};

/** Runs the effects of one command and passes their results to the reducer as events. */
export class CommandRunner {
  /**
   * @param table - The platform's table.
   * @param terminal - Terminal that text is printed to.
   * @param invocation - Id that is unique to this run.
   */
  constructor(
    private readonly table: PlatformTable,
    private readonly terminal: OperatorTerminal,
    private readonly invocation: string,
  ) {}

  /**
   * Runs a command to its end.
   *
   * @param operation - First operation of the command.
   * @returns The exit code.
   */
  async run(operation: Operation): Promise<ExitCode> {
    const state = initialState(operation, this.invocation);
    let event: CommandEvent = { type: "command/started", atMs: performance.now() };
    for (;;) {
      const outcome = await this.runEffects(reduce(state, event));
      if (outcome.type === "exit") {
        return outcome.exitCode;
      }
      if (outcome.type === "none") {
        throw new Error(
          "The reducer returned no effect that leads to an event or an exit; report this as a bug",
        );
      }
      event = outcome.event;
    }
  }

  private async runEffects(effects: readonly CommandEffect[]): Promise<EffectOutcome> {
    let last: EffectOutcome = NO_OUTCOME;
    for (const effect of effects) {
      last = await this.runEffect(effect);
    }
    return last;
  }

  private async runEffect(effect: CommandEffect): Promise<EffectOutcome> {
    switch (effect.type) {
      case "text/print":
        this.terminal.print(effect.stream, effect.text);
        return NO_OUTCOME;
      case "table/read":
        return eventOutcome(await this.read(effect.ranges));
      case "table/write":
        return eventOutcome(await this.write(effect.write));
      case "timer/start":
        await delay(effect.delayMs);
        return eventOutcome({ type: "timer/elapsed", atMs: performance.now() });
      case "command/exit":
        return { type: "exit", exitCode: effect.exitCode };
      default:
        return assertNever(effect);
    }
  }

  private async read(ranges: readonly TableRange[]): Promise<CommandEvent> {
    try {
      const { rows, tableTimeMs } = await this.table.read(ranges);
      const view = new TableView(rows, tableTimeMs);
      return { type: "table/readCompleted", atMs: performance.now(), view };
    } catch (error) {
      return { type: "table/readFailed", atMs: performance.now(), reason: reasonOf(error) };
    }
  }

  private async write(write: TableWrite): Promise<CommandEvent> {
    try {
      const result = await this.table.write(write);
      return result.type === "committed"
        ? { type: "table/writeCommitted", atMs: performance.now() }
        : { type: "table/writeConflicted", atMs: performance.now(), rows: result.rows };
    } catch (error) {
      return { type: "table/writeUnanswered", atMs: performance.now(), reason: reasonOf(error) };
    }
  }
}
