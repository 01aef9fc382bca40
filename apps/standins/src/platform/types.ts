import type { HostId, RowKey, TableVersion } from "@heatherferry/common";
import type { ListedHost, RowCondition, TableRange } from "@heatherferry/core";
import type { RandomGenerator } from "pure-rand";
import type { ExchangeId } from "../http/types.js";

/** A row as the table keeps it; the table does not look into the body. */
export interface StoredRow {
  readonly key: RowKey;
  readonly version: TableVersion;
  readonly committedAtMs: number;
  readonly writeIds: readonly string[];
  readonly body: unknown;
}

export interface StoredPut {
  readonly key: RowKey;
  readonly writeIds: readonly string[];
  readonly body: unknown;
}

/** One transaction as it arrives. */
export interface StoredWrite {
  readonly writeId: string;
  readonly conditions: readonly RowCondition[];
  readonly puts: readonly StoredPut[];
  readonly deletes: readonly RowKey[];
}

export interface TableState {
  version: TableVersion;
  lastCommittedAtMs: number;
  rows: Map<RowKey, StoredRow>;
  /** Commits in order; an entry is stale once its row has a later version. */
  log: { readonly version: TableVersion; readonly key: RowKey }[];
}

/** The host list as it was from a time on. */
export interface HostSnapshot {
  readonly sinceMs: number;
  readonly hosts: readonly ListedHost[];
}

export interface HostsState {
  /** All hosts that there are, up or not. */
  declared: readonly ListedHost[];
  /** Hosts that reboot or did not come back: they are left out of the list. */
  unavailable: Set<HostId>;
  /** The list as it was, newest last. */
  snapshots: HostSnapshot[];
  /** Exchanges that wait for a host to come back. */
  rebooting: Map<HostId, ExchangeId[]>;
}

/** What goes wrong on purpose. */
export interface Faults {
  /** No call is answered: its connection is cut. */
  readonly down: boolean;
  /** Time by which each answer is held back. */
  readonly delayMs: number;
  /** Fraction of writes that take effect and are not answered. */
  readonly loseReplyFraction: number;
  /** Age of the host list that callers are shown. */
  readonly listLagMs: number;
  /** Hosts that do not come back from a reboot. */
  readonly lostHosts: readonly HostId[];
}

export interface PlatformCounters {
  reads: number;
  rowsRead: number;
  writes: number;
  conflicts: number;
  lostReplies: number;
  cutWhileDown: number;
  hostLists: number;
  reboots: number;
}

/** Only `reducePlatform` writes to it, in place. */
export interface PlatformStandInState {
  table: TableState;
  hosts: HostsState;
  objects: Map<string, Uint8Array>;
  faults: Faults;
  random: RandomGenerator;
  counters: PlatformCounters;
}

/** A call of a client of the platform. */
export type PlatformCall =
  | { readonly type: "table/readRequested"; readonly ranges: readonly TableRange[] }
  | { readonly type: "table/writeRequested"; readonly write: StoredWrite }
  | { readonly type: "hosts/listRequested" }
  | { readonly type: "host/rebootRequested"; readonly hostId: HostId }
  | { readonly type: "object/putRequested"; readonly key: string; readonly bytes: Uint8Array }
  | { readonly type: "object/getRequested"; readonly key: string };

export type PlatformCallEvent = PlatformCall & {
  readonly atMs: number;
  readonly exchangeId: ExchangeId;
};

export type PlatformStandInEvent =
  | PlatformCallEvent
  | {
      readonly type: "host/rebootEnded";
      readonly atMs: number;
      readonly hostId: HostId;
      readonly cameBack: boolean;
    }
  | { readonly type: "hosts/set"; readonly atMs: number; readonly hosts: readonly ListedHost[] }
  | {
      readonly type: "faults/set";
      readonly atMs: number;
      readonly faults: Faults;
      /** Starts the random numbers anew; null to go on. */
      readonly seed: number | null;
    };

/** What a client is told; the encoding is up to the server. */
export type PlatformAnswer =
  | {
      readonly type: "rowsRead";
      readonly rows: readonly StoredRow[];
      readonly upToVersion: TableVersion;
      readonly tableTimeMs: number;
    }
  | { readonly type: "committed"; readonly version: TableVersion }
  | { readonly type: "conflicted"; readonly rows: readonly StoredRow[] }
  | { readonly type: "hostsListed"; readonly hosts: readonly ListedHost[] }
  | { readonly type: "hostRebooted" }
  | { readonly type: "hostStayedDown" }
  | { readonly type: "hostUnknown" }
  | { readonly type: "objectStored" }
  | { readonly type: "objectRead"; readonly bytes: Uint8Array }
  | { readonly type: "objectUnknown" };

export type PlatformStandInEffect =
  | {
      readonly type: "exchange/answer";
      readonly exchangeId: ExchangeId;
      readonly delayMs: number;
      readonly answer: PlatformAnswer;
    }
  /** Cut the connection without an answer. */
  | {
      readonly type: "exchange/destroy";
      readonly exchangeId: ExchangeId;
      readonly delayMs: number;
    }
  | { readonly type: "exchange/destroyAll" }
  | { readonly type: "host/powerCycle"; readonly host: ListedHost; readonly comesBack: boolean };
