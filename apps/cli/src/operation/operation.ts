import type { RowKey } from "@heatherferry/common";
import { failed } from "./decisions.js";
import type { TableView } from "./tableView.js";
import type { Decision, Finish } from "./types.js";

/** One step of a command: the rows that it reads, and a decision on them. Does no I/O. */
export abstract class Operation {
  /** Key prefixes of the rows that the decision depends on. */
  abstract readonly prefixes: readonly RowKey[];

  /**
   * Decides the next step of the command.
   *
   * @param view - Rows of one consistent read.
   * @param nowMs - Time on this machine's monotonic clock, in milliseconds.
   * @throws HeatherferryError if the request is not possible on these rows.
   */
  abstract decide(view: TableView, nowMs: number): Decision;

  /**
   * Finishes the command after the table could not be read.
   *
   * @param reason - Why the read failed.
   */
  onReadFailure(reason: string): Finish {
    return failed(
      `${reason}\nNothing was changed. Run the command again once the platform's table answers.`,
    );
  }
}
