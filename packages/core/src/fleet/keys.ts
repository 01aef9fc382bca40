import type { AvailabilityZoneId, HostId, PoolId, RowKey, WaveId } from "@heatherferry/common";
import { ROW_PREFIX } from "../platform/constants.js";
import { rowKeyOf } from "../platform/writes.js";

/**
 * Returns the key of a host's row.
 *
 * @param availabilityZone - Zone of the host.
 * @param hostId - The host.
 */
export const hostKey = (availabilityZone: AvailabilityZoneId, hostId: HostId): RowKey =>
  rowKeyOf(ROW_PREFIX.HOST, availabilityZone, "/", hostId);

/**
 * Returns the key of the row with a pool's planned and unplanned absences.
 *
 * @param pool - A pool.
 */
export const budgetKey = (pool: PoolId): RowKey => rowKeyOf(ROW_PREFIX.POOL_BUDGET, pool);

/**
 * Returns the key of a pool's maintainer lease.
 *
 * @param pool - A pool.
 */
export const leaseKey = (pool: PoolId): RowKey => rowKeyOf(ROW_PREFIX.MAINTAINER_LEASE, pool);

/**
 * Returns the key of the row with a wave's progress.
 *
 * @param wave - A wave.
 */
export const waveKey = (wave: WaveId): RowKey => rowKeyOf(ROW_PREFIX.WAVE, wave);
