import type { AvailabilityZoneId } from "@heatherferry/common";
import { EVACUATION } from "./constants.js";
import type { Evacuations, ZonedWorker } from "./types.js";

/** Whether a zone is being evacuated, so that nothing new may start there. */
export const isEvacuated = ({ requests }: Evacuations, zone: AvailabilityZoneId): boolean =>
  requests.has(zone);

const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;
const HASH_RANGE = 2 ** 32;

/** Returns a fraction from 0 to 1 that depends on the text alone (FNV-1a). */
const fractionOf = (text: string): number => {
  let hash = HASH_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_PRIME);
  }
  return (hash >>> 0) / HASH_RANGE;
};

/** Whether a worker is held back because its zone has only begun to return. */
const isReturning = (
  { returns }: Evacuations,
  { id, availabilityZone }: ZonedWorker,
  nowMs: number,
): boolean => {
  const sinceMs = returns.get(availabilityZone);
  return sinceMs !== undefined && nowMs - sinceMs < fractionOf(id) * EVACUATION.RETURN_MS;
};

/**
 * Whether a worker takes no new work because its zone is being evacuated or has only begun to
 * return. The workers of a returning zone open one after another: all of them at once would draw
 * the load of a burst while they may still be slow.
 */
export const isClosedByZone = (
  evacuations: Evacuations,
  worker: ZonedWorker,
  nowMs: number,
): boolean =>
  (evacuations.requests.size > 0 && isEvacuated(evacuations, worker.availabilityZone)) ||
  (evacuations.returns.size > 0 && isReturning(evacuations, worker, nowMs));

/** Forgets the zones whose workers have all returned. */
export const forgetReturned = ({ returns }: Evacuations, nowMs: number): void => {
  for (const [zone, sinceMs] of returns) {
    if (nowMs - sinceMs >= EVACUATION.RETURN_MS) {
      returns.delete(zone);
    }
  }
};
