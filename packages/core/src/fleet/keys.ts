import type { AvailabilityZoneId, HostId, PoolId, RowKey, WaveId } from "@heatherferry/common";
import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";

/**
 * @param availabilityZone - Zone of the host.
 * @param hostId - The host.
 * @returns Key of the host's row.
 */
export const hostKey = (availabilityZone: AvailabilityZoneId, hostId: HostId): RowKey =>
  rowKeyOf(ROW_PREFIX.HOST, availabilityZone, "/", hostId);

/**
 * @param pool - A pool.
 * @returns Key of the row with the pool's absences.
 */
export const budgetKey = (pool: PoolId): RowKey => rowKeyOf(ROW_PREFIX.POOL_BUDGET, pool);

/**
 * @param pool - A pool.
 * @returns Key of the row that names the pool's maintainer.
 */
export const leaseKey = (pool: PoolId): RowKey => rowKeyOf(ROW_PREFIX.MAINTAINER_LEASE, pool);

/**
 * @param wave - A wave.
 * @returns Key of the row with the wave's progress.
 */
export const waveKey = (wave: WaveId): RowKey => rowKeyOf(ROW_PREFIX.WAVE, wave);
