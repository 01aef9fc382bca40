import type { HostId, RowKey, TableVersion } from "@heatherferry/common";
import type { ListedHost, RowCondition, TableRange } from "@heatherferry/core";
import type { RandomGenerator } from "pure-rand";
import type { ExchangeId } from "../http/types.js";

/** Row as the table stores it; the table does not interpret the body. */
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

/** Transaction as received from a client. */
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
  /** Commits in order; an entry is out of date after its row was written again or deleted. */
  log: { readonly version: TableVersion; readonly key: RowKey }[];
}

/** Host list that was current from `sinceMs` on. */
export interface HostSnapshot {
  readonly sinceMs: number;
  readonly hosts: readonly ListedHost[];
}

export interface HostsState {
  /** All hosts, up or not. */
  declared: readonly ListedHost[];
  /** Hosts that are rebooting or did not come back; the host list leaves them out. */
  unavailable: Set<HostId>;
  /** Past host lists and the current one, newest last. */
  snapshots: HostSnapshot[];
  /** Exchanges to answer when the reboot of a host ends. */
  rebooting: Map<HostId, ExchangeId[]>;
}

/** Injected faults. */
export interface Faults {
  /** Outage: the connection of every call is destroyed without an answer. */
  readonly down: boolean;
  /** Delay of each answer. */
  readonly delayMs: number;
  /** Fraction of table and object writes that take effect but whose reply is lost. */
  readonly loseReplyFraction: number;
  /** Age of the host list that callers get. */
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

/** State of the platform stand-in; only `reducePlatform` changes it, in place. */
export interface PlatformStandInState {
  table: TableState;
  hosts: HostsState;
  objects: Map<string, Uint8Array>;
  faults: Faults;
  random: RandomGenerator;
  counters: PlatformCounters;
}

/** Call of a client of the platform. */
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
      /** Seed to restart the random numbers with; null to continue the sequence. */
      readonly seed: number | null;
    };

/** Answer to a client, independent of its encoding. */
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
  /** Destroys the connection without an answer. */
  | {
      readonly type: "exchange/destroy";
      readonly exchangeId: ExchangeId;
      readonly delayMs: number;
    }
  | { readonly type: "exchange/destroyAll" }
  | { readonly type: "host/powerCycle"; readonly host: ListedHost; readonly comesBack: boolean };
