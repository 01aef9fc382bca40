import { STORE } from "../constants.js";
import type { RowToWrite } from "../events.js";
import { storedBytes } from "../store/storedSize.js";

/** Entries of the owner row: the row itself and the condition on its version. */
const OWNER_ROW_ENTRIES = 2;

/** Rows beside which the store gets a report that the operators read. */
const ROWS_WITH_REPORT: readonly RowToWrite["type"][] = ["waveReport", "evacuationReport"];

const entriesOf = ({ type }: RowToWrite): number =>
  ROWS_WITH_REPORT.includes(type) ? STORE.ENTRIES_PER_REPORT : 1;

/** What still fits into a transaction: the store refuses one with too many entries or bytes. */
export class CommitBudget {
  private entriesLeft: number = STORE.MAX_ENTRIES;
  private bytesLeft: number = STORE.MAX_COMMIT_BYTES;

  /** @param rowsLeft - Most rows that the transaction may change. */
  constructor(private rowsLeft: number) {}

  /**
   * Takes the space of the owner row, which each commit writes, and of the condition on it.
   *
   * @param bytes - Size of the row in the store.
   */
  takeOwnerRow(bytes: number): void {
    this.entriesLeft -= OWNER_ROW_ENTRIES;
    this.bytesLeft -= bytes + OWNER_ROW_ENTRIES * STORE.ENTRY_OVERHEAD_BYTES;
  }

  /**
   * Takes the space of a row to write.
   *
   * @returns False if the row does not fit.
   */
  takeWrite(row: RowToWrite): boolean {
    return this.take(entriesOf(row), storedBytes(row));
  }

  /**
   * Takes the space of a row to write whose size is not known yet.
   *
   * @param maxBytes - Most bytes that it will have in the store.
   * @returns False if the row may not fit.
   */
  reserveWrite(maxBytes: number): boolean {
    return this.take(1, maxBytes);
  }

  /**
   * Takes the space of a row to remove.
   *
   * @returns False if it does not fit.
   */
  takeRemove(): boolean {
    return this.take(1, 0);
  }

  private take(entries: number, bytes: number): boolean {
    const bytesWithName = bytes + STORE.ENTRY_OVERHEAD_BYTES;
    if (this.rowsLeft < 1 || this.entriesLeft < entries || this.bytesLeft < bytesWithName) {
      return false;
    }
    this.rowsLeft -= 1;
    this.entriesLeft -= entries;
    this.bytesLeft -= bytesWithName;
    return true;
  }
}
