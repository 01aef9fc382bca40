import { tableVersion, writeId, type RowKey, type TableVersion } from "@heatherferry/common";
import type { TableRow } from "@heatherferry/core";
import type { PlatformTable } from "@heatherferry/runners";
import {
  designRules,
  hostRowAt,
  memberRowAt,
  rulesHeadRow,
  zoneRows,
} from "../slopes/designRows.js";
import { DESIGN_SIZE } from "../slopes/designSize.js";

const HEARTBEAT_MS = 3_000;
const DAY_MS = 86_400_000;
/** Changes of host rows a day in one zone: restarts, failures, and four steps of a maintenance. */
const HOST_CHANGES_A_DAY = (1_800 + 63 + (DESIGN_SIZE.WORKERS / 21) * 4) / DESIGN_SIZE.ZONES;

/** Writes to the table what the rest of a zone and the operators would. */
export class ControlLoad {
  private readonly versions = new Map<RowKey, TableVersion>();
  private readonly timers: NodeJS.Timeout[] = [];
  private count = 0;

  constructor(private readonly table: PlatformTable) {}

  /** Fills the table. */
  async fill(): Promise<void> {
    const rows = zoneRows().filter((row) => row.key !== "member/z4/e-4-0");
    for (const row of rows) {
      await this.put(row);
    }
  }

  /** Begins the changes. */
  start(): void {
    const text = designRules();
    this.every(HEARTBEAT_MS / (DESIGN_SIZE.ENTRY_HOSTS_A_ZONE - 1), (count) =>
      memberRowAt(1 + (count % (DESIGN_SIZE.ENTRY_HOSTS_A_ZONE - 1)), 0),
    );
    this.every(DAY_MS / DESIGN_SIZE.RULE_CHANGES_A_DAY, (count) => rulesHeadRow(count + 2, text));
    this.every(DAY_MS / HOST_CHANGES_A_DAY, (count) =>
      hostRowAt(count % DESIGN_SIZE.HOSTS_A_ZONE, 0),
    );
  }

  stop(): void {
    this.timers.forEach(clearInterval);
  }

  private every(intervalMs: number, makeRow: (count: number) => TableRow): void {
    let count = 0;
    const timer = setInterval(() => {
      count += 1;
      void this.put(makeRow(count));
    }, intervalMs);
    this.timers.push(timer);
  }

  private async put(row: TableRow): Promise<void> {
    this.count += 1;
    const id = writeId(`control-${this.count}`);
    const version = this.versions.get(row.key) ?? tableVersion(0);
    const result = await this.table.write({
      writeId: id,
      conditions: [{ key: row.key, version }],
      puts: [{ key: row.key, body: row.body, writeIds: [id] }],
    });
    if (result.type === "committed") {
      this.versions.set(row.key, result.version);
    }
  }
}
