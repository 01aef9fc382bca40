import { assertNever } from "@heatherferry/common";
import type { TableRange, TableWrite } from "@heatherferry/core";
import { PlatformError, type PlatformTable } from "@heatherferry/runners";
import type { Operation } from "../operation/operation.js";
import { TableView } from "../operation/tableView.js";
import type { ExitCode } from "../operation/types.js";
import { initialState, reduce } from "../reducer/reducer.js";
import type { CommandEffect, CommandEvent } from "../reducer/types.js";
import type { OperatorTerminal } from "./operatorTerminal.js";

type Outcome =
  | { readonly type: "event"; readonly event: CommandEvent }
  | { readonly type: "exit"; readonly exitCode: ExitCode }
  | { readonly type: "none" };

const delay = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const NONE: Outcome = { type: "none" };

const happened = (event: CommandEvent): Outcome => ({ type: "event", event });

const reasonOf = (error: unknown): string => {
  if (error instanceof PlatformError) {
    return `${error.problem}.`;
  }
  throw error;
};

/** Carries out the effects of one command and feeds the reducer with what came of them. */
export class CommandRunner {
  /**
   * @param table - The platform's table.
   * @param terminal - Where text goes.
   * @param invocation - Unique to this run.
   */
  constructor(
    private readonly table: PlatformTable,
    private readonly terminal: OperatorTerminal,
    private readonly invocation: string,
  ) {}

  /**
   * @param operation - The command's first step.
   * @returns The exit code, once the command is at its end.
   */
  async run(operation: Operation): Promise<ExitCode> {
    const state = initialState(operation, this.invocation);
    let event: CommandEvent = { type: "command/started", atMs: performance.now() };
    for (;;) {
      const outcome = await this.carryOutAll(reduce(state, event));
      if (outcome.type === "exit") {
        return outcome.exitCode;
      }
      if (outcome.type === "none") {
        throw new Error("The command has nothing left to do and did not end");
      }
      event = outcome.event;
    }
  }

  private async carryOutAll(effects: readonly CommandEffect[]): Promise<Outcome> {
    let last: Outcome = NONE;
    for (const effect of effects) {
      last = await this.carryOut(effect);
    }
    return last;
  }

  private async carryOut(effect: CommandEffect): Promise<Outcome> {
    switch (effect.type) {
      case "text/print":
        this.terminal.print(effect.stream, effect.text);
        return NONE;
      case "table/read":
        return happened(await this.read(effect.ranges));
      case "table/write":
        return happened(await this.write(effect.write));
      case "timer/start":
        await delay(effect.delayMs);
        return happened({ type: "timer/elapsed", atMs: performance.now() });
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
