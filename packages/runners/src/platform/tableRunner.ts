import { messageOf } from "@heatherferry/common";
import type { TableRange, TableWrite } from "@heatherferry/core";
import { EventLoop } from "../loop/eventLoop.js";
import type { PlatformTable } from "./platformTable.js";

/** Turns what comes of reads and writes of the table into events. */
export class TableRunner {
  constructor(
    private readonly table: PlatformTable,
    private readonly loop: EventLoop,
  ) {}

  /** @param ranges - The ranges to read. */
  async read(ranges: readonly TableRange[]): Promise<void> {
    const sentAtMs = EventLoop.nowMs();
    try {
      const { rows, upToVersion, tableTimeMs } = await this.table.read(ranges);
      this.loop.handle({
        type: "table/readCompleted",
        sentAtMs,
        viewAgeMs: 0,
        ranges,
        rows,
        upToVersion,
        tableTimeMs,
      });
    } catch (error) {
      this.loop.handle({ type: "table/readFailed", reason: messageOf(error) });
    }
  }

  /** @param write - The transaction to send. */
  async write(write: TableWrite): Promise<void> {
    const { writeId } = write;
    try {
      const result = await this.table.write(write);
      if (result.type === "committed") {
        const { version } = result;
        this.loop.handle({ type: "table/writeCommitted", writeId, version });
      } else {
        this.loop.handle({ type: "table/writeConflicted", writeId, rows: result.rows });
      }
    } catch (error) {
      this.loop.handle({ type: "table/writeUnanswered", writeId, reason: messageOf(error) });
    }
  }
}
