import type { RowKey } from "@heatherferry/common";
import { failed } from "./decisions.js";
import type { TableView } from "./tableView.js";
import type { Decision, Finish } from "./types.js";

/** One step of a command: what it must read, and what it makes of that. Holds no connection. */
export abstract class Operation {
  /** Prefixes of the rows that the decision rests on. */
  abstract readonly prefixes: readonly RowKey[];

  /**
   * @param view - The rows, in one consistent view.
   * @param nowMs - This machine's monotonic clock.
   * @returns What to do.
   * @throws HeatherferryError when the request cannot be carried out on these rows.
   */
  abstract decide(view: TableView, nowMs: number): Decision;

  /**
   * @param reason - Why the table could not be read.
   * @returns How the command ends then.
   */
  whenUnreadable(reason: string): Finish {
    return failed(
      `${reason}\nNothing was changed. Run the command again once the platform's table answers.`,
    );
  }
}
