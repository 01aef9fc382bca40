import { fractionOfText, type AvailabilityZoneId } from "@heatherferry/common";
import { EVACUATION } from "./constants.js";
import type { Evacuations, ZonedWorker } from "./types.js";

/** Whether a zone is being evacuated, so that nothing new may start there. */
export const isEvacuated = ({ requests }: Evacuations, zone: AvailabilityZoneId): boolean =>
  requests.has(zone);

/** Whether a worker is held back because its zone has only begun to return. */
const isReturning = (
  { returns }: Evacuations,
  { id, availabilityZone }: ZonedWorker,
  nowMs: number,
): boolean => {
  const sinceMs = returns.get(availabilityZone);
  return sinceMs !== undefined && nowMs - sinceMs < fractionOfText(id) * EVACUATION.RETURN_MS;
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
