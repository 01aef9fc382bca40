import type { Revision } from "@heatherferry/common";
import { type MemberRow, MEMBERSHIP } from "@heatherferry/core";
import type { TableView } from "../operation/tableView.js";

/**
 * @param view - Rows that include the members.
 * @returns The entry hosts whose heartbeat still stands on the table's clock.
 */
export const liveEntryHosts = (view: TableView): readonly MemberRow[] =>
  view
    .ofType("member")
    .filter(({ committedAtMs }) => committedAtMs > view.tableTimeMs - MEMBERSHIP.SESSION_TERM_MS)
    .map(({ body }) => body)
    .filter(({ left }) => !left);

/** How far a revision got. */
export interface RollOut {
  readonly live: number;
  /** Live entry hosts that do not have it yet. */
  readonly lacking: readonly MemberRow[];
}

/**
 * @param view - Rows that include the members.
 * @param wanted - A revision.
 * @returns How many entry hosts are live, and which work under an earlier revision.
 */
export const rollOutOf = (view: TableView, wanted: Revision): RollOut => {
  const live = liveEntryHosts(view);
  return {
    live: live.length,
    lacking: live.filter(({ revisionInForce }) => revisionInForce < wanted),
  };
};
