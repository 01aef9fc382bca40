import type { Revision } from "@heatherferry/common";
import { type MemberRow, MEMBERSHIP, type TableRow } from "@heatherferry/core";
import { ROLL_OUT } from "../constants.js";
import type { TableView } from "../operation/tableView.js";

const silentForMs = (view: TableView, row: TableRow<MemberRow>): number =>
  view.tableTimeMs - row.committedAtMs;

const present = (view: TableView): readonly TableRow<MemberRow>[] =>
  view.ofType("member").filter(({ body }) => !body.left);

/**
 * @param view - Rows that include the members.
 * @returns The entry hosts whose heartbeat still stands on the table's clock.
 */
export const liveEntryHosts = (view: TableView): readonly MemberRow[] =>
  present(view)
    .filter((row) => silentForMs(view, row) < MEMBERSHIP.SESSION_TERM_MS)
    .map(({ body }) => body);

/**
 * An entry host that is cut off from the platform may go on serving under an earlier revision.
 *
 * @param view - Rows that include the members.
 * @returns The entry hosts that fell silent not long ago and did not leave.
 */
export const silentEntryHosts = (view: TableView): readonly MemberRow[] =>
  present(view)
    .filter((row) => silentForMs(view, row) >= MEMBERSHIP.SESSION_TERM_MS)
    .filter((row) => silentForMs(view, row) < ROLL_OUT.SILENT_SHOWN_FOR_MS)
    .map(({ body }) => body);

/**
 * @param member - An entry host.
 * @returns Its place, and the revision that it last named.
 */
export const describeEntryHost = (member: MemberRow): string =>
  `${member.availabilityZone}/${member.entryHostId} revision ${member.revisionInForce}`;

/** How far a revision got. */
export interface RollOut {
  readonly live: number;
  /** Live entry hosts that do not have it yet. */
  readonly lacking: readonly MemberRow[];
  /** Entry hosts that may run on, and of which nothing is known now. */
  readonly silent: readonly MemberRow[];
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
    silent: silentEntryHosts(view),
  };
};
