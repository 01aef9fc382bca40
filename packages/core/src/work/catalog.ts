import type { PoolId, QueueId } from "@heatherferry/common";
import { CATALOG_VIEW } from "./constants.js";
import { logLine, type Turn } from "./turn.js";
import type { Catalog, Pool, Queue, Team } from "./types.js";

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
  work.teamOfKey.clear();
  for (const team of catalog.teams) {
    for (const key of team.keys) {
      work.teamOfKey.set(key, team);
    }
  }
  logLine(turn, "info", "catalog.applied", {
    revision: catalog.revision,
    before: current?.revision ?? null,
    queues: catalog.queues.length,
    teams: catalog.teams.length,
  });
  return true;
};

/** @returns The queue with the longest prefix that the path begins with, at this host name. */
export const findQueue = (catalog: Catalog, callerHost: string, path: string): Queue | null => {
  let best: Queue | null = null;
  for (const queue of catalog.queues) {
    if (
      queue.callerHost === callerHost &&
      path.startsWith(queue.pathPrefix) &&
      (best === null || queue.pathPrefix.length > best.pathPrefix.length)
    ) {
      best = queue;
    }
  }
  return best;
};

export const queueById = (catalog: Catalog | null, id: QueueId): Queue | null =>
  catalog?.queues.find((queue) => queue.id === id) ?? null;

export const poolById = (catalog: Catalog | null, id: PoolId): Pool | null =>
  catalog?.pools.find((pool) => pool.id === id) ?? null;

/** @returns Whether the hosts of a pool are off. */
export const isStandby = (catalog: Catalog | null, id: PoolId): boolean =>
  poolById(catalog, id)?.standby === true;

/** @returns Age of the newest view of the catalog; infinite without one. */
export const catalogAgeMs = ({ work, nowMs }: Turn): number =>
  work.feeds.operators.viewAtMs === null ? Infinity : nowMs - work.feeds.operators.viewAtMs;

/** Keys are honoured only while a withdrawn one would have been heard of. */
export const mayHonourKeys = (turn: Turn): boolean =>
  catalogAgeMs(turn) <= turn.work.bounds.revokeMs - CATALOG_VIEW.MARGIN_BEFORE_REVOKE_MS;

/** @returns The team of a key, or null for an unknown key. */
export const teamOfKey = (turn: Turn, key: string | null): Team | null =>
  key === null ? null : (turn.work.teamOfKey.get(key) ?? null);
