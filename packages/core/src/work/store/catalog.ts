import type { PoolId, QueueId, TeamId } from "@heatherferry/common";
import { CATALOG_VIEW } from "../constants.js";
import type { WorkloadState } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { Catalog, Pool, Queue, Team } from "../types.js";

/** Lookup tables of a catalog. */
export interface CatalogIndex {
  readonly queues: ReadonlyMap<QueueId, Queue>;
  readonly queuesByCallerHost: ReadonlyMap<string, readonly Queue[]>;
  readonly pools: ReadonlyMap<PoolId, Pool>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly teamByKey: ReadonlyMap<string, Team>;
}

/** Builds the lookup tables of a catalog, which may have thousands of queues. */
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
    queuesByCallerHost: queuesOfHost,
    pools: new Map(catalog?.pools.map((pool) => [pool.id, pool])),
    teams: new Map(teams.map((team) => [team.id, team])),
    teamByKey: new Map(teams.flatMap((team) => team.keys.map((key) => [key, team] as const))),
  };
};

/**
 * Applies a catalog if its revision is newer than that of the current one.
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
    previousRevision: current?.revision ?? null,
    queues: catalog.queues.length,
    teams: catalog.teams.length,
  });
  return true;
};

/**
 * Finds the queue of a call: of the queues of a host name, the one with the longest path prefix
 * that matches.
 */
export const findQueue = (
  { catalogIndex }: WorkloadState,
  callerHost: string,
  path: string,
): Queue | null => {
  let best: Queue | null = null;
  for (const queue of catalogIndex.queuesByCallerHost.get(callerHost) ?? []) {
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

/** Whether the hosts of a pool are powered off. */
export const isStandby = ({ catalogIndex }: WorkloadState, id: PoolId): boolean =>
  catalogIndex.pools.get(id)?.standby === true;

/** The catalog, and the time that its age is counted to. */
export type CatalogView = Pick<Turn, "work" | "nowMs">;

/** Returns the age of the newest view of the catalog; infinite without one. */
export const catalogAgeMs = ({ work, nowMs }: CatalogView): number =>
  work.feeds.operators.viewAtMs === null ? Infinity : nowMs - work.feeds.operators.viewAtMs;

/**
 * Whether the view of the API keys is recent enough to accept them: a revoked key must be refused
 * within the revocation bound.
 */
export const areKeysCurrent = (view: CatalogView): boolean =>
  catalogAgeMs(view) <= view.work.bounds.revokeMs - CATALOG_VIEW.MARGIN_BEFORE_REVOKE_MS;

/** Returns the team that an API key belongs to, or null for an unknown key. */
export const teamByKey = ({ work }: CatalogView, key: string | null): Team | null =>
  key === null ? null : (work.catalogIndex.teamByKey.get(key) ?? null);
