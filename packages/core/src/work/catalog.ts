import type { PoolId, QueueId, TeamId } from "@heatherferry/common";
import { CATALOG_VIEW } from "./constants.js";
import type { WorkloadState } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import type { Catalog, Pool, Queue, Team } from "./types.js";

/** The catalog in force by what it is asked for. */
export interface CatalogIndex {
  readonly queues: ReadonlyMap<QueueId, Queue>;
  readonly queuesOfHost: ReadonlyMap<string, readonly Queue[]>;
  readonly pools: ReadonlyMap<PoolId, Pool>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly teamOfKey: ReadonlyMap<string, Team>;
}

/** @returns A catalog, which may have thousands of queues, by what it is asked for. */
export const indexCatalog = (catalog: Catalog | null): CatalogIndex => {
  const queuesOfHost = new Map<string, Queue[]>();
  for (const queue of catalog?.queues ?? []) {
    const queues = queuesOfHost.get(queue.callerHost) ?? [];
    queues.push(queue);
    queuesOfHost.set(queue.callerHost, queues);
  }
  const teams = catalog?.teams ?? [];
  return {
    queues: new Map(catalog?.queues.map((queue) => [queue.id, queue])),
    queuesOfHost,
    pools: new Map(catalog?.pools.map((pool) => [pool.id, pool])),
    teams: new Map(teams.map((team) => [team.id, team])),
    teamOfKey: new Map(teams.flatMap((team) => team.keys.map((key) => [key, team] as const))),
  };
};

/**
 * Puts a newer catalog in force; an older one is never applied.
 *
 * @returns Whether the catalog changed.
 */
export const applyCatalog = (turn: Turn, catalog: Catalog): boolean => {
  const { work } = turn;
  const current = work.catalog;
  if (current !== null && catalog.revision <= current.revision) {
    return false;
  }
  work.catalog = catalog;
  work.catalogIndex = indexCatalog(catalog);
  logLine(turn, "info", "catalog.applied", {
    revision: catalog.revision,
    before: current?.revision ?? null,
    queues: catalog.queues.length,
    teams: catalog.teams.length,
  });
  return true;
};

/** @returns The queue with the longest prefix that the path begins with, at this host name. */
export const findQueue = (
  { catalogIndex }: WorkloadState,
  callerHost: string,
  path: string,
): Queue | null => {
  let best: Queue | null = null;
  for (const queue of catalogIndex.queuesOfHost.get(callerHost) ?? []) {
    if (
      path.startsWith(queue.pathPrefix) &&
      (best === null || queue.pathPrefix.length > best.pathPrefix.length)
    ) {
      best = queue;
    }
  }
  return best;
};

export const queueById = ({ catalogIndex }: WorkloadState, id: QueueId): Queue | null =>
  catalogIndex.queues.get(id) ?? null;

export const teamById = ({ catalogIndex }: WorkloadState, id: TeamId | null): Team | null =>
  id === null ? null : (catalogIndex.teams.get(id) ?? null);

/** @returns Whether the hosts of a pool are off. */
export const isStandby = ({ catalogIndex }: WorkloadState, id: PoolId): boolean =>
  catalogIndex.pools.get(id)?.standby === true;

/** @returns Age of the newest view of the catalog; infinite without one. */
export const catalogAgeMs = ({ work, nowMs }: Turn): number =>
  work.feeds.operators.viewAtMs === null ? Infinity : nowMs - work.feeds.operators.viewAtMs;

/** Keys are honoured only while a withdrawn one would have been heard of. */
export const mayHonourKeys = (turn: Turn): boolean =>
  catalogAgeMs(turn) <= turn.work.bounds.revokeMs - CATALOG_VIEW.MARGIN_BEFORE_REVOKE_MS;

/** @returns The team of a key, or null for an unknown key. */
export const teamOfKey = (turn: Turn, key: string | null): Team | null =>
  key === null ? null : (turn.work.catalogIndex.teamOfKey.get(key) ?? null);
